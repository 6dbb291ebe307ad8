//! Counts the calls and bytes that nodes exchange, to measure the cost of the
//! control plane.
//!
//! Invariant: every byte on a peer connection is counted once at each end,
//! including frame lengths and excluding headers of lower layers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use serde::Serialize;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// The calls and bytes of one node so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Calls made to peers.
    pub calls: u64,
    /// Calls that failed or were not answered in time.
    pub failed: u64,
    /// Calls answered for peers.
    pub answered: u64,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Connections opened to peers.
    pub connections: u64,
}

/// Live counters of one node.
#[derive(Debug, Default)]
pub struct Meter {
    pub(crate) calls: AtomicU64,
    pub(crate) failed: AtomicU64,
    pub(crate) answered: AtomicU64,
    pub(crate) connections: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

impl Meter {
    /// Returns a snapshot of the counters.
    pub fn counters(&self) -> Counters {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Counters {
            calls: read(&self.calls),
            failed: read(&self.failed),
            answered: read(&self.answered),
            sent: read(&self.sent),
            received: read(&self.received),
            connections: read(&self.connections),
        }
    }

    pub(crate) fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// A stream whose bytes are counted.
#[derive(Debug)]
pub struct Metered<S> {
    inner: S,
    meter: Arc<Meter>,
}

impl<S> Metered<S> {
    /// Wraps `inner`, whose bytes are counted in `meter`.
    pub fn new(inner: S, meter: Arc<Meter>) -> Self {
        Self { inner, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        self.meter.received.fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &polled {
            self.meter.sent.fetch_add(*written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
