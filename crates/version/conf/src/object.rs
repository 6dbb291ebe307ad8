//! The configuration objects that operators create.
//!
//! Invariant: an object changes only by a higher revision; of two copies the
//! one with the higher revision is right, whichever came last. A deleted object
//! stays as a tombstone.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// The kind of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A query service.
    Service,
    /// A shard map of a service.
    Map,
    /// A policy that governs services.
    Policy,
    /// An experiment that compares policies.
    Experiment,
}

impl Kind {
    /// All kinds, in the order in which objects refer to each other.
    pub const ALL: [Self; 4] = [Self::Policy, Self::Map, Self::Service, Self::Experiment];

    /// Its name in paths and on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Map => "map",
            Self::Policy => "policy",
            Self::Experiment => "experiment",
        }
    }

    /// Reads [`Kind::as_str`]'s text.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Names an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Its kind.
    pub kind: Kind,
    /// Its name, unique within the kind.
    pub name: Arc<str>,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// An object, or its tombstone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Its name.
    pub key: Key,
    /// The platform's revision of its last change.
    pub revision: u64,
    /// What it says; `None` marks a tombstone.
    pub spec: Option<Spec>,
}

/// What an object says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spec {
    /// Of a [`Kind::Service`].
    Service(Service),
    /// Of a [`Kind::Map`].
    Map(Map),
    /// Of a [`Kind::Policy`].
    Policy(Policy),
    /// Of a [`Kind::Experiment`].
    Experiment(Experiment),
}

impl Spec {
    /// The kind of object that says this.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Service(_) => Kind::Service,
            Self::Map(_) => Kind::Map,
            Self::Policy(_) => Kind::Policy,
            Self::Experiment(_) => Kind::Experiment,
        }
    }
}

/// What a service does when not every shard answers in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Preference {
    /// Answer at the slice of the deadline with what is covered.
    Tail,
    /// Wait and retry up to the deadline.
    #[default]
    Coverage,
}

/// A query service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What it values.
    #[serde(rename = "value")]
    pub preference: Preference,
    /// The time limit of a request that names none, in milliseconds.
    pub deadline_ms: u32,
    /// The policy that governs it.
    pub policy: Arc<str>,
    /// The shard map in use.
    pub map: Arc<str>,
    /// Maps that may still answer while the one in use is being filled.
    #[serde(default)]
    pub older_maps: Vec<Arc<str>>,
    /// Requests that one server runs at once.
    pub slots: u32,
    /// Connections that one server accepts, over all nodes.
    pub connections: u32,
}

/// A shard map: which servers hold which shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Map {
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The groups; a shard's number is its group's index.
    pub groups: Vec<Group>,
}

/// The replicas of one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The servers.
    pub servers: Vec<Server>,
}

/// An upstream server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its name, unique in the deployment.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
}

/// How a replica is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Choice {
    /// Any replica.
    Random,
    /// Each replica in turn.
    RoundRobin,
    /// The one with fewer requests in flight of two drawn.
    #[default]
    LeastOfTwo,
    /// The one with the lower expected latency of two drawn.
    Latency,
    /// Each server has one node that queues for it.
    Home,
}

impl Choice {
    /// All choices.
    pub const ALL: [Self; 5] =
        [Self::Random, Self::RoundRobin, Self::LeastOfTwo, Self::Latency, Self::Home];
}

/// A policy that governs services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How a replica is chosen.
    pub choice: Choice,
    /// Extra sends for slow attempts.
    pub hedge: Hedge,
    /// Extra sends for failed attempts.
    pub retry: Retry,
    /// Which requests are let in.
    pub admit: Admission,
    /// The part of the deadline at which a service that values the tail
    /// answers with what is covered, in percent.
    pub slice_percent: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            choice: Choice::default(),
            hedge: Hedge::default(),
            retry: Retry::default(),
            admit: Admission::default(),
            slice_percent: 60,
        }
    }
}

/// Extra sends for slow attempts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hedge {
    /// The quantile of past latencies after which a second replica is asked,
    /// in percent; 100 turns hedging off.
    pub quantile_percent: f64,
    /// The most extra sends, in percent of first sends.
    pub budget_percent: f64,
}

impl Default for Hedge {
    fn default() -> Self {
        Self { quantile_percent: 96.0, budget_percent: 5.0 }
    }
}

/// Extra sends for failed attempts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// The most attempts of one shard, the first included.
    pub attempts: u32,
    /// The most retries, in percent of first sends.
    pub budget_percent: f64,
}

impl Default for Retry {
    fn default() -> Self {
        Self { attempts: 3, budget_percent: 10.0 }
    }
}

/// Which requests are let in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    /// The most requests that run at once on one node.
    pub most_running: u32,
    /// The most requests that wait on one node.
    pub most_waiting: u32,
    /// Whether the limit is learned from refusals and queueing.
    pub learn: bool,
    /// Whether requests that can't be finished in time are refused at once.
    pub deadline_aware: bool,
}

impl Default for Admission {
    fn default() -> Self {
        Self { most_running: 256, most_waiting: 256, learn: true, deadline_aware: true }
    }
}

/// What is assigned to an arm as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Unit {
    /// All requests of a caller go to one arm.
    Caller,
    /// Each request is assigned by itself.
    #[default]
    Request,
}

/// Where an experiment stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Written, not started.
    #[default]
    Draft,
    /// Requests are assigned to arms.
    Running,
    /// No longer assigned; may be started again.
    Stopped,
    /// Decided; the winner's policy governs the service.
    Concluded,
}

impl Stage {
    /// Its name in objects and messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draft => "draft",
            Self::Running => "running",
            Self::Stopped => "stopped",
            Self::Concluded => "concluded",
        }
    }

    /// Whether an experiment at this stage may go to `next` or stay there; a new
    /// one comes from `Draft`.
    pub fn may_become(self, next: Self) -> bool {
        match self {
            Self::Draft => matches!(next, Self::Draft | Self::Running),
            Self::Running => matches!(next, Self::Running | Self::Stopped | Self::Concluded),
            Self::Stopped => matches!(next, Self::Stopped | Self::Running | Self::Concluded),
            Self::Concluded => false,
        }
    }
}

/// An experiment that compares policies on one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The service.
    pub service: Arc<str>,
    /// The arms; the first is the baseline.
    pub arms: Vec<Arm>,
    /// What is assigned as a whole.
    #[serde(default)]
    pub unit: Unit,
    /// Where it stands.
    #[serde(default)]
    pub stage: Stage,
    /// The arm that won, once concluded.
    #[serde(default)]
    pub winner: Option<Arc<str>>,
    /// When an arm is stopped for doing harm.
    #[serde(default)]
    pub guard: Guard,
}

/// One arm of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// Its name, unique in the experiment.
    pub name: Arc<str>,
    /// The policy that it tries.
    pub policy: Arc<str>,
    /// Its share, relative to the sum of all weights; zero once stopped.
    pub weight: u32,
}

/// When an arm is stopped for doing harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Guard {
    /// The highest p99 relative to the baseline's.
    pub p99_ratio: f64,
    /// The largest loss of coverage against the baseline, in percentage points.
    pub coverage_loss_points: f64,
    /// The fewest requests of an arm before it is judged.
    pub least_requests: u64,
}

impl Default for Guard {
    fn default() -> Self {
        Self { p99_ratio: 2.0, coverage_loss_points: 2.0, least_requests: 1000 }
    }
}
