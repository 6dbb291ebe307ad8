//! A server of raw HTTP/1.1 whose every act is scripted.
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
use pool::client::Open;
use pool::client::Pool;
use pool::request::Request;
use pool::request::Target;
use pool::settings::Settings;
use pool::share::Fleet;
use wire::caller::Priority;
use wire::id::Attempt;
use wire::id::Incarnation;
use wire::id::Snapshot;

/// What the server does with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Answers it.
    Answer,
    /// Answers with half of the body, and closes.
    Cut,
    /// Answers with the id of another attempt.
    Swap,
    /// Never answers, and keeps the connection.
    Hold,
    /// Answers once the release is given.
    Late,
    /// Certifies that it did not run.
    Refuse,
    /// Certifies that another attempt did not run.
    RefuseOther,
    /// Answers 503 without a certificate.
    Fail,
    /// Closes without a reply.
    Close,
}

/// What the server saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub accepted: u32,
    pub open: u32,
    pub peak: u32,
    /// The connection and the attempt of each request.
    pub requests: Vec<(u32, String)>,
}

type Script = Arc<dyn Fn(u32, &str) -> Act + Send + Sync>;

pub struct Stub {
    pub address: SocketAddr,
    pub seen: watch::Receiver<Seen>,
    pub release: watch::Sender<bool>,
}

impl Stub {
    pub async fn new(script: impl Fn(u32, &str) -> Act + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, seen) = watch::channel(Seen::default());
        let (release, released) = watch::channel(false);
        let script: Script = Arc::new(script);
        let sender = Arc::new(sender);
        tokio::spawn(async move {
            let mut number = 0;
            while let Ok((stream, _)) = listener.accept().await {
                number += 1;
                sender.send_modify(|seen| {
                    seen.accepted += 1;
                    seen.open += 1;
                    seen.peak = seen.peak.max(seen.open);
                });
                let (script, released) = (Arc::clone(&script), released.clone());
                let sender = Arc::clone(&sender);
                tokio::spawn(async move {
                    serve(stream, number, script, &sender, released).await;
                    sender.send_modify(|seen| seen.open -= 1);
                });
            }
        });
        Self { address, seen, release }
    }

    pub fn target(&self, connections: u32) -> Target {
        let server = Server::from_u32(0);
        Target { server, name: Arc::from("desk-0"), address: self.address, connections }
    }

    /// Waits until what was seen satisfies `wanted`.
    pub async fn until(&self, wanted: impl FnMut(&Seen) -> bool) -> Seen {
        let mut seen = self.seen.clone();
        let found = tokio::time::timeout(Duration::from_secs(60), seen.wait_for(wanted)).await;
        found.expect("the server never saw it").unwrap().clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    number: u32,
    script: Script,
    seen: &watch::Sender<Seen>,
    mut released: watch::Receiver<bool>,
) {
    let pending = Mutex::new(Vec::new());
    while let Some(head) = read(&mut stream, &pending).await {
        if head.starts_with("GET") {
            let body = r#"{"server":"desk-0","incarnation":7,"state":"ready","load":0,"holds":[]}"#;
            let reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            let _ = stream.write_all(reply.as_bytes()).await;
            continue;
        }
        let attempt = field(&head, "hs-attempt");
        let act = script(number, &attempt);
        seen.send_modify(|seen| seen.requests.push((number, attempt.clone())));
        let reply = match act {
            Act::Answer => reply(200, &attempt, "", "found", 5),
            Act::Cut => reply(200, &attempt, "", "fo", 5),
            Act::Swap => reply(200, "00-1-1", "", "found", 5),
            Act::Refuse => {
                reply(503, &attempt, "hs-not-run: 1\r\nhs-retry-after-ms: 40\r\n", "", 0)
            }
            Act::RefuseOther => reply(503, "00-1-1", "hs-not-run: 1\r\n", "", 0),
            Act::Fail => reply(503, &attempt, "", "", 0),
            Act::Close => return,
            Act::Hold => continue,
            Act::Late => {
                let _ = released.wait_for(|released| *released).await;
                reply(200, &attempt, "", "found", 5)
            }
        };
        let _ = stream.write_all(reply.as_bytes()).await;
        if act == Act::Cut {
            return;
        }
    }
}

fn reply(status: u16, attempt: &str, extra: &str, body: &str, length: usize) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nhs-attempt: {attempt}\r\nhs-map: m\r\nhs-version: 3\r\n\
         hs-shard: 2\r\nhs-incarnation: 7\r\nhs-state: ready\r\nhs-load: 1\r\n{extra}\
         content-length: {length}\r\n\r\n{body}"
    )
}

fn field(head: &str, name: &str) -> String {
    let line = head.lines().find_map(|line| line.strip_prefix(&format!("{name}: ")));
    line.unwrap_or_default().to_owned()
}

/// Reads one head and its body; `None` at the end of the connection.
async fn read(stream: &mut TcpStream, pending: &Mutex<Vec<u8>>) -> Option<String> {
    loop {
        if let Some(head) = take(&mut pending.lock()) {
            return Some(head);
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => pending.lock().extend_from_slice(&chunk[..count]),
        }
    }
}

fn take(pending: &mut Vec<u8>) -> Option<String> {
    let end = pending.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8(pending[..end].to_vec()).unwrap();
    let length: usize = field(&head, "content-length").parse().unwrap_or(0);
    if pending.len() < end + length {
        return None;
    }
    pending.drain(..end + length);
    Some(head)
}

/// A pool that has all of a server's cap to itself.
pub fn pool() -> Pool {
    Pool::new(settings(), Arc::new(Open))
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
        deadline: Duration::from_secs(30),
        priority: Priority::Routine,
        non_idempotent: false,
        body: Bytes::from_static(b"{}"),
    }
}
