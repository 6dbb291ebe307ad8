//! A server that runs each request and ends its answer early: within its head, a chunk, or its
//! stated length. The request's path says where: `/…/FRAMING/END/BYTES`, with the names of
//! [`Framing`] and [`End`]; without these, the answer is whole.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::http;

/// How the length of an answer's body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The head states it.
    Length,
    /// The body comes in two chunks.
    Chunks,
    /// The body ends with the connection.
    Close,
}

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It is closed.
    Closed,
    /// It is reset.
    Reset,
}

impl Framing {
    /// All framings.
    pub const ALL: [Self; 3] = [Self::Length, Self::Chunks, Self::Close];

    /// The name in a path.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Close => "close",
        }
    }
}

impl End {
    /// All ends.
    pub const ALL: [Self; 2] = [Self::Closed, Self::Reset];

    /// The name in a path.
    pub fn name(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Reset => "reset",
        }
    }
}

/// What servers that share it do with a request whose answer would be cut: the first that gets it
/// answers it whole after a delay, so that it is hedged, and only the others cut their answers.
#[derive(Debug)]
pub struct Hedges {
    delay: Duration,
    arrivals: Mutex<HashMap<String, usize>>,
}

impl Hedges {
    /// The first server answers after `delay`.
    pub fn new(delay: Duration) -> Self {
        Self { delay, arrivals: Mutex::default() }
    }

    /// How often the request `id` has arrived.
    pub fn arrivals(&self, id: &str) -> usize {
        self.arrivals.lock().get(id).copied().unwrap_or_default()
    }

    /// Records that a request arrives; returns whether it is the first time.
    fn arrives_first(&self, id: &str) -> bool {
        let mut arrivals = self.arrivals.lock();
        let count = arrivals.entry(id.to_owned()).or_default();
        *count += 1;
        *count == 1
    }
}

/// A running server.
pub struct Server {
    id: String,
    service: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<String>>>,
    accepting: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Server {
    /// Starts a server on a free port of the loopback interface, which answers with `records`.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(id: &str, service: &str, records: &[u8]) -> io::Result<Self> {
        Self::start_with(id, service, records, None).await
    }

    /// Like [`Self::start`]; with `hedges`, only what it gets after another server is cut.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start_with(
        id: &str,
        service: &str,
        records: &[u8],
        hedges: Option<Arc<Hedges>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let runs = Arc::new(Mutex::new(Vec::new()));
        let (shared, own_id, records) = (Arc::clone(&runs), id.to_owned(), records.to_vec());
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (id, records, runs) = (own_id.clone(), records.clone(), Arc::clone(&shared));
                let hedges = hedges.clone();
                tokio::spawn(async move {
                    serve(stream, &id, &records, &runs, hedges.as_deref()).await
                });
            }
        });
        let accepting = accepting.abort_handle();
        Ok(Self { id: id.to_owned(), service: service.to_owned(), address, runs, accepting })
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

    /// The ids of the requests that it ran.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().clone()
    }
}

/// The bytes of an answer to the request `id`, and the length of its head.
pub fn answer(framing: Framing, server: &str, id: &str, records: &[u8]) -> (Vec<u8>, usize) {
    let line = match framing {
        Framing::Length => format!("content-length: {}\r\n", records.len()),
        Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
        Framing::Close => String::new(),
    };
    // The fields that a reader needs come first: a head that is cut has them.
    let head = format!(
        "HTTP/1.1 200 OK\r\nheatherseam-request-id: {id}\r\n\
         heatherseam-server-stamp: {server}.{id}\r\n{line}content-type: text/plain\r\n\r\n"
    );
    let (first, second) = records.split_at(records.len() / 2);
    let body = match framing {
        Framing::Length | Framing::Close => records.to_vec(),
        Framing::Chunks => {
            let chunk =
                |data: &[u8]| [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat();
            [chunk(first), chunk(second), b"0\r\n\r\n".to_vec()].concat()
        }
    };
    ([head.as_bytes(), &body].concat(), head.len())
}

async fn serve(
    mut stream: TcpStream,
    server: &str,
    records: &[u8],
    runs: &Mutex<Vec<String>>,
    hedges: Option<&Hedges>,
) -> io::Result<()> {
    while let Some((path, id)) = read_request(&mut stream).await? {
        runs.lock().push(id.clone());
        let mut parts = path.rsplit('/');
        let cut: Option<usize> = parts.next().and_then(|bytes| bytes.parse().ok());
        let end = End::ALL.into_iter().find(|end| Some(end.name()) == parts.clone().next());
        let framing = Framing::ALL
            .into_iter()
            .find(|framing| Some(framing.name()) == parts.clone().nth(1))
            .unwrap_or(Framing::Length);
        let (bytes, _) = answer(framing, server, &id, records);
        let (Some(cut), Some(end)) = (cut, end) else {
            stream.write_all(&bytes).await?;
            continue;
        };
        if let Some(hedges) = hedges
            && hedges.arrives_first(&id)
        {
            tokio::time::sleep(hedges.delay).await;
            stream.write_all(&bytes).await?;
            match framing {
                Framing::Length | Framing::Chunks => continue,
                Framing::Close => return Ok(()),
            }
        }
        stream.write_all(&bytes[..cut.min(bytes.len())]).await?;
        // What was written reaches the reader before the end does.
        tokio::time::sleep(Duration::from_millis(2)).await;
        if end == End::Reset {
            stream.set_zero_linger()?;
        }
        return Ok(());
    }
    Ok(())
}

/// Reads a request without a body; returns its path and id, or `None` at the end of the
/// connection.
async fn read_request(stream: &mut TcpStream) -> io::Result<Option<(String, String)>> {
    let Some(head) = http::read_head(stream).await? else { return Ok(None) };
    let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
    let id = head.lines().find_map(|line| line.strip_prefix("heatherseam-request-id: "));
    Ok(Some((path, id.unwrap_or_default().to_owned())))
}
