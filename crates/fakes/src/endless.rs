//! Servers whose answers have no end: bytes come until the caller closes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// What has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The header lines.
    Head,
    /// The value of one header.
    Value,
    /// A body with a stated length.
    Body,
    /// A body in chunks.
    Chunks,
    /// A body in chunks of one byte.
    ByteChunks,
    /// The extension of a chunk.
    Extension,
    /// The header lines after a body.
    Trailers,
    /// Informational answers before the final one.
    Informational,
    /// Bytes that are no answer.
    Noise,
    /// A body of which one byte comes in 50 ms.
    Trickle,
}

/// The interval between the bytes of a body that trickles.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(50);
/// How many times a piece is repeated in one write.
const REPEATS: usize = 512;

impl Part {
    /// All parts.
    pub const ALL: [Self; 10] = [
        Self::Body,
        Self::Chunks,
        Self::Head,
        Self::Value,
        Self::Noise,
        Self::Trickle,
        Self::ByteChunks,
        Self::Extension,
        Self::Trailers,
        Self::Informational,
    ];

    /// The bytes that begin an answer, and those that are repeated without end.
    fn bytes(self) -> (&'static str, &'static str) {
        let head = "HTTP/1.1 200 OK\r\n";
        match self {
            Self::Head => (head, "x-filler: some more bytes of a header line\r\n"),
            Self::Value => ("HTTP/1.1 200 OK\r\nx-filler: ", "some more bytes of a value "),
            Self::Body => {
                ("HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n", "sixteen bytes ..")
            }
            Self::Chunks => {
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                (head, "10\r\nsixteen bytes ..\r\n")
            }
            Self::ByteChunks => {
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                (head, "1\r\nx\r\n")
            }
            Self::Extension => {
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10;";
                (head, "some more bytes of an extension ")
            }
            Self::Trailers => {
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
                (head, "x-filler: some more bytes of a trailer\r\n")
            }
            Self::Informational => ("", "HTTP/1.1 100 Continue\r\n\r\n"),
            Self::Noise => ("", "no answer at all "),
            Self::Trickle => ("HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n", "."),
        }
    }
}

/// A server whose answers have no end.
#[derive(Debug)]
pub struct Server {
    /// The address that it listens on.
    pub address: SocketAddr,
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
    pub async fn start(part: Part) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer(stream, part));
            }
        });
        Ok(Self { address, accepting: accepting.abort_handle() })
    }
}

/// Answers one request of a connection until the caller closes it.
async fn answer(mut stream: TcpStream, part: Part) -> io::Result<()> {
    let mut request = [0; 4096];
    if stream.read(&mut request).await? == 0 {
        return Ok(());
    }
    let (first, piece) = part.bytes();
    stream.write_all(first.as_bytes()).await?;
    let many = piece.repeat(REPEATS);
    loop {
        if part == Part::Trickle {
            tokio::time::sleep(TRICKLE_INTERVAL).await;
            stream.write_all(piece.as_bytes()).await?;
        } else {
            stream.write_all(many.as_bytes()).await?;
        }
    }
}
