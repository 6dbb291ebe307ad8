//! Connections to peers, opened on demand and replaced if a call fails.
//!
//! Invariant: every call has a timeout, and a connection on which a call failed is
//! not used again.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use tarpc::client;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::context::Context;
use tarpc::serde_transport;
use tokio::net::TcpStream;
use tokio_serde::formats::MessagePack;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::meter::Meter;
use crate::meter::Metered;
use crate::protocol::LinkClient;

/// The maximum number of connections that a node keeps to its peers.
const MAX_CONNECTIONS: usize = 64;
/// How long an unused connection is kept. Shorter than the peer's own idle timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The reason why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CallError {
    /// No connection could be opened. The call may still have been sent before, on a
    /// cached connection that failed.
    #[error("not sent")]
    NotSent,
    /// The call was sent and not answered.
    #[error("not answered")]
    NoAnswer,
}

struct CachedClient {
    client: LinkClient,
    last_used: Instant,
}

/// The connections of one node to its peers.
pub(crate) struct Connections {
    cached: Mutex<BTreeMap<SocketAddr, CachedClient>>,
    meter: Arc<Meter>,
}

impl Connections {
    pub(crate) fn new(meter: Arc<Meter>) -> Self {
        Self { cached: Mutex::new(BTreeMap::new()), meter }
    }

    /// Makes a call. If it fails on a cached connection, repeats it once on a new
    /// connection, except after a timeout.
    pub(crate) async fn call<T, F>(
        &self,
        peer: SocketAddr,
        timeout: Duration,
        send: impl Fn(LinkClient, Context) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        Meter::add(&self.meter.calls);
        let deadline = Instant::now() + timeout;
        let call = self.try_call(peer, deadline, send);
        let tokio_deadline = tokio::time::Instant::from_std(deadline);
        let answer =
            tokio::time::timeout_at(tokio_deadline, call).await.unwrap_or(Err(CallError::NoAnswer));
        if answer.is_err() {
            Meter::add(&self.meter.failed);
            self.cached.lock().remove(&peer);
        }
        answer
    }

    async fn try_call<T, F>(
        &self,
        peer: SocketAddr,
        deadline: Instant,
        send: impl Fn(LinkClient, Context) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let context = context_until(deadline);
        if let Some(client) = self.cached_client(peer) {
            match send(client, context).await {
                Ok(answer) => return Ok(answer),
                Err(RpcError::DeadlineExceeded) => return Err(CallError::NoAnswer),
                Err(_) => {
                    self.cached.lock().remove(&peer);
                }
            }
        }
        let client = self.connect(peer).await?;
        send(client, context).await.map_err(|_| CallError::NoAnswer)
    }

    fn cached_client(&self, peer: SocketAddr) -> Option<LinkClient> {
        let now = Instant::now();
        let mut cached = self.cached.lock();
        cached.retain(|_, cached| now.duration_since(cached.last_used) < IDLE_TIMEOUT);
        let found = cached.get_mut(&peer)?;
        found.last_used = now;
        Some(found.client.clone())
    }

    async fn connect(&self, peer: SocketAddr) -> Result<LinkClient, CallError> {
        let stream = TcpStream::connect(peer).await.map_err(|_| CallError::NotSent)?;
        stream.set_nodelay(true).map_err(|_| CallError::NotSent)?;
        Meter::add(&self.meter.connections);
        let metered = Metered::new(stream, self.meter.clone());
        let framed = Framed::new(metered, LengthDelimitedCodec::new());
        let transport = serde_transport::new(framed, MessagePack::default());
        let client = LinkClient::new(client::Config::default(), transport).spawn();
        let mut cached = self.cached.lock();
        if cached.len() >= MAX_CONNECTIONS {
            let oldest =
                cached.iter().min_by_key(|(_, cached)| cached.last_used).map(|(peer, _)| *peer);
            oldest.and_then(|peer| cached.remove(&peer));
        }
        cached.insert(peer, CachedClient { client: client.clone(), last_used: Instant::now() });
        Ok(client)
    }
}

fn context_until(deadline: Instant) -> Context {
    let mut context = context::current();
    context.deadline = deadline;
    context
}
