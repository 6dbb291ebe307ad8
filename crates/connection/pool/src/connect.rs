//! Opens and closes connections.
//!
//! Invariant: a connection is removed from the share only by the task that owned
//! the socket, after the socket is closed and the close delay has passed.

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
use crate::state::Connection;
use crate::state::Shared;

type Sender = SendRequest<Full<bytes::Bytes>>;
type Driver = http1::Connection<TokioIo<TcpStream>, Full<bytes::Bytes>>;

async fn open(target: &Target) -> io::Result<(Sender, Driver)> {
    let stream = TcpStream::connect(target.address).await?;
    stream.set_nodelay(true)?;
    http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)
}

/// Starts opening the connection `id`. With `probe` the first request on it is a
/// health request, to check whether new connections work.
pub(crate) fn spawn(shared: Arc<Shared>, target: Target, id: ConnectionId, probe: bool) {
    tokio::spawn(async move {
        let server = target.server;
        match timeout(shared.settings.connect_timeout, open(&target)).await {
            Ok(Ok((sender, driver))) => {
                let cancel = CancellationToken::new();
                shared.with(server, |entry| entry.cancels.insert(id, cancel.clone()));
                let connection = Connection { sender, cancel: cancel.clone() };
                if probe {
                    start_probe(Arc::clone(&shared), target, id, connection);
                } else {
                    shared.release(server, id, connection);
                }
                drive(driver, cancel).await;
                shared.mark_closing(server, id);
                sleep(shared.settings.close_delay).await;
                shared.remove(server, id);
            }
            Ok(Err(error)) => {
                log::debug!(target: "pool", "{}: connect failed: {error}", target.name);
                shared.connect_failed(server, id);
            }
            Err(_) => {
                log::debug!(target: "pool", "{}: connect timed out", target.name);
                shared.connect_failed(server, id);
            }
        }
    });
}

/// Drives the connection until it ends or is cancelled, and closes the socket.
async fn drive(driver: Driver, cancel: CancellationToken) {
    let driver = pin!(driver);
    tokio::select! {
        _ = cancel.cancelled() => {}
        _ = driver => {}
    }
}

/// Sends a health request over an open connection.
pub(crate) fn start_probe(
    shared: Arc<Shared>,
    target: Target,
    id: ConnectionId,
    connection: Connection,
) {
    tokio::spawn(async move {
        let sent = shared.now();
        let limit = shared.settings.connect_timeout;
        let mut lease = Lease::new(Arc::clone(&shared), target.server, id, connection);
        if exchange::health(&mut lease, &target, limit).await.is_ok() {
            shared.with(target.server, |entry| entry.detector.probe_answered(sent));
        }
    });
}
