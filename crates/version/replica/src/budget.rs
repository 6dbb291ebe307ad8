//! The budget of requests beyond the first of each, for each service.
//!
//! All nodes share one budget a service and window: a part of the requests plus
//! a slack. Each node keeps to its own requests' part and to its share of the
//! slack, so no node needs to ask another.
//!
//! Invariant: within any window the extra sends of a node stay at or below
//! [`Settings::ratio`] of its first sends in that window plus its share of the
//! slack. A node that has just started earns its share over its first window,
//! since the process before it may have spent it.

use std::time::Duration;

use cranelift_entity::SecondaryMap;

use base::entity::Service;
use base::time::Time;

/// Parts that a window is divided into.
const PARTS: usize = 20;
/// Parts that are counted: the newest one has only begun, so that one more than
/// a window's is needed to cover a whole window.
const KEPT: usize = PARTS + 1;

/// The bounds on extra requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Extra requests allowed for each request.
    pub ratio: f64,
    /// Extra requests allowed besides, for all nodes together.
    pub slack: f64,
    /// The span that requests are counted over.
    pub window: Duration,
}

/// What is taken of the ratio and of the slack: the rest covers requests that
/// reach a server in another window than the one they are counted in here.
const USED_PART: f64 = 0.85;

/// Sends of one service in one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    first: u32,
    extra: u32,
}

#[derive(Clone, Debug)]
struct Window {
    parts: [Count; KEPT],
    /// The number of the newest part since the beginning of time.
    newest: u64,
}

impl Default for Window {
    fn default() -> Self {
        Self { parts: [Count::default(); KEPT], newest: 0 }
    }
}

impl Window {
    fn turn(&mut self, part: u64) {
        let passed = part.saturating_sub(self.newest).min(KEPT as u64);
        for number in 0..passed {
            self.parts[((part - number) % KEPT as u64) as usize] = Count::default();
        }
        self.newest = self.newest.max(part);
    }

    fn newest(&mut self) -> &mut Count {
        &mut self.parts[(self.newest % KEPT as u64) as usize]
    }

    fn sum(&self) -> Count {
        let add = |sum: Count, part: &Count| Count {
            first: sum.first + part.first,
            extra: sum.extra + part.extra,
        };
        self.parts.iter().fold(Count::default(), add)
    }
}

/// The budget of one node.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    /// Nodes that share the slack.
    nodes: u32,
    windows: SecondaryMap<Service, Window>,
}

impl Budget {
    /// A budget for the only node.
    pub fn new(settings: Settings) -> Self {
        Self { settings, nodes: 1, windows: SecondaryMap::new() }
    }

    /// Keeps to other bounds from now on.
    pub fn limit(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Shares the slack among `nodes` nodes from now on; gives how many it were.
    pub fn share(&mut self, nodes: u32) -> u32 {
        std::mem::replace(&mut self.nodes, nodes.max(1))
    }

    fn part(&self, now: Time) -> u64 {
        let span = (self.settings.window.as_micros() as u64 / PARTS as u64).max(1);
        now.0 / span
    }

    fn window(&mut self, now: Time, service: Service) -> &mut Window {
        let part = self.part(now);
        let window = &mut self.windows[service];
        window.turn(part);
        window
    }

    /// Counts the first send of a request to `service`.
    pub fn first(&mut self, now: Time, service: Service) {
        self.window(now, service).newest().first += 1;
    }

    /// The part of the allowed extra sends that is spent, from 0 to 1 and above.
    pub fn spent(&mut self, now: Time, service: Service) -> f64 {
        let uptime = now.since(Time::ZERO).as_secs_f64() / self.settings.window.as_secs_f64();
        let slack = self.settings.slack / f64::from(self.nodes) * uptime.min(1.0);
        let ratio = self.settings.ratio;
        let sum = self.window(now, service).sum();
        let allowed = USED_PART * (slack + ratio * f64::from(sum.first));
        (f64::from(sum.extra) + 1.0) / allowed.max(f64::MIN_POSITIVE)
    }

    /// Takes one extra send to `service`; `false` if the budget is spent.
    pub fn extra(&mut self, now: Time, service: Service) -> bool {
        if self.spent(now, service) > 1.0 {
            return false;
        }
        self.window(now, service).newest().extra += 1;
        true
    }

    /// Gives back an extra send that never reached a server.
    pub fn give_back(&mut self, now: Time, service: Service) {
        let count = self.window(now, service).newest();
        count.extra = count.extra.saturating_sub(1);
    }
}
