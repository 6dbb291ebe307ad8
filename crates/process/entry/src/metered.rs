//! A connection whose traffic is entered in the ledger of what others make this node hold.
//!
//! Invariant: a peer that takes no part of an answer for longer than its request's caller waits is
//! given up, and no sooner.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::inbound::Connection;

/// Added to the caller's deadline before a peer that takes nothing is given up.
const STALL_MARGIN: Duration = Duration::from_secs(1);

/// A stream that reports its progress.
pub(crate) struct Stream {
    stream: TcpStream,
    connection: Rc<Connection>,
    clock: Clock,
    /// Ends the wait of a write.
    stall: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// Reports the traffic of `stream` to `connection`.
    pub(crate) fn new(stream: TcpStream, connection: Rc<Connection>, clock: Clock) -> Self {
        Self { stream, connection, clock, stall: None }
    }

    /// Reports the result of a write; fails if the peer has taken nothing for too long.
    fn after_write(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_ready() {
            self.stall = None;
            if let Poll::Ready(Ok(bytes @ 1..)) = result {
                self.connection.sent(self.clock.now(), bytes);
            }
            return result;
        }
        let limit = self.connection.patience() + STALL_MARGIN;
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(stall.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        if received > 0 {
            this.connection.received(this.clock.now(), received);
        }
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.after_write(context, result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.after_write(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
