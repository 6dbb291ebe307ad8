//! One node's participation in the deployment: the state machines of this crate,
//! their background tasks, and the calls to peers.
//!
//! Invariant: each state machine has its own lock, which is never held across an
//! await.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::connect::CallError;
use crate::connect::Connections;
use crate::freshness;
use crate::freshness::Freshness;
use crate::gossip;
use crate::gossip::Root;
use crate::gossip::Withdrawal;
use crate::lookup;
use crate::loops;
use crate::member;
use crate::member::Table;
use crate::meter::Counters;
use crate::meter::Meter;
use crate::protocol::HandOver;
use crate::protocol::Handler;
use crate::protocol::Response;
use crate::protocol::Update;
use crate::record::Addresses;
use crate::record::Record;
use crate::serve;
use crate::shared::Core;
use crate::shutdown;
use crate::shutdown::Phase;
use crate::shutdown::Shutdown;
use crate::summary;
use crate::summary::Summary;
use crate::watcher;
use base::time::Time;
use conf::object::Object;
use wire::caller::Cause;
use wire::caller::EntryNodes;
use wire::caller::Execution;
use wire::caller::Query;
use wire::caller::Refusal;
use wire::id::Incarnation;
use wire::platform::Lifecycle;
use wire::platform::Vms;

/// The timeout of a short call to a peer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time added to a forwarded query's deadline for the call.
const FORWARD_MARGIN: Duration = Duration::from_millis(200);
/// The timeout of a forwarded query without a deadline.
const DEFAULT_FORWARD_TIMEOUT: Duration = Duration::from_secs(30);

/// The settings of a mesh.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's name.
    pub name: Arc<str>,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// The addresses on which it listens; the peer port may be 0.
    pub addresses: Addresses,
    /// The node's data centre.
    pub data_centre: Arc<str>,
    /// The node's region.
    pub region: Arc<str>,
    /// Peer addresses through which it joins.
    pub seeds: Vec<SocketAddr>,
    /// The seed of all random choices.
    pub seed: u64,
    /// Settings of failure detection.
    pub member: member::Settings,
    /// Settings for becoming fresh (see [`crate::freshness`]).
    pub freshness: freshness::Settings,
    /// Timeouts of a shutdown.
    pub shutdown: shutdown::Settings,
    /// The time between two digests.
    pub digest_interval: Duration,
    /// The number of peers to which a change is pushed.
    pub fanout: usize,
}

impl Settings {
    /// Creates the default settings.
    pub fn new(
        name: Arc<str>,
        incarnation: Incarnation,
        addresses: Addresses,
        data_centre: Arc<str>,
        region: Arc<str>,
    ) -> Self {
        Self {
            name,
            incarnation,
            addresses,
            data_centre,
            region,
            seeds: Vec::new(),
            seed: incarnation.0,
            member: member::Settings::default(),
            freshness: freshness::Settings::default(),
            shutdown: shutdown::Settings::default(),
            digest_interval: Duration::from_secs(1),
            fanout: 3,
        }
    }

    /// Sets the peer addresses through which the node joins.
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }
}

/// The refusal of a forwarded query whose execution was aborted.
pub(crate) fn owner_lost_refusal() -> Response {
    Response::Refusal(Refusal {
        request: Arc::from(""),
        outcome: Execution::Unknown,
        cause: Cause::MinterGone,
        message: "the node that holds the ticket broke off".to_owned(),
        retry_after_ms: None,
    })
}

/// The node that has the ticket table of a minter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This node.
    Local,
    /// A peer, which minted the ticket or took it over.
    Peer(SocketAddr),
    /// No node that is up.
    NoOwner,
}

/// The reason why a query could not be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ForwardError {
    /// The ticket table is on this node, which must run the query itself.
    #[error("the ticket is this node's own")]
    Local,
    /// No node that is up has the ticket table.
    #[error("no node holds the ticket")]
    NoOwner,
    /// The node that has the ticket table could not be connected to. The query may
    /// still have been sent before, on a cached connection that failed.
    #[error("the node that holds the ticket was not reached")]
    NotSent,
    /// The query was sent and not answered.
    #[error("the node that holds the ticket did not answer")]
    NoAnswer,
}

/// One node's contribution to the experiments' results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Contribution {
    /// The node's name.
    pub node: Arc<str>,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// The encoded contribution; `None` if the node did not answer.
    pub bytes: Option<Vec<u8>>,
}

/// The state of a mesh, for dumps.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// All members, this node first.
    pub members: Vec<Record>,
    /// The summaries of all data centres.
    pub summaries: Vec<Summary>,
    /// The digest of objects and withdrawals.
    pub root: Root,
    /// The number of known objects and tombstones.
    pub objects: usize,
    /// Upstream servers that are known to be leaving.
    #[serde(rename = "marks")]
    pub withdrawals: Vec<Withdrawal>,
    /// The state of becoming fresh.
    pub fresh: String,
    /// The phase of the shutdown.
    pub phase: Phase,
    /// The nodes of this data centre that watch the platform.
    pub watchers: Vec<Incarnation>,
    /// Calls and bytes exchanged with peers.
    pub counters: Counters,
}

