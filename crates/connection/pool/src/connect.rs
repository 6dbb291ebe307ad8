//! Opens connections and closes them.
//!
//! Invariant: a place is freed only by the task that held the socket, after the
//! socket is closed and the settling time has passed.

use std::io;
use std::pin::pin;
use std::sync::Arc;

use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::exchange;
use crate::lease::Lease;
use crate::request::Target;
use crate::server::ConnectionId;
use crate::state::Link;
use crate::state::Shared;

type Sender = SendRequest<Full<bytes::Bytes>>;
type Wire = http1::Connection<TokioIo<TcpStream>, Full<bytes::Bytes>>;

async fn dial(target: &Target) -> io::Result<(Sender, Wire)> {
    let stream = TcpStream::connect(target.address).await?;
    stream.set_nodelay(true)?;
    http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)
}

/// Starts opening the connection `id`; a `probe` first asks for the health, to
/// learn whether new connections work.
pub(crate) fn spawn(shared: Arc<Shared>, target: Target, id: ConnectionId, probe: bool) {
    tokio::spawn(async move {
        let server = target.server;
        match timeout(shared.settings.connect_timeout, dial(&target)).await {
            Ok(Ok((sender, wire))) => {
                let stop = CancellationToken::new();
                shared.with(server, |entry| entry.stops.insert(id, stop.clone()));
                let link = Link { sender, stop: stop.clone() };
                if probe {
                    start_probe(Arc::clone(&shared), target, id, link);
                } else {
                    shared.release(server, id, link);
                }
                hold(wire, stop).await;
                shared.ended(server, id);
                sleep(shared.settings.settle).await;
                shared.free(server, id);
            }
            Ok(Err(error)) => {
                log::debug!(target: "pool", "{}: cannot connect: {error}", target.name);
                shared.fail(server, id);
            }
            Err(_) => {
                log::debug!(target: "pool", "{}: connecting timed out", target.name);
                shared.fail(server, id);
            }
        }
    });
}

/// Drives the connection until it ends or is stopped, and closes the socket.
async fn hold(wire: Wire, stop: CancellationToken) {
    let wire = pin!(wire);
    tokio::select! {
        _ = stop.cancelled() => {}
        _ = wire => {}
    }
}

/// Asks for the server's health over a connection that is at hand.
pub(crate) fn start_probe(shared: Arc<Shared>, target: Target, id: ConnectionId, link: Link) {
    tokio::spawn(async move {
        let sent = shared.now();
        let limit = shared.settings.connect_timeout;
        let mut lease = Lease::new(Arc::clone(&shared), target.server, id, link);
        if exchange::health(&mut lease, &target, limit).await.is_ok() {
            shared.with(target.server, |entry| entry.detector.probed(sent));
        }
    });
}
