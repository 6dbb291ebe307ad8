//! One node's part in the deployment: the state machines of this crate, their
//! loops, and the calls that the node makes of its peers.
//!
//! Invariant: each state machine stands under its own lock, which is never held
//! over an await.

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

use crate::connect::Connections;
use crate::connect::Failed;
use crate::freshness;
use crate::freshness::Fresh;
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
use crate::protocol::News;
use crate::protocol::Response;
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

/// The limit of a short call between peers.
pub(crate) const CALL_LIMIT: Duration = Duration::from_millis(1000);
/// What a forwarded query may take beyond its own deadline.
const FORWARD_MARGIN: Duration = Duration::from_millis(200);
/// The limit of a forwarded query that names no deadline.
const FORWARD_LIMIT: Duration = Duration::from_secs(30);

/// How a node takes part.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's name.
    pub name: Arc<str>,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it listens; the peer port may be 0.
    pub addresses: Addresses,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Peer addresses to join by.
    pub seeds: Vec<SocketAddr>,
    /// Sets all random choices.
    pub seed: u64,
    /// How members are watched.
    pub member: member::Settings,
    /// When the node may be named.
    pub fresh: freshness::Settings,
    /// How it stops.
    pub stop: shutdown::Settings,
    /// The time between two digests.
    pub digest_every: Duration,
    /// How many peers what is new is pushed to.
    pub fanout: usize,
}

impl Settings {
    /// The usual settings.
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
            fresh: freshness::Settings::default(),
            stop: shutdown::Settings::default(),
            digest_every: Duration::from_secs(1),
            fanout: 3,
        }
    }

    /// The same with peers to join by.
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }
}

/// What is told when a forwarded query broke down on its way.
pub(crate) fn lost_refusal() -> Response {
    Response::Refusal(Refusal {
        request: Arc::from(""),
        outcome: Execution::Unknown,
        cause: Cause::MinterGone,
        message: "the node that holds the ticket broke off".to_owned(),
        retry_after_ms: None,
    })
}

/// Where a ticket's table is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// On this node.
    Local,
    /// On the peer that minted it or took it over.
    Peer(SocketAddr),
    /// No node that is up has it.
    NoOwner,
}

/// Why a query could not be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ForwardError {
    /// The table is on this node; run it here.
    #[error("the ticket is this node's own")]
    Local,
    /// No node that is up has the table.
    #[error("no node holds the ticket")]
    NoOwner,
    /// The query did not reach the node that has it.
    #[error("the node that holds the ticket was not reached")]
    NotSent,
    /// The query was sent and not answered.
    #[error("the node that holds the ticket did not answer")]
    Lost,
}

/// One node's share of the experiments' results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Contribution {
    /// The node.
    pub node: Arc<str>,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its share; `None` if it did not answer.
    pub bytes: Option<Vec<u8>>,
}

/// The state of a mesh, for dumps.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// All members, this node first.
    pub members: Vec<Record>,
    /// What data centres would tell each other.
    pub summaries: Vec<Summary>,
    /// The digest of what is known.
    pub root: Root,
    /// Objects and tombstones known.
    pub objects: usize,
    /// Leaving upstreams known.
    pub marks: Vec<Withdrawal>,
    /// How far the node is in becoming fresh.
    pub fresh: String,
    /// How far it is in stopping.
    pub phase: Phase,
    /// The nodes of this data centre that hold the platform's watch.
    pub watchers: Vec<Incarnation>,
    /// Messages and bytes.
    pub counters: Counters,
}

/// One node's part in the deployment.
pub struct Mesh {
    pub(crate) core: Arc<Core>,
}

