//! Connections to peers, opened when needed and replaced when silent.
//!
//! Invariant: every call has a time limit, and a connection on which a call
//! failed is never used for another.

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

/// The most connections that a node keeps to its peers.
const KEPT_LIMIT: usize = 64;
/// How long an unused connection is kept; less than the peer's own limit.
const KEPT_FOR: Duration = Duration::from_secs(30);

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Failed {
    /// It was not sent.
    #[error("not sent")]
    NotSent,
    /// It was sent and not answered.
    #[error("not answered")]
    Lost,
}

struct Kept {
    client: LinkClient,
    used: Instant,
}

/// The connections of one node.
pub(crate) struct Connections {
    kept: Mutex<BTreeMap<SocketAddr, Kept>>,
    meter: Arc<Meter>,
}

impl Connections {
    pub(crate) fn new(meter: Arc<Meter>) -> Self {
        Self { kept: Mutex::new(BTreeMap::new()), meter }
    }

    /// Makes one call; one more on a new connection if a kept one had closed.
    pub(crate) async fn call<T, F>(
        &self,
        peer: SocketAddr,
        limit: Duration,
        make: impl Fn(LinkClient, Context) -> F,
    ) -> Result<T, Failed>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        Meter::add(&self.meter.calls);
        let deadline = Instant::now() + limit;
        let called = self.try_call(peer, deadline, make);
        let outer = tokio::time::Instant::from_std(deadline);
        let answer = tokio::time::timeout_at(outer, called).await.unwrap_or(Err(Failed::Lost));
        if answer.is_err() {
            Meter::add(&self.meter.failed);
            self.kept.lock().remove(&peer);
        }
        answer
    }

    async fn try_call<T, F>(
        &self,
        peer: SocketAddr,
        deadline: Instant,
        make: impl Fn(LinkClient, Context) -> F,
    ) -> Result<T, Failed>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let context = context_until(deadline);
        if let Some(client) = self.kept_client(peer) {
            match make(client, context).await {
                Ok(answer) => return Ok(answer),
                Err(RpcError::DeadlineExceeded) => return Err(Failed::Lost),
                Err(_) => {
                    self.kept.lock().remove(&peer);
                }
            }
        }
        let client = self.connect(peer).await?;
        make(client, context).await.map_err(|_| Failed::Lost)
    }

    fn kept_client(&self, peer: SocketAddr) -> Option<LinkClient> {
        let now = Instant::now();
        let mut kept = self.kept.lock();
        kept.retain(|_, kept| now.duration_since(kept.used) < KEPT_FOR);
        let found = kept.get_mut(&peer)?;
        found.used = now;
        Some(found.client.clone())
    }

    async fn connect(&self, peer: SocketAddr) -> Result<LinkClient, Failed> {
        let stream = TcpStream::connect(peer).await.map_err(|_| Failed::NotSent)?;
        stream.set_nodelay(true).map_err(|_| Failed::NotSent)?;
        Meter::add(&self.meter.connections);
        let metered = Metered::new(stream, self.meter.clone());
        let framed = Framed::new(metered, LengthDelimitedCodec::new());
        let transport = serde_transport::new(framed, MessagePack::default());
        let client = LinkClient::new(client::Config::default(), transport).spawn();
        let mut kept = self.kept.lock();
        if kept.len() >= KEPT_LIMIT {
            let oldest = kept.iter().min_by_key(|(_, kept)| kept.used).map(|(peer, _)| *peer);
            oldest.and_then(|peer| kept.remove(&peer));
        }
        kept.insert(peer, Kept { client: client.clone(), used: Instant::now() });
        Ok(client)
    }
}

fn context_until(deadline: Instant) -> Context {
    let mut context = context::current();
    context.deadline = deadline;
    context
}
