//! Which services this node reaches, from its own sends and connects. No I/O.
//!
//! A service is lost once sends or connects to its servers have failed and none of them has
//! replied for a while, and at once if several servers fall silent together while no server at
//! all replies. It is found again by a reply or by a connection that is opened and stays open.
//!
//! Whether the servers are down or this node has lost its path to them, the node alone can't
//! tell: nodes compare how much each of them reaches.

use std::time::Duration;

use cranelift_entity::SecondaryMap;

use base::entity::Service;
use base::time::Time;

/// The failures without a reply in between from which a service counts as lost.
const MIN_FAILURES: u32 = 2;
/// The time without a reply before that.
const MIN_SILENCE: Duration = Duration::from_millis(300);
/// The time without a reply of any server, and the number of servers with requests older than
/// that, from which this node counts as cut off. Servers pause one by one.
pub const COMMON_SILENCE: Duration = Duration::from_millis(200);
/// See [`COMMON_SILENCE`].
pub const MIN_SILENT_SERVERS: usize = 4;

/// What is known of the path to a service.
#[derive(Clone, Copy, Debug, Default)]
struct Path {
    /// Whether one of its servers has ever replied or accepted a connection.
    known: bool,
    lost: bool,
    replied_at: Time,
    failures: u32,
}

/// The paths to all services.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    paths: SecondaryMap<Service, Path>,
    /// When a server last replied.
    replied_at: Time,
}

impl Reach {
    /// Records a reply of a server of `service`; returns whether the service was lost.
    pub fn replied(&mut self, now: Time, service: Service) -> bool {
        self.replied_at = now;
        self.found(now, service)
    }

    /// Records that the path to a service works; returns whether the service was lost.
    pub fn found(&mut self, now: Time, service: Service) -> bool {
        let path = &mut self.paths[service];
        let was_lost = path.lost;
        *path = Path { known: true, lost: false, replied_at: now, failures: 0 };
        was_lost
    }

    /// Records a send or a connect that failed without a reply; returns whether the service is
    /// lost from now on.
    pub fn failed(&mut self, now: Time, service: Service) -> bool {
        let path = &mut self.paths[service];
        path.failures += 1;
        let is_lost = path.failures >= MIN_FAILURES && now.since(path.replied_at) >= MIN_SILENCE;
        let was_lost = path.lost;
        path.lost |= is_lost;
        path.lost && !was_lost
    }

    /// Records that all servers of a service with requests are silent together with those of
    /// others; returns whether the service is lost from now on.
    pub fn fell_silent(&mut self, service: Service) -> bool {
        !std::mem::replace(&mut self.paths[service].lost, true)
    }

    /// When a server last replied.
    pub fn replied_at(&self) -> Time {
        self.replied_at
    }

    /// Whether a service is lost.
    pub fn is_lost(&self, service: Service) -> bool {
        self.paths[service].lost
    }

    /// The services that are lost.
    pub fn lost(&self) -> impl Iterator<Item = Service> {
        self.paths.iter().filter(|(_, path)| path.lost).map(|(service, _)| service)
    }

    /// How many of the services that this node has used it reaches, in percent.
    pub fn percent(&self) -> u8 {
        let used = self.paths.values().filter(|path| path.known || path.lost);
        let (used, lost) = (used.clone().count(), used.filter(|path| path.lost).count());
        let percent = ((used - lost) * 100).checked_div(used);
        percent.map_or(100, |percent| percent as u8)
    }
}
