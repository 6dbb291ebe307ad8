//! HTTP listeners. Those other than the callers' answer requests from this node's own state, or
//! take requests that other nodes pass on.
//!
//! Invariant: every connection is entered in the ledger of [`crate::inbound`] before it is read, and
//! ends when it is given up there.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::inbound::Connection;
use crate::inbound::Listener;
use crate::metered;
use crate::process::Process;
use crate::serve::Answer;
use site::config::Limits;

/// The delay after a failed accept, which is most often caused by a lack of file
/// descriptors and succeeds when others are closed.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The smallest header buffer that the HTTP library accepts.
const MIN_HEADER_BUFFER_BYTES: usize = 8 << 10;
/// The room for the headers that a node adds to a request that it passes on.
const NODE_HEADER_BYTES: usize = 4 << 10;
/// Added to the idle timeout of callers' connections, so that a caller closes its idle
/// connection before this node does, and sends no request on a closed one.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// The limits of the configuration in use.
fn limits(process: &Process) -> Limits {
    process.router.borrow().as_ref().map_or_else(Default::default, |router| router.limits)
}

/// The maximum size of a connection's read buffer, in bytes.
fn max_buffer(limits: &Limits, listener: Listener) -> usize {
    let header_bytes = limits.header_bytes.max(MIN_HEADER_BUFFER_BYTES);
    match listener {
        Listener::Nodes => header_bytes + NODE_HEADER_BYTES,
        _ => header_bytes,
    }
}

/// How a listener's connections are read.
pub(crate) fn builder(process: &Process, listener: Listener) -> http1::Builder {
    let limits = limits(process);
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).max_buf_size(max_buffer(&limits, listener));
    // The library applies this timeout to the idle time between requests too. Nodes keep idle
    // connections to each other.
    let timeout = limits.idle_timeout.max(limits.header_timeout) + IDLE_MARGIN;
    builder.header_read_timeout((listener != Listener::Nodes).then_some(timeout));
    builder
}

/// Enters a connection in the ledger; `None` if there is no room for it.
pub(crate) async fn admit(
    process: &Process,
    stream: TcpStream,
    listener: Listener,
) -> Option<(metered::Stream, Rc<Connection>)> {
    let now = process.clock.now();
    let max_buffer = max_buffer(&limits(process), listener);
    let refused = process.inbound.connections(listener).refused;
    let connection = process.inbound.open(now, listener, max_buffer);
    let use_now = process.inbound.connections(listener);
    if use_now.refused > refused {
        if process.inbound.must_report(now) {
            log::warn!(target: "inbound", listener = listener.name(), held = use_now.held, refused = use_now.refused, buffers = process.inbound.buffers(); "No room for all connections: those without progress are closed. Further ones are not logged for a while.");
        }
        // The tasks of the connections that were given up close these.
        tokio::task::yield_now().await;
    }
    let connection = Rc::new(connection?);
    Some((metered::Stream::new(stream, Rc::clone(&connection), process.clock), connection))
}

/// The size of an answer's body, in bytes.
pub(crate) fn body_bytes(answer: &Answer) -> usize {
    answer.body().size_hint().exact().unwrap_or_default() as usize
}

/// Accepts connections and answers each request by `answer`.
pub(crate) async fn accept<A, F>(
    process: Rc<Process>,
    socket: TcpListener,
    listener: Listener,
    answer: A,
) where
    A: Fn(Rc<Process>, Request<Incoming>, Rc<Connection>) -> F + Copy + 'static,
    F: Future<Output = Answer> + 'static,
{
    loop {
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(target: "node", error:% = error; "Accept failed.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some((stream, connection)) = admit(&process, stream, listener).await else { continue };
        let (owner, held) = (Rc::clone(&process), Rc::clone(&connection));
        let service = service_fn(move |request| {
            let (process, connection) = (Rc::clone(&owner), Rc::clone(&held));
            async move {
                connection.begin(process.clock.now());
                let answer = answer(Rc::clone(&process), request, Rc::clone(&connection)).await;
                connection.answered(process.clock.now(), body_bytes(&answer));
                Ok::<_, Infallible>(answer)
            }
        });
        let serving = builder(&process, listener).serve_connection(TokioIo::new(stream), service);
        spawn_local(async move {
            tokio::select! {
                result = serving => if let Err(error) = result {
                    log::debug!(target: "node", "A connection ended early: {error}.");
                },
                () = connection.ended() => {
                    log::debug!(target: "node", "A connection was closed to make room.");
                }
            }
        });
    }
}
