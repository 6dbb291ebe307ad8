//! HTTP over kept connections.
//!
//! Invariant: a connection is kept only after its whole reply was read, and a
//! request that a kept connection did not take is sent on a new one.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpStream;

type Sender = SendRequest<Full<Bytes>>;

/// Why there is no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lost {
    /// No connection could be opened; the request was not sent.
    Unreachable,
    /// The connection ended after the request was sent.
    Cut,
    /// No reply came within the caller's patience.
    Timeout,
    /// The reply is none that the tier may give.
    Malformed,
}

impl fmt::Display for Lost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "unreachable",
            Self::Cut => "cut",
            Self::Timeout => "timeout",
            Self::Malformed => "malformed",
        })
    }
}

/// A whole reply.
pub(super) type Reply = (StatusCode, Bytes);

/// Kept connections by address.
#[derive(Debug, Default)]
pub(super) struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Client {
    pub(super) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        patience: Duration,
    ) -> Result<Reply, Lost> {
        self.call(address, Method::GET, path, Bytes::new(), patience).await
    }

    pub(super) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        patience: Duration,
    ) -> Result<Reply, Lost> {
        self.call(address, Method::POST, path, body, patience).await
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        patience: Duration,
    ) -> Result<Reply, Lost> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .body(Full::new(body))
            .map_err(|_| Lost::Malformed)?;
        let exchange = self.exchange(address, request);
        tokio::time::timeout(patience, exchange).await.unwrap_or(Err(Lost::Timeout))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Reply, Lost> {
        loop {
            let (mut sender, kept) = match self.take(address) {
                Some(sender) => (sender, true),
                None => (connect(address).await?, false),
            };
            let response = match sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut error) => match error.take_message() {
                    Some(unsent) if kept => {
                        request = unsent;
                        continue;
                    }
                    Some(_) => return Err(Lost::Unreachable),
                    None => return Err(Lost::Cut),
                },
            };
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|_| Lost::Cut)?.to_bytes();
            self.idle.lock().entry(address).or_default().push(sender);
            return Ok((status, body));
        }
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock();
        let senders = idle.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        senders.pop()
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, Lost> {
    let stream = TcpStream::connect(address).await.map_err(|_| Lost::Unreachable)?;
    // Small requests must not wait for an acknowledgement.
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| Lost::Unreachable)?;
    tokio::spawn(connection);
    Ok(sender)
}
