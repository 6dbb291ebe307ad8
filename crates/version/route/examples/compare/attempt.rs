//! The course of one attempt, and its effect on its shard and its query.
//!
//! Invariant: an attempt ends once, and from then on its connection is free or being
//! reopened.

use std::time::Duration;

use rand::RngExt;

use crate::model::MAX_QUEUED;
use crate::model::MEAN_EXTRA_US;
use crate::model::MIN_SERVICE_US;
use crate::model::RECONNECT_TIME;
use crate::model::Response;
use crate::model::SLOTS;
use crate::model::STRAGGLER_FACTOR;
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

/// The maximum number of attempts for one shard.
const MAX_ATTEMPTS: usize = 3;

impl Sim<'_> {
    /// Sends an attempt to a replica that has not been tried for this shard; returns
    /// whether there was one.
    pub fn send(&mut self, query: usize, shard: u32) -> bool {
        let node = self.queries[query].node;
        let state = &self.queries[query].shards[shard as usize];
        let tried: Vec<entity::Server> = state
            .attempts
            .iter()
            .map(|attempt| entity::Server::from_u32(self.attempts[*attempt].server as u32))
            .collect();
        let sender = &mut self.nodes[node];
        let picked = sender.table.pick(
            self.now,
            self.case.choice,
            &self.snapshot,
            Shard::from_u32(shard),
            &tried,
        );
        let Some(server) = picked else { return false };
        sender.table.observe(self.now, server, Observation::Sent);
        let server = server.as_u32() as usize;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            query,
            shard,
            node,
            server,
            sent: self.now,
            stage: Stage::Queued,
            at_server: false,
            load: 0,
        });
        self.queries[query].shards[shard as usize].attempts.push(attempt);
        let connections = &mut self.nodes[node].connections[server];
        if connections.free > 0 {
            connections.free -= 1;
            self.transmit(attempt);
        } else {
            connections.queued.push_back(attempt);
        }
        true
    }

    fn transmit(&mut self, attempt: usize) {
        self.attempts[attempt].stage = Stage::Sent;
        if self.is_measured(self.queries[self.attempts[attempt].query].arrived) {
            self.figures.sends += 1;
        }
        self.schedule_remote(attempt, Event::Reach(attempt));
    }

    pub fn reach(&mut self, attempt: usize) {
        if self.attempts[attempt].stage == Stage::Ended {
            return;
        }
        let server = self.attempts[attempt].server;
        if self.case.fault.is_unreachable(server) {
            self.schedule_remote(attempt, Event::Respond(attempt, Response::Failure));
            return;
        }
        if self.servers[server].queued.len() >= MAX_QUEUED {
            self.attempts[attempt].load = self.servers[server].load();
            self.schedule_remote(attempt, Event::Respond(attempt, Response::Refusal));
            return;
        }
        self.attempts[attempt].at_server = true;
        self.servers[server].queued.push_back(attempt);
        self.start_queued(server);
    }

    /// Starts queued requests while the server has free slots.
    fn start_queued(&mut self, server: usize) {
        while self.servers[server].running.len() < SLOTS as usize {
            let Some(attempt) = self.servers[server].queued.pop_front() else { return };
            self.servers[server].running.push(attempt);
            let mut micros = MIN_SERVICE_US + self.exponential(MEAN_EXTRA_US);
            micros *= self.case.fault.service_factor(server);
            if self.rng.random::<f64>() < self.case.fault.straggler_share() {
                micros *= STRAGGLER_FACTOR;
            }
            self.schedule(Duration::from_micros(micros as u64), Event::Finish(attempt));
        }
    }

    pub fn finish(&mut self, attempt: usize) {
        if !self.attempts[attempt].at_server {
            return;
        }
        let server = self.attempts[attempt].server;
        self.remove_from_server(attempt);
        self.attempts[attempt].load = self.servers[server].load();
        self.schedule_remote(attempt, Event::Respond(attempt, Response::Answer));
        self.start_queued(server);
    }

    fn remove_from_server(&mut self, attempt: usize) {
        self.attempts[attempt].at_server = false;
        let server = &mut self.servers[self.attempts[attempt].server];
        server.running.retain(|running| *running != attempt);
        server.queued.retain(|queued| *queued != attempt);
    }

    pub fn abort(&mut self, attempt: usize) {
        if self.attempts[attempt].at_server {
            self.remove_from_server(attempt);
            self.start_queued(self.attempts[attempt].server);
        }
    }

    pub fn receive(&mut self, attempt: usize, response: Response) {
        if self.attempts[attempt].stage == Stage::Ended {
            return;
        }
        self.attempts[attempt].stage = Stage::Ended;
        let Attempt { query, shard, node, server, sent, load, .. } = self.attempts[attempt];
        let report = Report {
            incarnation: Some(node::incarnation(server)),
            state: Some(State::Ready),
            load: Some(self.case.fault.reported_load(server, load)),
        };
        let observation = match response {
            Response::Answer => Observation::Replied {
                latency: self.now - sent,
                report,
                snapshot: self.snapshot.clone(),
                shard: Shard::from_u32(shard),
            },
            Response::Refusal => {
                Observation::Refused { retry_after: Some(Duration::from_millis(40)), report }
            }
            Response::Failure => Observation::Failed,
        };
        let reference = entity::Server::from_u32(server as u32);
        self.nodes[node].table.observe(self.now, reference, observation);
        self.reopen(node, server);
        self.queries[query].was_refused |= response == Response::Refusal;
        match response {
            Response::Answer => self.finish_shard(query, shard, true),
            Response::Refusal | Response::Failure => self.retry(query, shard),
        }
    }

    pub fn reopen(&mut self, node: usize, server: usize) {
        match self.nodes[node].connections[server].queued.pop_front() {
            Some(next) => self.transmit(next),
            None => self.nodes[node].connections[server].free += 1,
        }
    }

    fn retry(&mut self, query: usize, shard: u32) {
        let node = self.queries[query].node;
        let state = &self.queries[query].shards[shard as usize];
        let open = state.attempts.iter().any(|a| self.attempts[*a].stage != Stage::Ended);
        if self.queries[query].ended || state.done || open {
            return;
        }
        let sender = &mut self.nodes[node];
        let may_retry = state.attempts.len() < MAX_ATTEMPTS
            && !sender.gate.overloaded(self.now)
            && sender.retries.take_extra();
        if !may_retry || !self.send(query, shard) {
            self.finish_shard(query, shard, false);
        }
    }

    pub fn hedge(&mut self, query: usize, shard: u32) {
        let (node, now) = (self.queries[query].node, self.now);
        if self.queries[query].ended || self.queries[query].shards[shard as usize].done {
            return;
        }
        let few_missing = self.queries[query].missing <= self.case.hedge.max_missing;
        let sender = &mut self.nodes[node];
        if few_missing && !sender.gate.overloaded(now) && sender.hedges.take_extra() {
            self.send(query, shard);
        } else {
            self.schedule_hedge(query, shard, self.case.hedge.retry_divisor);
        }
    }

    /// Ends a shard, with an answer or without.
    fn finish_shard(&mut self, query: usize, shard: u32, answered: bool) {
        let state = &mut self.queries[query].shards[shard as usize];
        if state.done {
            return;
        }
        state.done = true;
        state.failed = !answered;
        let attempts = state.attempts.clone();
        self.queries[query].missing -= 1;
        for attempt in attempts {
            self.cancel(attempt);
        }
        if self.queries[query].missing == 0 {
            self.end_query(query);
        }
    }

    fn cancel(&mut self, attempt: usize) {
        let Attempt { node, server, sent, stage, .. } = self.attempts[attempt];
        let reference = entity::Server::from_u32(server as u32);
        self.attempts[attempt].stage = Stage::Ended;
        match stage {
            Stage::Ended => {}
            Stage::Queued => {
                self.nodes[node].connections[server].queued.retain(|queued| *queued != attempt);
                self.nodes[node].table.observe(self.now, reference, Observation::NotSent);
            }
            Stage::Sent => {
                let observation = Observation::Cancelled { waited: self.now - sent };
                self.nodes[node].table.observe(self.now, reference, observation);
                self.schedule_remote(attempt, Event::Abort(attempt));
                self.schedule(RECONNECT_TIME, Event::Reopen(node, server));
            }
        }
    }

    pub fn end_query(&mut self, query: usize) {
        if self.queries[query].ended {
            return;
        }
        self.queries[query].ended = true;
        let Query { node, id, arrived, missing, was_refused, .. } = self.queries[query];
        let shards = std::mem::take(&mut self.queries[query].shards);
        for attempt in shards.iter().flat_map(|state| state.attempts.iter()) {
            self.cancel(*attempt);
        }
        let complete = missing == 0 && shards.iter().all(|state| !state.failed);
        if self.is_measured(arrived) {
            let latency = self.now - arrived;
            if complete {
                self.figures.latencies.push(latency);
                if self.queries[query].ask.priority == Priority::Urgent {
                    self.figures.urgent.push(latency);
                }
            } else {
                self.figures.incomplete += 1;
            }
        }
        let outcome = match (missing > 0, was_refused) {
            (true, _) => Feedback::Late,
            (false, true) => Feedback::Overloaded,
            (false, false) => Feedback::Done,
        };
        if let Some(id) = id {
            self.by_id[node].remove(&id);
            let actions = self.nodes[node].gate.release(self.now, id, outcome);
            self.apply(node, actions);
        }
    }
}