/// One node's participation in the deployment.
pub struct Mesh {
    pub(crate) core: Arc<Core>,
}

impl Mesh {
    /// Listens for peers, joins, and runs until `cancel` is cancelled.
    pub async fn start(
        mut settings: Settings,
        handler: Arc<dyn Handler>,
        cancel: CancellationToken,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(settings.addresses.peer).await?;
        settings.addresses.peer = listener.local_addr()?;
        let own = Record::new(
            settings.name.clone(),
            settings.incarnation,
            settings.addresses,
            settings.data_centre.clone(),
            settings.region.clone(),
        );
        let meter = Arc::new(Meter::default());
        let core = Arc::new(Core {
            start: Instant::now(),
            table: Mutex::new(Table::new(own, settings.member.clone(), settings.seed)),
            gossip: Mutex::new(gossip::State::new()),
            freshness: Mutex::new(Freshness::new(settings.freshness.clone(), Time::ZERO)),
            shutdown: Mutex::new(Shutdown::new(settings.incarnation, &settings.shutdown)),
            pending_update: Mutex::new(Update::default()),
            update_ready: Notify::new(),
            join_hints: Mutex::new(Vec::new()),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed)),
            connections: Connections::new(meter.clone()),
            meter,
            settings,
            handler,
        });
        let catalog = core.handler.catalog();
        core.gossip
            .lock()
            .merge_objects(catalog.iter().map(|object| Object::clone(object)).collect());
        loops::spawn(&core, &cancel);
        tokio::spawn(serve::accept(core.clone(), listener, cancel));
        Ok(Arc::new(Self { core }))
    }

    /// Returns the address on which this node listens for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.core.settings.addresses.peer
    }

    /// Returns all members in this node's view, itself first.
    pub fn members(&self) -> Vec<Record> {
        self.core.table.lock().all().cloned().collect()
    }

    /// Returns the lowest revision that a member which is up has applied.
    pub fn lowest_applied(&self) -> u64 {
        self.core.table.lock().lowest_applied()
    }

    /// Returns the highest revision that this node or any member is known to have.
    pub fn highest_known_revision(&self) -> u64 {
        let highest = self.core.table.lock().highest_applied();
        highest.max(self.core.gossip.lock().root().revision)
    }

    /// Returns the nodes for a caller at `locality`, by default this node's own.
    /// The answer is valid for [`shutdown::Settings::lookup_ttl`].
    pub fn lookup(&self, locality: Option<lookup::Locality<'_>>) -> EntryNodes {
        let settings = &self.core.settings;
        let own = lookup::Locality { data_centre: &settings.data_centre, region: &settings.region };
        let table = self.core.table.lock();
        let mut random = self.core.random.lock();
        lookup::entries(&table, locality.unwrap_or(own), settings.shutdown.lookup_ttl, &mut random)
    }

    /// Merges objects received from the platform. Newer ones are passed to the
    /// handler and pushed to peers.
    pub fn push(&self, objects: Vec<Object>) {
        self.core.merge_update(Update { objects, withdrawals: Vec::new() });
    }

    /// Announces to peers that an upstream server is leaving, as seen just now.
    pub fn announce_withdrawal(&self, server: Arc<str>, incarnation: Incarnation) {
        let withdrawal = Withdrawal { server, incarnation, age_ms: 0 };
        self.core.merge_update(Update { objects: Vec::new(), withdrawals: vec![withdrawal] });
    }

    /// Whether an upstream server incarnation is known to be leaving.
    pub fn is_leaving(&self, server: &str, incarnation: Incarnation) -> bool {
        self.core.gossip.lock().is_leaving(server, incarnation)
    }

    /// Records that the platform's whole state was pushed, or, if `fresh` is false,
    /// that the node's objects may be out of date and it must become fresh again.
    pub fn set_synced(&self, fresh: bool) {
        let now = self.core.now();
        let mut state = self.core.freshness.lock();
        if !fresh {
            *state = Freshness::new(self.core.settings.freshness.clone(), now);
        } else {
            state.on_platform_synced();
        }
        drop(state);
        loops::publish_freshness(&self.core);
    }

    /// Records whether the platform answers this node.
    pub fn set_platform_reachable(&self, answers: bool) {
        self.core.table.lock().update(|own| own.platform = answers);
    }

    /// Processes the platform's VM list, which may be out of date. It is used only as
    /// a hint about which members are leaving, and for addresses through which to
    /// join.
    pub fn set_vms(&self, vms: &Vms) {
        const ENTRY_ROLE: &str = "entry";
        let entries = || vms.vms.iter().filter(|vm| &*vm.role == ENTRY_ROLE);
        let leaving: Vec<Arc<str>> = entries()
            .filter(|vm| vm.lifecycle == Lifecycle::Leaving)
            .map(|vm| vm.name.clone())
            .collect();
        self.core.table.lock().set_vm_leaving(&leaving);
        *self.core.join_hints.lock() = entries().filter_map(|vm| vm.address.parse().ok()).collect();
    }

    /// Whether this node is one of those that watch the platform.
    pub fn is_watcher(&self) -> bool {
        self.watchers().contains(&self.core.settings.incarnation)
    }

    fn watchers(&self) -> Vec<Incarnation> {
        let table = self.core.table.lock();
        watcher::select(table.all(), &self.core.settings.data_centre)
    }

    /// Returns the node that has the ticket table of `minter`.
    pub fn owner(&self, minter: Incarnation) -> Owner {
        let table = self.core.table.lock();
        let own = table.own();
        if own.incarnation == minter || own.minters.contains(&minter) {
            return Owner::Local;
        }
        // A node that took the table over has precedence: it received it after the
        // minter's last change, and the minter's record still states for a while
        // after its exit that it is up.
        let taker = table.others().find(|r| r.is_up() && r.minters.contains(&minter));
        let minted = || table.get(minter).filter(|record| record.is_up());
        taker.or_else(minted).map_or(Owner::NoOwner, |record| Owner::Peer(record.peer))
    }

    /// Forwards a query to the node that has its ticket and returns the outcome.
    pub async fn forward(
        &self,
        minter: Incarnation,
        query: Query,
    ) -> Result<Response, ForwardError> {
        let peer = match self.owner(minter) {
            Owner::Local => return Err(ForwardError::Local),
            Owner::NoOwner => return Err(ForwardError::NoOwner),
            Owner::Peer(peer) => peer,
        };
        let timeout = query.deadline_ms.map_or(DEFAULT_FORWARD_TIMEOUT, |ms| {
            Duration::from_millis(u64::from(ms)) + FORWARD_MARGIN
        });
        let query = &query;
        let send = |client: crate::protocol::LinkClient, context| {
            let query = query.clone();
            async move { client.act(context, query).await }
        };
        self.core.connections.call(peer, timeout, send).await.map_err(|failed| match failed {
            CallError::NotSent => ForwardError::NotSent,
            CallError::NoAnswer => ForwardError::NoAnswer,
        })
    }

    /// Sends exported tickets to a peer. Returns false if it did not accept them.
    pub async fn hand_over(&self, peer: Incarnation, tickets: Vec<u8>) -> bool {
        let Some(address) = self.core.address_of(peer) else {
            return false;
        };
        let mut minters = self.core.table.lock().own().minters.clone();
        minters.push(self.core.settings.incarnation);
        let hand_over = &HandOver { minters, tickets };
        let send = |client: crate::protocol::LinkClient, context| {
            let hand_over = hand_over.clone();
            async move { client.hand_over(context, hand_over).await }
        };
        self.core.connections.call(address, CALL_TIMEOUT, send).await.unwrap_or(false)
    }

    /// Collects the contributions to the experiments' results of all members that
    /// are up.
    pub async fn collect_contributions(&self) -> Vec<Contribution> {
        let up: Vec<Record> =
            self.core.table.lock().others().filter(|r| r.is_up()).cloned().collect();
        let calls = up.into_iter().map(|record| async move {
            let send = |client: crate::protocol::LinkClient, context| async move {
                client.tallies(context).await
            };
            let bytes = self.core.connections.call(record.peer, CALL_TIMEOUT, send).await.ok();
            Contribution { node: record.name, incarnation: record.incarnation, bytes }
        });
        let own = Contribution {
            node: self.core.settings.name.clone(),
            incarnation: self.core.settings.incarnation,
            bytes: Some(self.core.handler.contribution()),
        };
        let mut contributions = vec![own];
        contributions.extend(join_all(calls).await);
        contributions
    }

    /// Returns the calls and bytes exchanged with peers so far.
    pub fn counters(&self) -> Counters {
        self.core.meter.counters()
    }

    /// Returns the whole state.
    pub fn dump(&self) -> Dump {
        let now = self.core.now();
        let gossip = self.core.gossip.lock();
        let (root, objects, withdrawals) = (gossip.root(), gossip.len(), gossip.withdrawals(now));
        drop(gossip);
        // Each lock is released before the next is taken: a guard that is created
        // within the literal below would live until its end.
        let members = self.members();
        let summaries = summary::of(self.core.table.lock().all());
        let fresh = self.core.freshness.lock().to_string();
        let phase = self.shutdown_phase();
        let watchers = self.watchers();
        let counters = self.counters();
        Dump { members, summaries, root, objects, withdrawals, fresh, phase, watchers, counters }
    }
}
