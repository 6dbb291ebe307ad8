//! The sockets of one server: its listener, its connections and their faults.
//!
//! Invariant: connections over the cap are closed before anything is read from
//! them, and a forgotten connection no longer counts.

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

/// The sockets of one server over all its incarnations.
#[derive(Debug)]
pub(super) struct Shell {
    pub(super) server: Arc<Server>,
    frozen: watch::Sender<bool>,
    sockets: Mutex<Sockets>,
}

/// Tokens that reach the tasks of the present incarnation.
#[derive(Debug, Default)]
struct Sockets {
    /// Ends the listener and all connections.
    kill: CancellationToken,
    /// Makes the open connections silent.
    silence: CancellationToken,
    /// Makes the open connections forgotten.
    forget: CancellationToken,
    /// The listener and all connections.
    tasks: TaskTracker,
}

/// What one connection has to heed.
#[derive(Clone)]
struct Signals {
    kill: CancellationToken,
    silence: CancellationToken,
    forget: CancellationToken,
    frozen: watch::Receiver<bool>,
}

impl Shell {
    pub(super) fn new(server: Arc<Server>) -> Self {
        Self { server, frozen: watch::Sender::new(false), sockets: Mutex::default() }
    }

    /// Serves a bound listener in a task of the present runtime.
    pub(super) fn serve(self: &Arc<Self>, listener: TcpListener) {
        let tasks = self.sockets.lock().tasks.clone();
        tasks.spawn(self.clone().accept(listener, self.signals(), tasks.clone()));
    }

    /// Tells the listener and all connections to end.
    pub(super) fn stop(&self) {
        self.sockets.lock().kill.cancel();
    }

    /// Ends the listener and all connections, and waits until they have.
    pub(super) async fn kill(&self) {
        self.stop();
        let tasks = self.sockets.lock().tasks.clone();
        tasks.close();
        tasks.wait().await;
    }

    /// Binds the same port again and serves a new incarnation.
    pub(super) async fn restart(self: &Arc<Self>) -> io::Result<()> {
        self.kill().await;
        *self.sockets.lock() = Sockets::default();
        self.frozen.send_replace(false);
        self.server.renew();
        let listener = http::bind(self.server.address)?;
        self.serve(listener);
        Ok(())
    }

    pub(super) fn freeze(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// The open connections never answer again.
    pub(super) fn silence(&self) {
        std::mem::take(&mut self.sockets.lock().silence).cancel();
    }

    /// The open connections are neither read nor closed any more.
    pub(super) fn forget(&self) {
        std::mem::take(&mut self.sockets.lock().forget).cancel();
    }

    fn signals(&self) -> Signals {
        let sockets = self.sockets.lock();
        Signals {
            kill: sockets.kill.clone(),
            silence: sockets.silence.clone(),
            forget: sockets.forget.clone(),
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
                () = thawed(&mut signals.frozen) => {}
            }
            let Ok((stream, _)) = accepted else { continue };
            if let Some(open) = Open::new(self.server.clone()) {
                tasks.spawn(connection(self.server.clone(), stream, self.signals(), open));
            }
        }
    }
}

/// Counts a connection while it is open and remembered.
struct Open(Arc<Server>);

impl Open {
    /// `None` if the cap is reached.
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

impl Drop for Open {
    fn drop(&mut self) {
        self.0.inner.lock().stats.connections -= 1;
    }
}

async fn connection(server: Arc<Server>, stream: TcpStream, mut signals: Signals, open: Open) {
    // A lost answer must not wait for the other end's acknowledgement.
    let _ = stream.set_nodelay(true);
    let cost = Duration::from_millis(server.service.connect_ms);
    tokio::select! {
        () = signals.kill.cancelled() => return,
        () = tokio::time::sleep(cost) => {}
    }
    let silence = signals.silence.clone();
    let service = service_fn(move |request| answer(server.clone(), silence.clone(), request));
    let mut serve = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    loop {
        tokio::select! {
            biased;
            () = signals.kill.cancelled() => return,
            () = signals.forget.cancelled() => break,
            () = froze(&mut signals.frozen) => {
                tokio::select! {
                    () = signals.kill.cancelled() => return,
                    () = thawed(&mut signals.frozen) => {}
                }
            }
            _ = &mut serve => return,
        }
    }
    // The work of a forgotten connection ends; its socket stays open.
    let _held = serve.into_parts().io;
    drop(open);
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

async fn froze(frozen: &mut watch::Receiver<bool>) {
    // The sender lives as long as the shell; without it nothing freezes.
    if frozen.wait_for(|frozen| *frozen).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn thawed(frozen: &mut watch::Receiver<bool>) {
    let _ = frozen.wait_for(|frozen| !*frozen).await;
}
