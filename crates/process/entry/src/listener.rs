//! HTTP listeners whose requests are answered from this node's own state.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::process::Process;
use crate::serve::Answer;

/// The delay after a failed accept, which is most often caused by a lack of file
/// descriptors and succeeds when others are closed.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections and answers each request by `answer`.
pub(crate) async fn accept<A, F>(process: Rc<Process>, listener: TcpListener, answer: A)
where
    A: Fn(Rc<Process>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Answer> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(target: "node", error:% = error; "Accept failed.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let process = Rc::clone(&process);
        let service = service_fn(move |request| {
            let answer = answer(Rc::clone(&process), request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        spawn_local(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(target: "node", "A connection ended early: {error}.");
            }
        });
    }
}
