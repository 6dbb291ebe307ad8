//! The network side of one server: its listener, its connections and their faults.
//!
//! Invariant: connections above the limit are closed before anything is read from
//! them, and an abandoned connection doesn't count as open.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::http;
use crate::http::Reply;
use crate::upstream::server::Server;
use wire::upstream::HEALTH_PATH;
use wire::upstream::SHARD_PATH;

/// The listener and connections of one server, through all its incarnations.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) server: Arc<Server>,
    frozen: watch::Sender<bool>,
    incarnation: Mutex<IncarnationTasks>,
}

/// Controls the tasks of the current incarnation.
#[derive(Debug, Default)]
struct IncarnationTasks {
    /// Ends the listener and all connections.
    kill: CancellationToken,
    /// Stops all answers on the open connections.
    silence: CancellationToken,
    /// Abandons the open connections.
    abandon: CancellationToken,
    /// The tasks of the listener and of all connections.
    tasks: TaskTracker,
}

/// The signals that the task of a listener or connection follows.
#[derive(Clone)]
struct Signals {
    kill: CancellationToken,
    silence: CancellationToken,
    abandon: CancellationToken,
    frozen: watch::Receiver<bool>,
}

impl Endpoint {
    pub(super) fn new(server: Arc<Server>) -> Self {
        Self { server, frozen: watch::Sender::new(false), incarnation: Mutex::default() }
    }

    /// Serves a bound listener in a task of the current runtime.
    pub(super) fn serve(self: &Arc<Self>, listener: TcpListener) {
        let tasks = self.incarnation.lock().tasks.clone();
        tasks.spawn(self.clone().accept(listener, self.signals(), tasks.clone()));
    }

    /// Signals the listener and all connections to end.
    pub(super) fn stop(&self) {
        self.incarnation.lock().kill.cancel();
    }

    /// Ends the listener and all connections, and waits for their tasks.
    pub(super) async fn kill(&self) {
        self.stop();
        let tasks = self.incarnation.lock().tasks.clone();
        tasks.close();
        tasks.wait().await;
    }

    /// Starts a new incarnation on the same port.
    pub(super) async fn restart(self: &Arc<Self>) -> io::Result<()> {
        self.kill().await;
        *self.incarnation.lock() = IncarnationTasks::default();
        self.frozen.send_replace(false);
        self.server.start_incarnation();
        let listener = http::bind(self.server.address)?;
        self.serve(listener);
        Ok(())
    }

    pub(super) fn set_frozen(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Stops all answers on the open connections.
    pub(super) fn silence_connections(&self) {
        std::mem::take(&mut self.incarnation.lock().silence).cancel();
    }

    /// Stops reading from the open connections, without closing them.
    pub(super) fn abandon_connections(&self) {
        std::mem::take(&mut self.incarnation.lock().abandon).cancel();
    }

    fn signals(&self) -> Signals {
        let incarnation = self.incarnation.lock();
        Signals {
            kill: incarnation.kill.clone(),
            silence: incarnation.silence.clone(),
            abandon: incarnation.abandon.clone(),
            frozen: self.frozen.subscribe(),
        }
    }

    async fn accept(
        self: Arc<Self>,
        listener: TcpListener,
        mut signals: Signals,
        tasks: TaskTracker,
    ) {
        loop {
            let accepted = tokio::select! {
                () = signals.kill.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            tokio::select! {
                () = signals.kill.cancelled() => return,
                () = wait_until_unfrozen(&mut signals.frozen) => {}
            }
            let Ok((stream, _)) = accepted else { continue };
            if let Some(guard) = ConnectionGuard::new(self.server.clone()) {
                tasks.spawn(serve_connection(self.server.clone(), stream, self.signals(), guard));
            }
        }
    }
}

/// Counts a connection while it is open and not abandoned.
struct ConnectionGuard(Arc<Server>);

impl ConnectionGuard {
    /// `None` if the connection limit is reached.
    fn new(server: Arc<Server>) -> Option<Self> {
        {
            let stats = &mut server.inner.lock().stats;
            if stats.connections >= server.service.connections as u64 {
                stats.over_cap += 1;
                return None;
            }
            stats.new_connections += 1;
            stats.connections += 1;
            stats.peak_connections = stats.peak_connections.max(stats.connections);
        }
        Some(Self(server))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.inner.lock().stats.connections -= 1;
    }
}

async fn serve_connection(
    server: Arc<Server>,
    stream: TcpStream,
    mut signals: Signals,
    guard: ConnectionGuard,
) {
    // Nagle's algorithm would hold back a reply until the peer acknowledges.
    let _ = stream.set_nodelay(true);
    let connect_delay = Duration::from_millis(server.service.connect_ms);
    tokio::select! {
        () = signals.kill.cancelled() => return,
        () = tokio::time::sleep(connect_delay) => {}
    }
    let silence = signals.silence.clone();
    let service = service_fn(move |request| answer(server.clone(), silence.clone(), request));
    let mut serve = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    loop {
        tokio::select! {
            biased;
            () = signals.kill.cancelled() => return,
            () = signals.abandon.cancelled() => break,
            () = wait_until_frozen(&mut signals.frozen) => {
                tokio::select! {
                    () = signals.kill.cancelled() => return,
                    () = wait_until_unfrozen(&mut signals.frozen) => {}
                }
            }
            _ = &mut serve => return,
        }
    }
    // The requests of an abandoned connection end, but its socket stays open.
    let _socket = serve.into_parts().io;
    drop(guard);
    signals.kill.cancelled().await;
}

async fn answer(
    server: Arc<Server>,
    silence: CancellationToken,
    request: Request<Incoming>,
) -> io::Result<Reply> {
    let reply = match (request.method(), request.uri().path()) {
        (&Method::GET, HEALTH_PATH) => Ok(server.health()),
        (&Method::POST, SHARD_PATH) => {
            let (head, body) = request.into_parts();
            let body = http::read(body).await?;
            server.run(&head.headers, body).await
        }
        _ => Ok(http::text(StatusCode::NOT_FOUND, "no such path")),
    };
    if silence.is_cancelled() {
        std::future::pending::<()>().await;
    }
    reply
}

async fn wait_until_frozen(frozen: &mut watch::Receiver<bool>) {
    // Without the sender, which lives as long as the endpoint, nothing can freeze.
    if frozen.wait_for(|frozen| *frozen).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn wait_until_unfrozen(frozen: &mut watch::Receiver<bool>) {
    let _ = frozen.wait_for(|frozen| !*frozen).await;
}
