//! What becomes of one attempt, and of the shard and the query it belongs to.
//!
//! Invariant: an attempt ends once, and its connection is free or being opened
//! anew from then on.

use std::time::Duration;

use rand::RngExt;

use crate::model::Back;
use crate::model::LEAST_US;
use crate::model::REOPEN;
use crate::model::SHED;
use crate::model::SLOTS;
use crate::model::SPREAD_US;
use crate::model::STRAGGLE;
use crate::node;
use crate::sim::Attempt;
use crate::sim::Event;
use crate::sim::Query;
use crate::sim::Sim;
use crate::sim::Stage;
use admit::request::Feedback;
use base::entity;
use base::entity::Shard;
use route::observation::Observation;
use wire::caller::Priority;
use wire::upstream::Report;
use wire::upstream::State;

/// The most attempts of one shard.
const ATTEMPTS: usize = 3;

impl Sim<'_> {
    /// Sends an attempt to a replica that was not tried yet.
    pub fn send(&mut self, query: usize, shard: u32) -> bool {
        let node = self.queries[query].node;
        let part = &self.queries[query].parts[shard as usize];
        let tried: Vec<entity::Server> = part
            .attempts
            .iter()
            .map(|attempt| entity::Server::from_u32(self.attempts[*attempt].server as u32))
            .collect();
        let here = &mut self.nodes[node];
        let picked = here.table.pick(
            self.now,
            self.case.choice,
            &self.snapshot,
            Shard::from_u32(shard),
            &tried,
        );
        let Some(server) = picked else { return false };
        here.table.observe(self.now, server, Observation::Sent);
        let server = server.as_u32() as usize;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            query,
            shard,
            node,
            server,
            sent: self.now,
            stage: Stage::Queued,
            there: false,
            load: 0,
        });
        self.queries[query].parts[shard as usize].attempts.push(attempt);
        let lane = &mut self.nodes[node].lanes[server];
        if lane.free > 0 {
            lane.free -= 1;
            self.go(attempt);
        } else {
            lane.waiting.push_back(attempt);
        }
        true
    }

    fn go(&mut self, attempt: usize) {
        self.attempts[attempt].stage = Stage::Sent;
        if self.counts(self.queries[self.attempts[attempt].query].arrived) {
            self.figures.sends += 1;
        }
        self.travel(attempt, Event::Reach(attempt));
    }

    pub fn reach(&mut self, attempt: usize) {
        if self.attempts[attempt].stage == Stage::Ended {
            return;
        }
        let server = self.attempts[attempt].server;
        if self.case.fault.is_lost(server) {
            self.travel(attempt, Event::Return(attempt, Back::Failure));
            return;
        }
        if self.servers[server].waiting.len() >= SHED {
            self.attempts[attempt].load = self.servers[server].load();
            self.travel(attempt, Event::Return(attempt, Back::Refusal));
            return;
        }
        self.attempts[attempt].there = true;
        self.servers[server].waiting.push_back(attempt);
        self.work(server);
    }

    /// Starts waiting requests while the server has slots.
    fn work(&mut self, server: usize) {
        while self.servers[server].running.len() < SLOTS as usize {
            let Some(attempt) = self.servers[server].waiting.pop_front() else { return };
            self.servers[server].running.push(attempt);
            let mut micros = LEAST_US + self.exponential(SPREAD_US);
            micros *= self.case.fault.factor(server);
            if self.rng.random::<f64>() < self.case.fault.straggle() {
                micros *= STRAGGLE;
            }
            self.at(Duration::from_micros(micros as u64), Event::Finish(attempt));
        }
    }

    pub fn finish(&mut self, attempt: usize) {
        if !self.attempts[attempt].there {
            return;
        }
        let server = self.attempts[attempt].server;
        self.leave(attempt);
        self.attempts[attempt].load = self.servers[server].load();
        self.travel(attempt, Event::Return(attempt, Back::Answer));
        self.work(server);
    }

    fn leave(&mut self, attempt: usize) {
        self.attempts[attempt].there = false;
        let server = &mut self.servers[self.attempts[attempt].server];
        server.running.retain(|running| *running != attempt);
        server.waiting.retain(|waiting| *waiting != attempt);
    }

    pub fn abort(&mut self, attempt: usize) {
        if self.attempts[attempt].there {
            self.leave(attempt);
            self.work(self.attempts[attempt].server);
        }
    }

    pub fn come_back(&mut self, attempt: usize, back: Back) {
        if self.attempts[attempt].stage == Stage::Ended {
            return;
        }
        self.attempts[attempt].stage = Stage::Ended;
        let Attempt { query, shard, node, server, sent, load, .. } = self.attempts[attempt];
        let report = Report {
            incarnation: Some(node::incarnation(server)),
            state: Some(State::Ready),
            load: Some(self.case.fault.reported(server, load)),
        };
        let seen = match back {
            Back::Answer => Observation::Replied {
                latency: self.now - sent,
                report,
                snapshot: self.snapshot.clone(),
                shard: Shard::from_u32(shard),
            },
            Back::Refusal => {
                Observation::Refused { retry_after: Some(Duration::from_millis(40)), report }
            }
            Back::Failure => Observation::Failed,
        };
        let reference = entity::Server::from_u32(server as u32);
        self.nodes[node].table.observe(self.now, reference, seen);
        self.reopen(node, server);
        self.queries[query].shed |= back == Back::Refusal;
        match back {
            Back::Answer => self.settle(query, shard, true),
            Back::Refusal | Back::Failure => self.retry(query, shard),
        }
    }

    pub fn reopen(&mut self, node: usize, server: usize) {
        match self.nodes[node].lanes[server].waiting.pop_front() {
            Some(next) => self.go(next),
            None => self.nodes[node].lanes[server].free += 1,
        }
    }

    fn retry(&mut self, query: usize, shard: u32) {
        let node = self.queries[query].node;
        let part = &self.queries[query].parts[shard as usize];
        let open = part.attempts.iter().any(|a| self.attempts[*a].stage != Stage::Ended);
        if self.queries[query].ended || part.done || open {
            return;
        }
        let here = &mut self.nodes[node];
        let may = part.attempts.len() < ATTEMPTS
            && !here.gate.overloaded(self.now)
            && here.retries.take();
        if !may || !self.send(query, shard) {
            self.settle(query, shard, false);
        }
    }

    pub fn hedge(&mut self, query: usize, shard: u32) {
        let (node, now) = (self.queries[query].node, self.now);
        if self.queries[query].ended || self.queries[query].parts[shard as usize].done {
            return;
        }
        let last = self.queries[query].left <= self.case.hedge.last;
        let here = &mut self.nodes[node];
        if last && !here.gate.overloaded(now) && here.hedges.take() {
            self.send(query, shard);
        } else {
            self.arm(query, shard, self.case.hedge.again);
        }
    }

    /// A shard is answered, or given up.
    fn settle(&mut self, query: usize, shard: u32, answered: bool) {
        let part = &mut self.queries[query].parts[shard as usize];
        if part.done {
            return;
        }
        part.done = true;
        part.failed = !answered;
        let losers = part.attempts.clone();
        self.queries[query].left -= 1;
        for attempt in losers {
            self.cancel(attempt);
        }
        if self.queries[query].left == 0 {
            self.end(query);
        }
    }

    fn cancel(&mut self, attempt: usize) {
        let Attempt { node, server, sent, stage, .. } = self.attempts[attempt];
        let reference = entity::Server::from_u32(server as u32);
        self.attempts[attempt].stage = Stage::Ended;
        match stage {
            Stage::Ended => {}
            Stage::Queued => {
                self.nodes[node].lanes[server].waiting.retain(|waiting| *waiting != attempt);
                self.nodes[node].table.observe(self.now, reference, Observation::NotSent);
            }
            Stage::Sent => {
                let seen = Observation::Cancelled { waited: self.now - sent };
                self.nodes[node].table.observe(self.now, reference, seen);
                self.travel(attempt, Event::Abort(attempt));
                self.at(REOPEN, Event::Reopen(node, server));
            }
        }
    }

    pub fn end(&mut self, query: usize) {
        if self.queries[query].ended {
            return;
        }
        self.queries[query].ended = true;
        let Query { node, id, arrived, left, shed, .. } = self.queries[query];
        let parts = std::mem::take(&mut self.queries[query].parts);
        for attempt in parts.iter().flat_map(|part| part.attempts.iter()) {
            self.cancel(*attempt);
        }
        let whole = left == 0 && parts.iter().all(|part| !part.failed);
        if self.counts(arrived) {
            let latency = self.now - arrived;
            if whole {
                self.figures.latencies.push(latency);
                if self.queries[query].ask.priority == Priority::Urgent {
                    self.figures.urgent.push(latency);
                }
            } else {
                self.figures.broken += 1;
            }
        }
        let outcome = match (left > 0, shed) {
            (true, _) => Feedback::Late,
            (false, true) => Feedback::Overloaded,
            (false, false) => Feedback::Done,
        };
        if let Some(id) = id {
            self.by_id[node].remove(&id);
            let actions = self.nodes[node].gate.release(self.now, id, outcome);
            self.act(node, actions);
        }
    }
}
