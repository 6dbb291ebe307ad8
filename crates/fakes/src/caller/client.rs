//! An HTTP client with persistent connections.
//!
//! Invariant: a connection is reused only after its whole reply was read, and a
//! request that a reused connection did not send is sent on another one.

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

/// Why a call has no usable reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallError {
    /// No connection could be opened; the request was not sent.
    Unreachable,
    /// The connection ended after the request was sent.
    Cut,
    /// No reply arrived within the timeout.
    Timeout,
    /// The reply doesn't parse.
    Malformed,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "unreachable",
            Self::Cut => "cut",
            Self::Timeout => "timeout",
            Self::Malformed => "malformed",
        })
    }
}

/// The status and the whole body of a reply.
pub(super) type Reply = (StatusCode, Bytes);

/// An HTTP client; its idle connections are kept by address.
#[derive(Debug, Default)]
pub(super) struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Client {
    pub(super) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.call(address, Method::GET, path, Bytes::new(), timeout).await
    }

    pub(super) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.call(address, Method::POST, path, body, timeout).await
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .body(Full::new(body))
            .map_err(|_| CallError::Malformed)?;
        let exchange = self.exchange(address, request);
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(CallError::Timeout))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Reply, CallError> {
        loop {
            let (mut sender, is_reused) = match self.take_idle(address) {
                Some(sender) => (sender, true),
                None => (connect(address).await?, false),
            };
            let response = match sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut error) => match error.take_message() {
                    Some(unsent) if is_reused => {
                        request = unsent;
                        continue;
                    }
                    Some(_) => return Err(CallError::Unreachable),
                    None => return Err(CallError::Cut),
                },
            };
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|_| CallError::Cut)?.to_bytes();
            self.idle.lock().entry(address).or_default().push(sender);
            return Ok((status, body));
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock();
        let senders = idle.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        senders.pop()
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, CallError> {
    let stream = TcpStream::connect(address).await.map_err(|_| CallError::Unreachable)?;
    // Nagle's algorithm would hold back small requests until the peer acknowledges.
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| CallError::Unreachable)?;
    tokio::spawn(connection);
    Ok(sender)
}
