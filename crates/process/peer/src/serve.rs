//! The server side of the protocol between nodes.
//!
//! Invariant: no method holds a lock across an await, and the size of each answer
//! is bounded.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_serde::formats::MessagePack;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

use crate::gossip;
use crate::gossip::Root;
use crate::meter::Meter;
use crate::meter::Metered;
use crate::protocol::Ack;
use crate::protocol::Digest;
use crate::protocol::Exchange;
use crate::protocol::ExchangeReply;
use crate::protocol::HandOver;
use crate::protocol::Link;
use crate::protocol::Probe;
use crate::protocol::Response;
use crate::protocol::Update;
use crate::record::Record;
use crate::shared::Core;
use conf::object::Object;
use wire::caller::Query;

/// How long a connection without a call is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The maximum number of minters in a node's record.
const MAX_MINTERS: usize = 16;

/// Accepts connections of peers until `cancel` is cancelled.
pub(crate) async fn accept(core: Arc<Core>, listener: TcpListener, cancel: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let serving = serve(core.clone(), stream);
                let cancel = cancel.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        () = cancel.cancelled() => {}
                        () = serving => {}
                    }
                });
            }
            Err(error) => {
                log::warn!(target: "peer", "accepting a peer connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(core: Arc<Core>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let metered = Metered::new(stream, core.meter.clone());
    let framed = Framed::new(metered, LengthDelimitedCodec::new());
    let transport = serde_transport::new(framed, MessagePack::default());
    let requests = BaseChannel::with_defaults(transport).execute(Server { core }.serve());
    let mut requests = std::pin::pin!(requests);
    while let Ok(Some(request)) = tokio::time::timeout(IDLE_TIMEOUT, requests.next()).await {
        tokio::spawn(request);
    }
}

#[derive(Clone)]
struct Server {
    core: Arc<Core>,
}

impl Link for Server {
    async fn probe(self, _: Context, probe: Probe) -> Ack {
        Meter::add(&self.core.meter.answered);
        self.core.answer_probe(probe)
    }

    async fn relay(self, _: Context, target: SocketAddr, probe: Probe) -> Option<Ack> {
        Meter::add(&self.core.meter.answered);
        self.core.send_probe(target, probe).await.ok()
    }

    async fn members(self, _: Context, digest: u64) -> Vec<Record> {
        Meter::add(&self.core.meter.answered);
        self.core.tick();
        let table = self.core.table.lock();
        if table.digest() == digest { Vec::new() } else { table.all().cloned().collect() }
    }

    async fn push(self, _: Context, update: Update) {
        Meter::add(&self.core.meter.answered);
        self.core.merge_update(update);
    }

    async fn digest(self, _: Context, root: Root) -> Digest {
        Meter::add(&self.core.meter.answered);
        let now = self.core.now();
        let fresh = self.core.freshness.lock().was_fresh();
        let gossip = self.core.gossip.lock();
        let ours = gossip.root();
        let buckets =
            if ours.objects == root.objects { Vec::new() } else { gossip.buckets().to_vec() };
        let withdrawals =
            if ours.withdrawals == root.withdrawals { Vec::new() } else { gossip.withdrawals(now) };
        Digest { root: ours, fresh, buckets, withdrawals }
    }

    async fn exchange(self, _: Context, exchange: Exchange) -> ExchangeReply {
        Meter::add(&self.core.meter.answered);
        let difference = self.core.gossip.lock().compare(&exchange.versions, &exchange.buckets);
        let catalog = self.core.handler.catalog();
        let newer = difference.newer_here.iter().filter_map(|key| catalog.get(key));
        let newer: Vec<Object> = newer.map(|object| Object::clone(object)).collect();
        let mut chunks = gossip::chunks(newer);
        let more = chunks.len() > 1;
        let objects = if chunks.is_empty() { Vec::new() } else { chunks.swap_remove(0) };
        ExchangeReply { objects, more, requested: difference.newer_there }
    }

    async fn stay(self, _: Context, asker: Record) -> bool {
        Meter::add(&self.core.meter.answered);
        let now = self.core.now();
        let ready = {
            let mut table = self.core.table.lock();
            table.merge(vec![asker], now);
            table.own().is_ready()
        };
        ready && self.core.shutdown.lock().grants_stay()
    }

    async fn act(self, _: Context, query: Query) -> Response {
        Meter::add(&self.core.meter.answered);
        // Runs in a separate task, so that it continues if the connection to the
        // forwarding peer ends.
        let running = self.core.handler.run_query(query);
        let refused = crate::mesh::owner_lost_refusal;
        tokio::spawn(running).await.unwrap_or_else(|_| refused())
    }

    async fn hand_over(self, _: Context, hand_over: HandOver) -> bool {
        Meter::add(&self.core.meter.answered);
        if !self.core.shutdown.lock().grants_stay()
            || !self.core.handler.import_tickets(hand_over.tickets)
        {
            return false;
        }
        self.core.table.lock().update(|own| {
            own.minters.retain(|minter| !hand_over.minters.contains(minter));
            own.minters.extend(hand_over.minters);
            let excess = own.minters.len().saturating_sub(MAX_MINTERS);
            own.minters.drain(..excess);
        });
        true
    }

    async fn tallies(self, _: Context) -> Vec<u8> {
        Meter::add(&self.core.meter.answered);
        self.core.handler.contribution()
    }
}