impl Mesh {
    /// Listens for peers, joins, and runs until `stop` is cancelled.
    pub async fn start(
        mut settings: Settings,
        host: Arc<dyn Handler>,
        stop: CancellationToken,
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
            spread: Mutex::new(gossip::State::new()),
            fresh: Mutex::new(Fresh::new(settings.fresh.clone(), Time::ZERO)),
            stop: Mutex::new(Shutdown::new(settings.incarnation, &settings.stop)),
            pending: Mutex::new(News::default()),
            news: Notify::new(),
            hints: Mutex::new(Vec::new()),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed)),
            connections: Connections::new(meter.clone()),
            meter,
            settings,
            host,
        });
        let held = core.host.catalog();
        core.spread.lock().admit(held.iter().map(|object| Object::clone(object)).collect());
        loops::spawn(&core, &stop);
        tokio::spawn(serve::accept(core.clone(), listener, stop));
        Ok(Arc::new(Self { core }))
    }

    /// Where this node listens for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.core.settings.addresses.peer
    }

    /// All members as this node knows them, itself first.
    pub fn members(&self) -> Vec<Record> {
        self.core.table.lock().all().cloned().collect()
    }

    /// The lowest revision that a member which is up has applied.
    pub fn lowest_applied(&self) -> u64 {
        self.core.table.lock().lowest_applied()
    }

    /// The highest revision that this node or a peer is known to hold.
    pub fn highest_known_revision(&self) -> u64 {
        let highest = self.core.table.lock().highest_applied();
        highest.max(self.core.spread.lock().root().revision)
    }

    /// Which nodes a caller at `place` is told of; this node's own place if none
    /// is given. Its own lookups' lifetime is that of the settings.
    pub fn lookup(&self, locality: Option<lookup::Locality<'_>>) -> EntryNodes {
        let settings = &self.core.settings;
        let own = lookup::Locality { data_centre: &settings.data_centre, region: &settings.region };
        let table = self.core.table.lock();
        let mut random = self.core.random.lock();
        lookup::entries(&table, locality.unwrap_or(own), settings.stop.lookup_ttl, &mut random)
    }

    /// Objects from the platform: those that are newer are offered to the host
    /// and pushed to peers.
    pub fn push(&self, objects: Vec<Object>) {
        self.core.receive(News { objects, marks: Vec::new() });
    }

    /// An upstream was seen leaving just now.
    pub fn announce_withdrawal(&self, server: Arc<str>, incarnation: Incarnation) {
        let mark = Withdrawal { server, incarnation, age_ms: 0 };
        self.core.receive(News { objects: Vec::new(), marks: vec![mark] });
    }

    /// Whether an upstream server incarnation is known to be leaving.
    pub fn is_leaving(&self, server: &str, incarnation: Incarnation) -> bool {
        self.core.spread.lock().is_leaving(server, incarnation)
    }

    /// Everything that the platform held was pushed, or (`false`) the node can no
    /// longer vouch for what it holds and starts over.
    pub fn set_synced(&self, fresh: bool) {
        let now = self.core.now();
        let mut state = self.core.fresh.lock();
        if !fresh {
            *state = Fresh::new(self.core.settings.fresh.clone(), now);
        } else {
            state.platform_synced();
        }
        drop(state);
        loops::show_fresh(&self.core);
    }

    /// Whether the platform answers this node.
    pub fn set_platform_reachable(&self, answers: bool) {
        self.core.table.lock().update(|own| own.platform = answers);
    }

    /// The VM list, which lags: advice on who leaves, and addresses to join by.
    pub fn set_vms(&self, vms: &Vms) {
        const ENTRY_ROLE: &str = "entry";
        let entries = || vms.vms.iter().filter(|vm| &*vm.role == ENTRY_ROLE);
        let leaving: Vec<Arc<str>> = entries()
            .filter(|vm| vm.life == Lifecycle::Leaving)
            .map(|vm| vm.name.clone())
            .collect();
        self.core.table.lock().advise_leaving(&leaving);
        *self.core.hints.lock() = entries().filter_map(|vm| vm.address.parse().ok()).collect();
    }

    /// Whether this node is to hold the platform's watch.
    pub fn is_watcher(&self) -> bool {
        self.watchers().contains(&self.core.settings.incarnation)
    }

    fn watchers(&self) -> Vec<Incarnation> {
        let table = self.core.table.lock();
        watcher::holders(table.all(), &self.core.settings.data_centre)
    }

    /// Where the table of a ticket's minter is.
    pub fn owner(&self, minter: Incarnation) -> Owner {
        let table = self.core.table.lock();
        let own = table.own();
        if own.incarnation == minter || own.minters.contains(&minter) {
            return Owner::Local;
        }
        // The taker goes first: a minter hands over only once it is sealed, and
        // its own record still says that it is up for a while after its exit.
        let taken = table.others().find(|r| r.is_up() && r.minters.contains(&minter));
        let minted = || table.get(minter).filter(|record| record.is_up());
        taken.or_else(minted).map_or(Owner::NoOwner, |record| Owner::Peer(record.peer))
    }

    /// Has a ticketed query run by the node that holds its ticket.
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
        let limit = query
            .deadline_ms
            .map_or(FORWARD_LIMIT, |ms| Duration::from_millis(u64::from(ms)) + FORWARD_MARGIN);
        let query = &query;
        let make = |client: crate::protocol::LinkClient, context| {
            let query = query.clone();
            async move { client.act(context, query).await }
        };
        self.core.connections.call(peer, limit, make).await.map_err(|failed| match failed {
            Failed::NotSent => ForwardError::NotSent,
            Failed::Lost => ForwardError::Lost,
        })
    }

    /// Hands sealed tickets to one peer; false if it didn't take them.
    pub async fn hand_over(&self, peer: Incarnation, tickets: Vec<u8>) -> bool {
        let Some(address) = self.core.peer_of(peer) else {
            return false;
        };
        let mut minters = self.core.table.lock().own().minters.clone();
        minters.push(self.core.settings.incarnation);
        let hand_over = &HandOver { minters, tickets };
        let make = |client: crate::protocol::LinkClient, context| {
            let hand_over = hand_over.clone();
            async move { client.hand_over(context, hand_over).await }
        };
        self.core.connections.call(address, CALL_LIMIT, make).await.unwrap_or(false)
    }

    /// The experiments' results of every member that is up.
    pub async fn collect_tallies(&self) -> Vec<Contribution> {
        let up: Vec<Record> =
            self.core.table.lock().others().filter(|r| r.is_up()).cloned().collect();
        let asked = up.into_iter().map(|record| async move {
            let make = |client: crate::protocol::LinkClient, context| async move {
                client.tallies(context).await
            };
            let bytes = self.core.connections.call(record.peer, CALL_LIMIT, make).await.ok();
            Contribution { node: record.name, incarnation: record.incarnation, bytes }
        });
        let own = Contribution {
            node: self.core.settings.name.clone(),
            incarnation: self.core.settings.incarnation,
            bytes: Some(self.core.host.tallies()),
        };
        let mut tallies = vec![own];
        tallies.extend(join_all(asked).await);
        tallies
    }

    /// Messages and bytes so far.
    pub fn counters(&self) -> Counters {
        self.core.meter.counters()
    }

    /// The whole state.
    pub fn dump(&self) -> Dump {
        let now = self.core.now();
        let spread = self.core.spread.lock();
        let (root, objects, marks) = (spread.root(), spread.len(), spread.marks(now));
        drop(spread);
        // Each lock is let go before the next is taken: a guard that is made
        // within the literal below would live until its end.
        let members = self.members();
        let summaries = summary::of(self.core.table.lock().all());
        let fresh = self.core.fresh.lock().to_string();
        let phase = self.shutdown_phase();
        let watchers = self.watchers();
        let counters = self.counters();
        Dump { members, summaries, root, objects, marks, fresh, phase, watchers, counters }
    }
}
