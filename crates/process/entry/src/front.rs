//! Accepts callers' connections and passes their requests to the handler.
//!
//! Invariant: a connection is not closed while a request runs on it. A node that has lost its
//! path to the servers, or that shuts down, adds `Connection: close` to its answers. One that
//! shuts down closes idle connections only after the last lookup that returned it has expired;
//! from then on it accepts no more.

use std::convert::Infallible;
use std::rc::Rc;

use hyper::header;
use hyper::http::HeaderValue;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::inbound::Connection;
use crate::inbound::Listener;
use crate::listener;
use crate::listener::ACCEPT_PAUSE;
use crate::metered;
use crate::process::Process;
use crate::serve;
use crate::upstream;

/// Accepts connections until `close` is set: one that was accepted later could be passed on
/// to a server and not be answered before the process exits.
pub(crate) async fn accept(
    process: Rc<Process>,
    listener: TcpListener,
    connections: TaskTracker,
    mut close: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            _ = close.wait_for(|close| *close) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let configured =
                    stream.set_nodelay(true).and_then(|()| upstream::probe_idle_peer(&stream));
                if let Err(error) = configured {
                    log::debug!(target: "front", "Socket options were not set: {error}.");
                }
                let admitted = listener::admit(&process, stream, Listener::Callers).await;
                if let Some((stream, connection)) = admitted {
                    let serving = serve(Rc::clone(&process), stream, connection, close.clone());
                    connections.spawn_local(serving);
                }
            }
            Err(error) => {
                log::warn!(target: "front", error:% = error; "Accept failed.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(
    process: Rc<Process>,
    stream: metered::Stream,
    connection: Rc<Connection>,
    mut close: watch::Receiver<bool>,
) {
    let (handler, held) = (Rc::clone(&process), Rc::clone(&connection));
    let service = service_fn(move |request| {
        let (process, connection) = (Rc::clone(&handler), Rc::clone(&held));
        async move {
            connection.begin(process.clock.now());
            let mut answer = serve::handle(Rc::clone(&process), request, &connection).await;
            connection.answered(process.clock.now(), listener::body_bytes(&answer));
            if process.leaving.get() || !process.has_path() {
                answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let builder = listener::builder(&process, Listener::Callers);
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let result = tokio::select! {
        result = serving.as_mut() => result,
        () = connection.ended() => {
            return log::debug!(target: "front", "A connection was closed to make room.");
        }
        _ = close.wait_for(|close| *close) => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = result {
        log::debug!(target: "front", "A connection ended early: {error}.");
    }
}
