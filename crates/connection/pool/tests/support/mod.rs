//! A scripted HTTP/1.1 server on raw TCP connections.
//!
//! Invariant: `open` counts a connection from its acceptance until the server
//! has read its end.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use base::entity::Server;
use pool::client::AllowAll;
use pool::client::Pool;
use pool::request::Request;
use pool::request::Target;
use pool::settings::Settings;
use pool::share::Fleet;
use wire::caller::Priority;
use wire::id::Attempt;
use wire::id::Incarnation;
use wire::id::Snapshot;

/// How the server handles a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Behavior {
    /// Replies.
    Answer,
    /// Replies with a part of the body and closes the connection.
    Truncate,
    /// Replies with the id of another attempt.
    WrongAttempt,
    /// Never replies and keeps the connection open.
    Hang,
    /// Replies once the test sets `release`.
    Delay,
    /// Refuses, stating that the attempt was not run.
    Refuse,
    /// Refuses, stating that another attempt was not run.
    RefuseWrongAttempt,
    /// Replies with 503 without stating that the attempt was not run.
    ServerError,
    /// Closes the connection without a reply.
    Close,
}

/// The connections and requests that the server has received.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    pub accepted: u32,
    pub open: u32,
    pub peak_open: u32,
    /// The connection number and the attempt id of each request.
    pub requests: Vec<(u32, String)>,
}

type Script = Arc<dyn Fn(u32, &str) -> Behavior + Send + Sync>;

pub struct Stub {
    pub address: SocketAddr,
    pub observed: watch::Receiver<Observed>,
    pub release: watch::Sender<bool>,
}

impl Stub {
    pub async fn new(script: impl Fn(u32, &str) -> Behavior + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, observed) = watch::channel(Observed::default());
        let (release, released) = watch::channel(false);
        let script: Script = Arc::new(script);
        let sender = Arc::new(sender);
        tokio::spawn(async move {
            let mut number = 0;
            while let Ok((stream, _)) = listener.accept().await {
                number += 1;
                sender.send_modify(|observed| {
                    observed.accepted += 1;
                    observed.open += 1;
                    observed.peak_open = observed.peak_open.max(observed.open);
                });
                let (script, released) = (Arc::clone(&script), released.clone());
                let sender = Arc::clone(&sender);
                tokio::spawn(async move {
                    serve(stream, number, script, &sender, released).await;
                    sender.send_modify(|observed| observed.open -= 1);
                });
            }
        });
        Self { address, observed, release }
    }

    pub fn target(&self, max_connections: u32) -> Target {
        let server = Server::from_u32(0);
        Target { server, name: Arc::from("desk-0"), address: self.address, max_connections }
    }

    /// Waits until `condition` holds.
    pub async fn wait_until(&self, condition: impl FnMut(&Observed) -> bool) -> Observed {
        let mut observed = self.observed.clone();
        let found =
            tokio::time::timeout(Duration::from_secs(60), observed.wait_for(condition)).await;
        found.expect("the server did not reach the expected state").unwrap().clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    number: u32,
    script: Script,
    observed: &watch::Sender<Observed>,
    mut released: watch::Receiver<bool>,
) {
    let buffer = Mutex::new(Vec::new());
    while let Some(head) = read_request(&mut stream, &buffer).await {
        if head.starts_with("GET") {
            let body = r#"{"server":"desk-0","incarnation":7,"state":"ready","load":0,"holds":[]}"#;
            let reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            let _ = stream.write_all(reply.as_bytes()).await;
            continue;
        }
        let attempt = header(&head, "hs-attempt");
        let behavior = script(number, &attempt);
        observed.send_modify(|observed| observed.requests.push((number, attempt.clone())));
        let reply = match behavior {
            Behavior::Answer => http_reply(200, &attempt, "", "found", 5),
            Behavior::Truncate => http_reply(200, &attempt, "", "fo", 5),
            Behavior::WrongAttempt => http_reply(200, "00-1-1", "", "found", 5),
            Behavior::Refuse => {
                http_reply(503, &attempt, "hs-not-run: 1\r\nhs-retry-after-ms: 40\r\n", "", 0)
            }
            Behavior::RefuseWrongAttempt => http_reply(503, "00-1-1", "hs-not-run: 1\r\n", "", 0),
            Behavior::ServerError => http_reply(503, &attempt, "", "", 0),
            Behavior::Close => return,
            Behavior::Hang => continue,
            Behavior::Delay => {
                let _ = released.wait_for(|released| *released).await;
                http_reply(200, &attempt, "", "found", 5)
            }
        };
        let _ = stream.write_all(reply.as_bytes()).await;
        if behavior == Behavior::Truncate {
            return;
        }
    }
}

fn http_reply(status: u16, attempt: &str, extra: &str, body: &str, length: usize) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nhs-attempt: {attempt}\r\nhs-map: m\r\nhs-version: 3\r\n\
         hs-shard: 2\r\nhs-incarnation: 7\r\nhs-state: ready\r\nhs-load: 1\r\n{extra}\
         content-length: {length}\r\n\r\n{body}"
    )
}

fn header(head: &str, name: &str) -> String {
    let line = head.lines().find_map(|line| line.strip_prefix(&format!("{name}: ")));
    line.unwrap_or_default().to_owned()
}

/// Reads a request and returns its head; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream, buffer: &Mutex<Vec<u8>>) -> Option<String> {
    loop {
        if let Some(head) = take_request(&mut buffer.lock()) {
            return Some(head);
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.lock().extend_from_slice(&chunk[..count]),
        }
    }
}

fn take_request(buffer: &mut Vec<u8>) -> Option<String> {
    let end = buffer.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8(buffer[..end].to_vec()).unwrap();
    let length: usize = header(&head, "content-length").parse().unwrap_or(0);
    if buffer.len() < end + length {
        return None;
    }
    buffer.drain(..end + length);
    Some(head)
}

/// A pool whose share is the whole cap of a server.
pub fn pool() -> Pool {
    Pool::new(settings(), Arc::new(AllowAll))
}

pub fn settings() -> Settings {
    Settings {
        fleet: Fleet { vms: 1, reserve: 0 },
        connect_timeout: Duration::from_secs(20),
        ..Settings::default()
    }
}

pub fn request(number: u64) -> Request {
    Request {
        attempt: Attempt { node: Incarnation(9), request: number, attempt: 0 },
        service: Arc::from("kulay-desk"),
        snapshot: Snapshot { version: 3, map: Arc::from("m") },
        shard: 2,
        timeout: Duration::from_secs(30),
        priority: Priority::Routine,
        non_idempotent: false,
        body: Bytes::from_static(b"{}"),
    }
}
