//! Accepts connections from callers and passes their requests to a handler.
//!
//! Invariant: a connection is never closed while a request on it runs. When
//! the node closes its idle connections, each busy one is closed after the
//! reply to its current request.

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

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request; the future is dropped if the caller disconnects first.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxReply;
}

/// The HTTP server for callers.
pub struct HttpServer {
    address: SocketAddr,
    close_idle: CancellationToken,
    stop_accepting: CancellationToken,
    connections: TaskTracker,
    running_requests: Arc<AtomicUsize>,
}

impl HttpServer {
    /// Starts to accept connections on `listener`.
    ///
    /// # Errors
    ///
    /// The listener's address can't be read.
    pub fn new(listener: TcpListener, handler: Arc<dyn Handler>) -> std::io::Result<Self> {
        let server = Self {
            address: listener.local_addr()?,
            close_idle: CancellationToken::new(),
            stop_accepting: CancellationToken::new(),
            connections: TaskTracker::new(),
            running_requests: Arc::new(AtomicUsize::new(0)),
        };
        let acceptor = Acceptor {
            listener,
            handler,
            close_idle: server.close_idle.clone(),
            stop_accepting: server.stop_accepting.clone(),
            connections: server.connections.clone(),
            running_requests: Arc::clone(&server.running_requests),
        };
        tokio::spawn(acceptor.run());
        Ok(server)
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests that run now.
    pub fn running_requests(&self) -> usize {
        self.running_requests.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Closes idle connections now and each busy one after its current reply.
    pub fn close_idle(&self) {
        self.close_idle.cancel();
    }

    /// Stops accepting connections, and waits until every connection is closed.
    pub async fn shut_down(&self) {
        self.close_idle.cancel();
        self.stop_accepting.cancel();
        self.connections.close();
        self.connections.wait().await;
    }
}

/// Owns the listening socket.
struct Acceptor {
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    close_idle: CancellationToken,
    stop_accepting: CancellationToken,
    connections: TaskTracker,
    running_requests: Arc<AtomicUsize>,
}

impl Acceptor {
    async fn run(self) {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = self.stop_accepting.cancelled() => return,
            };
            match accepted {
                Ok((stream, _)) => self.open(stream),
                Err(error) => {
                    log::warn!(target: "front", "A connection was not accepted: {error}.");
                    // Most often the process is out of file descriptors, and accepting
                    // works again only after others are closed.
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn open(&self, stream: TcpStream) {
        // Each reply is small and written as a whole, so Nagle's algorithm would only
        // delay it.
        let _ = stream.set_nodelay(true);
        let connection = Connection {
            handler: Arc::clone(&self.handler),
            running_requests: Arc::clone(&self.running_requests),
            close_idle: self.close_idle.clone(),
        };
        self.connections.spawn(connection.run(stream));
    }
}

/// The pause after a failed accept.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(10);

/// One caller's connection.
struct Connection {
    handler: Arc<dyn Handler>,
    running_requests: Arc<AtomicUsize>,
    close_idle: CancellationToken,
}

impl Connection {
    async fn run(self, stream: TcpStream) {
        let handler = self.handler;
        let running = self.running_requests;
        let service = service_fn(move |request| {
            let guard = RunningRequest::new(&running);
            let reply = Arc::clone(&handler).handle(request);
            async move {
                let reply = reply.await;
                drop(guard);
                Ok::<_, Infallible>(reply)
            }
        });
        let serving = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        let mut serving = std::pin::pin!(serving);
        let ended = tokio::select! {
            ended = serving.as_mut() => ended,
            () = self.close_idle.cancelled() => {
                serving.as_mut().graceful_shutdown();
                serving.await
            }
        };
        if let Err(error) = ended {
            log::debug!(target: "front", "A connection ended early: {error}.");
        }
    }
}

/// Counts as a running request until dropped.
struct RunningRequest(Arc<AtomicUsize>);

impl RunningRequest {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(count))
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
