//! Accepts callers' connections and hands their requests on.
//!
//! Invariant: a connection is never closed while a request on it runs. When
//! the node closes its idle connections, each busy one is closed after the
//! reply to its present request.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// A reply whose body is held in memory.
pub type Reply = Response<Full<Bytes>>;

/// A boxed future of a reply.
pub type BoxReply = Pin<Box<dyn Future<Output = Reply> + Send>>;

/// What answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; dropped if its caller leaves first.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxReply;
}

/// The listening side towards callers.
pub struct Front {
    address: SocketAddr,
    close: CancellationToken,
    stop: CancellationToken,
    connections: TaskTracker,
    busy: Arc<AtomicUsize>,
}

impl Front {
    /// Starts to accept connections on `listener`.
    ///
    /// # Errors
    ///
    /// The listener's address can't be read.
    pub fn new(listener: TcpListener, handler: Arc<dyn Handler>) -> std::io::Result<Self> {
        let front = Self {
            address: listener.local_addr()?,
            close: CancellationToken::new(),
            stop: CancellationToken::new(),
            connections: TaskTracker::new(),
            busy: Arc::new(AtomicUsize::new(0)),
        };
        let accept = Acceptor {
            listener,
            handler,
            close: front.close.clone(),
            stop: front.stop.clone(),
            connections: front.connections.clone(),
            busy: Arc::clone(&front.busy),
        };
        tokio::spawn(accept.run());
        Ok(front)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of requests that run now.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Closes idle connections now and each busy one after its present reply.
    pub fn close_idle(&self) {
        self.close.cancel();
    }

    /// Accepts no more, and waits until every connection is closed.
    pub async fn finish(&self) {
        self.close.cancel();
        self.stop.cancel();
        self.connections.close();
        self.connections.wait().await;
    }
}

/// Owns the listening socket.
struct Acceptor {
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    close: CancellationToken,
    stop: CancellationToken,
    connections: TaskTracker,
    busy: Arc<AtomicUsize>,
}

impl Acceptor {
    async fn run(self) {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = self.stop.cancelled() => return,
            };
            match accepted {
                Ok((stream, _)) => self.open(stream),
                Err(error) => {
                    log::warn!(target: "front", "A connection was not accepted: {error}.");
                    // The cause is most often a lack of file descriptors, which
                    // only passes when others are closed.
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn open(&self, stream: TcpStream) {
        // Replies are small and whole, so there is nothing to gather.
        let _ = stream.set_nodelay(true);
        let connection = Connection {
            handler: Arc::clone(&self.handler),
            busy: Arc::clone(&self.busy),
            close: self.close.clone(),
        };
        self.connections.spawn(connection.run(stream));
    }
}

/// The pause after a failed accept.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(10);

/// One caller's connection.
struct Connection {
    handler: Arc<dyn Handler>,
    busy: Arc<AtomicUsize>,
    close: CancellationToken,
}

impl Connection {
    async fn run(self, stream: TcpStream) {
        let handler = self.handler;
        let busy = self.busy;
        let service = service_fn(move |request| {
            let guard = Busy::new(&busy);
            let reply = Arc::clone(&handler).handle(request);
            async move {
                let reply = reply.await;
                drop(guard);
                Ok::<_, Infallible>(reply)
            }
        });
        let serve = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        let mut serve = std::pin::pin!(serve);
        let ended = tokio::select! {
            ended = serve.as_mut() => ended,
            () = self.close.cancelled() => {
                serve.as_mut().graceful_shutdown();
                serve.await
            }
        };
        if let Err(error) = ended {
            log::debug!(target: "front", "A connection ended early: {error}.");
        }
    }
}

/// Counts a running request while it lives.
struct Busy(Arc<AtomicUsize>);

impl Busy {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(count))
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
