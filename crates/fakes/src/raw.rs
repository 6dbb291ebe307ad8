//! A server whose answers are given byte by byte by the test, so that they may be no answers. It
//! closes each connection after one request.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::http;

/// Gives the bytes of an answer for a request's path and id.
pub type Answer = dyn Fn(&str, &str) -> Vec<u8> + Send + Sync;

/// A running server.
#[derive(Debug)]
pub struct Server {
    id: String,
    service: String,
    address: SocketAddr,
    accepting: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Server {
    /// Starts a server on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(id: &str, service: &str, answer: Arc<Answer>) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&answer)));
            }
        });
        let accepting = accepting.abort_handle();
        Ok(Self { id: id.to_owned(), service: service.to_owned(), address, accepting })
    }

    /// The id under which it registers.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Its entry in the platform's store.
    pub fn entry(&self) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": "hall",
            "version": "v1", "slots": 4, "state": "ready", "warmup_left_ms": 0,
            "sequence": 1, "born": 1700
        })
    }
}

async fn serve(mut stream: TcpStream, answer: Arc<Answer>) -> io::Result<()> {
    let Some(head) = http::read_head(&mut stream).await? else { return Ok(()) };
    let path = head.split(' ').nth(1).unwrap_or_default();
    let id = head.lines().find_map(|line| line.strip_prefix("heatherseam-request-id: "));
    stream.write_all(&answer(path, id.unwrap_or_default())).await
}
