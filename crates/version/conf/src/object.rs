//! The configuration objects that operators create.
//!
//! Invariant: each change of an object raises its revision. Of two copies the one
//! with the higher revision is valid, whichever arrived last. A deleted object stays
//! as a tombstone.

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
    /// A service's shard map.
    Map,
    /// A policy that applies to services.
    Policy,
    /// An experiment that compares policies.
    Experiment,
}

impl Kind {
    /// All kinds in dependency order: objects refer to objects of earlier kinds.
    pub const ALL: [Self; 4] = [Self::Policy, Self::Map, Self::Service, Self::Experiment];

    /// The kind's name in paths and on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Map => "map",
            Self::Policy => "policy",
            Self::Experiment => "experiment",
        }
    }

    /// Parses a name as [`Kind::as_str`] returns it.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The identity of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The object's kind.
    pub kind: Kind,
    /// The object's name, unique within the kind.
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
    /// The object's kind and name.
    pub key: Key,
    /// The platform's revision of the object's last change.
    pub revision: u64,
    /// The contents; `None` marks a tombstone.
    pub spec: Option<Spec>,
}

/// The contents of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spec {
    /// The contents of a [`Kind::Service`].
    Service(Service),
    /// The contents of a [`Kind::Map`].
    Map(Map),
    /// The contents of a [`Kind::Policy`].
    Policy(Policy),
    /// The contents of a [`Kind::Experiment`].
    Experiment(Experiment),
}

impl Spec {
    /// The kind of the objects that have such contents.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Service(_) => Kind::Service,
            Self::Map(_) => Kind::Map,
            Self::Policy(_) => Kind::Policy,
            Self::Experiment(_) => Kind::Experiment,
        }
    }
}

/// What a service prefers when not every shard answers in time: low latency or
/// coverage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Preference {
    /// Low tail latency: answer after [`Policy::slice_percent`] of the deadline with
    /// the shards that are covered by then.
    Tail,
    /// Coverage: wait and retry until the deadline.
    #[default]
    Coverage,
}

/// A query service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether the service prefers low latency or coverage.
    #[serde(rename = "value")]
    pub preference: Preference,
    /// The deadline of a request that sets none, in milliseconds.
    pub deadline_ms: u32,
    /// The policy that applies to the service.
    pub policy: Arc<str>,
    /// The current shard map.
    pub map: Arc<str>,
    /// Earlier maps that may still be queried while the servers of the current one
    /// load their data.
    #[serde(default)]
    pub older_maps: Vec<Arc<str>>,
    /// The requests that one server runs concurrently.
    pub slots: u32,
    /// The connections that one server accepts from all nodes together.
    pub connections: u32,
}

/// A shard map: which servers hold which shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Map {
    /// The service that the map belongs to.
    pub service: Arc<str>,
    /// The replica groups; a shard's number is the index of its group.
    pub groups: Vec<Group>,
}

/// The replicas of one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The servers that hold the shard.
    pub servers: Vec<Server>,
}

/// An upstream server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The server's name, unique in the deployment.
    pub name: Arc<str>,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The server's data centre.
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
    /// Of two random replicas, the one with fewer requests in flight.
    #[default]
    LeastOfTwo,
    /// Of two random replicas, the one with the lower expected latency.
    Latency,
    /// The node's home server in the group, or another one if that is full or slow.
    /// The nodes are spread evenly over the servers of a group.
    Home,
}

impl Choice {
    /// All choices.
    pub const ALL: [Self; 5] =
        [Self::Random, Self::RoundRobin, Self::LeastOfTwo, Self::Latency, Self::Home];
}

/// A policy that applies to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How a replica is chosen.
    pub choice: Choice,
    /// Extra sends for slow attempts.
    pub hedge: Hedge,
    /// Extra sends for failed attempts.
    pub retry: Retry,
    /// Which requests are admitted.
    pub admit: Admission,
    /// The part of the deadline after which a service that prefers low tail latency
    /// answers with the shards that are covered by then, in percent.
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
    /// The quantile of past latencies after which the request is also sent to a second
    /// replica, in percent; 100 turns hedging off.
    pub quantile_percent: f64,
    /// The maximum number of extra sends, in percent of first sends.
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
    /// The maximum number of attempts for one shard, the first included.
    pub attempts: u32,
    /// The maximum number of retries, in percent of first sends.
    pub budget_percent: f64,
}

impl Default for Retry {
    fn default() -> Self {
        Self { attempts: 3, budget_percent: 10.0 }
    }
}

/// Which requests a node admits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    /// The maximum number of requests that run concurrently on one node.
    pub most_running: u32,
    /// The maximum number of requests that wait on one node.
    pub most_waiting: u32,
    /// Whether the limit is adapted to refusals and queueing.
    pub learn: bool,
    /// Whether requests that can't finish by their deadline are refused immediately.
    pub deadline_aware: bool,
}

impl Default for Admission {
    fn default() -> Self {
        Self { most_running: 256, most_waiting: 256, learn: true, deadline_aware: true }
    }
}

/// The unit in which requests are assigned to the arms of an experiment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Unit {
    /// All requests of a caller go to one arm.
    Caller,
    /// Each request is assigned independently.
    #[default]
    Request,
}

/// The stage of an experiment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Created but not started.
    #[default]
    Draft,
    /// Requests are assigned to arms.
    Running,
    /// Requests are no longer assigned to arms; may be started again.
    Stopped,
    /// Finished; the winner's policy applies to the service.
    Concluded,
}

impl Stage {
    /// The stage's name in objects and messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draft => "draft",
            Self::Running => "running",
            Self::Stopped => "stopped",
            Self::Concluded => "concluded",
        }
    }

    /// Whether an experiment at this stage may be written with stage `next`. A new
    /// experiment counts as a draft.
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
    /// The unit of assignment.
    #[serde(default)]
    pub unit: Unit,
    /// The current stage.
    #[serde(default)]
    pub stage: Stage,
    /// The arm that won, once the experiment is concluded.
    #[serde(default)]
    pub winner: Option<Arc<str>>,
    /// The limits beyond which an arm is stopped.
    #[serde(default)]
    pub guard: Guard,
}

/// One arm of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// The arm's name, unique in the experiment.
    pub name: Arc<str>,
    /// The policy that applies to the arm's requests.
    pub policy: Arc<str>,
    /// The arm's share of the requests, relative to the sum of all weights; zero once
    /// the arm is stopped.
    pub weight: u32,
}

/// The limits beyond which an arm is stopped because it degrades the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Guard {
    /// The highest p99 latency, as a multiple of the baseline's.
    pub p99_ratio: f64,
    /// The largest loss of coverage against the baseline, in percentage points.
    pub coverage_loss_points: f64,
    /// The number of requests that an arm must have before the limits apply to it.
    pub least_requests: u64,
}

impl Default for Guard {
    fn default() -> Self {
        Self { p99_ratio: 2.0, coverage_loss_points: 2.0, least_requests: 1000 }
    }
}
