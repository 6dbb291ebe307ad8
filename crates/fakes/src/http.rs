//! A minimal HTTP/1 server and client for the stand-ins.
//!
//! Invariant: every listener is bound before its address is published, so that
//! clients need neither wait nor retry until a stand-in is up.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// A body that may fail while it is sent.
pub type Body = BoxBody<Bytes, io::Error>;
/// A server's response.
pub type Reply = Response<Body>;

/// A body with all of its bytes in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// A response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let Ok(body) = serde_json::to_vec(value) else {
        return text(StatusCode::INTERNAL_SERVER_ERROR, "the value has no JSON form");
    };
    let mut reply = Response::new(full(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// A response with a text body.
pub fn text(status: StatusCode, message: impl Into<String>) -> Reply {
    let mut reply = Response::new(full(message.into()));
    *reply.status_mut() = status;
    reply
}

/// Reads the head of a request without a body, byte by byte, so that nothing of the next one is lost;
/// returns it in lower case, or `None` at the end of the connection.
pub(crate) async fn read_head(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).await? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    Ok(Some(String::from_utf8_lossy(&head).to_lowercase()))
}

/// Reads a whole body.
///
/// # Errors
///
/// If the connection ends before the body does.
pub async fn read(body: Incoming) -> io::Result<Bytes> {
    let collected = body.collect().await.map_err(io::Error::other)?;
    Ok(collected.to_bytes())
}

/// Reads a JSON body. The error is a response that describes the problem.
///
/// # Errors
///
/// A 400 response, if the body is incomplete or doesn't parse as `T`.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Box<Reply>> {
    let bad_request = |message: String| Box::new(text(StatusCode::BAD_REQUEST, message));
    let bytes = read(body).await.map_err(|error| bad_request(error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| bad_request(error.to_string()))
}

/// The value of a query parameter.
pub fn parameter<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// A numeric query parameter; zero if it is absent or not a number.
pub fn number(uri: &Uri, name: &str) -> u64 {
    parameter(uri, name).and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Binds a listener; port 0 picks a free port.
///
/// # Errors
///
/// If the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Serves every request of every connection with `handler`, until `stop` is
/// cancelled. An error of `handler` closes the connection without a response.
pub async fn serve<F>(
    listener: TcpListener,
    stop: CancellationToken,
    handler: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
) where
    F: Future<Output = io::Result<Reply>> + Send + 'static,
{
    serve_until(listener, stop.clone(), stop, handler).await;
}

/// Like [`serve`]; accepts connections until `close` is cancelled.
pub async fn serve_until<F>(
    listener: TcpListener,
    close: CancellationToken,
    stop: CancellationToken,
    handler: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
) where
    F: Future<Output = io::Result<Reply>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = close.cancelled() => return,
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        // Nagle's algorithm would hold back small responses until the peer acknowledges.
        let _ = stream.set_nodelay(true);
        let service = service_fn(handler.clone());
        let serve = server::Builder::new().serve_connection(TokioIo::new(stream), service);
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                _ = serve => {}
            }
        });
    }
}

/// A persistent client connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// If the connection can't be established.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// If the connection ends before the response does.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> io::Result<Response<Bytes>> {
        self.sender.ready().await.map_err(io::Error::other)?;
        let response = self.sender.send_request(request).await.map_err(io::Error::other)?;
        let (head, body) = response.into_parts();
        Ok(Response::from_parts(head, read(body).await?))
    }
}

/// Sends a request on a new connection.
///
/// # Errors
///
/// As [`Connection::open`] and [`Connection::send`].
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> io::Result<Response<Bytes>> {
    Connection::open(address).await?.send(request).await
}
