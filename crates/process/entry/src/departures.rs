//! The servers that have told this node that they leave, for the other nodes. No I/O.
//!
//! Only notices that this node received itself are passed on, for a limited time, so that a
//! notice does not go round.

use std::collections::VecDeque;
use std::time::Duration;

use base::time::Time;
use site::register::Incarnation;

/// How long a notice is passed on: several heartbeats to each node, lost ones included.
const NOTICE_LIFETIME: Duration = Duration::from_secs(10);
/// The maximum number of servers in one heartbeat, whose size is limited.
const MAX_SENT: usize = 6;
/// The maximum number of notices that are kept.
const MAX_KEPT: usize = 512;

/// The notices of the last seconds, oldest first.
#[derive(Debug, Default)]
pub struct Departures {
    notices: VecDeque<(Time, Incarnation)>,
}

impl Departures {
    /// Records a notice of a server, unless it is known.
    pub fn noticed(&mut self, now: Time, server: Incarnation) {
        if self.notices.iter().any(|(_, known)| *known == server) {
            return;
        }
        self.notices.push_back((now, server));
        if self.notices.len() > MAX_KEPT {
            self.notices.pop_front();
        }
    }

    /// The servers to include in heartbeat `number`; successive heartbeats go through all.
    pub fn to_send(&mut self, now: Time, number: u64) -> Vec<Incarnation> {
        while self.notices.front().is_some_and(|(at, _)| now.since(*at) > NOTICE_LIFETIME) {
            self.notices.pop_front();
        }
        let count = self.notices.len().min(MAX_SENT);
        let start = number as usize * MAX_SENT;
        (0..count).map(|at| self.notices[(start + at) % self.notices.len()].1.clone()).collect()
    }
}
