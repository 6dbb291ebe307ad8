//! An exhaustive search over the states of two nodes, a restarted node and a caller
//! that resends: every order of steps, kills, pauses, lost messages and imports.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use base::time::Time;
use once::export::Export;
use once::response::Response;
use once::table::Disposition;
use once::table::Table;
use wire::caller::Answer;
use wire::caller::Cause;
use wire::caller::Execution;
use wire::caller::Refusal;
use wire::id::Incarnation;
use wire::id::Snapshot;
use wire::id::Ticket;

const RETENTION: Duration = Duration::from_millis(100);
const DEADLINE: Time = Time::from_millis(50);
/// Before the deadline, after it, after the ticket's expiry, and after all entries are
/// removed.
const TIMES: [Time; 4] =
    [Time::ZERO, Time::from_millis(60), Time::from_millis(120), Time::from_millis(500)];
const RESENDS: usize = 2;
const FINGERPRINT: u64 = 7;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum CopyState {
    /// In transit to the minter's address.
    ToMinter,
    /// In transit to the peer.
    ToPeer,
    /// The minter runs it.
    Running,
    /// The minter has it wait for the copy that runs.
    Waiting,
    /// Sent to the upstream, which has neither run nor refused it.
    Upstream,
    /// The upstream ran it.
    Ran,
    /// The upstream confirmed that it did not run it.
    Refused,
    /// The caller received a response or gave up.
    Finished,
}

#[derive(Clone, Debug)]
struct State {
    minter: Table,
    peer: Table,
    /// Whether a new incarnation has taken the minter's address.
    killed: bool,
    paused: bool,
    restarted: Table,
    /// The minter's export, in transit to the peer.
    export: Option<Export>,
    exports: u32,
    time: usize,
    copies: Vec<CopyState>,
    runs: u32,
    /// Whether the caller received "not run" and has not resent since.
    reported_not_run: bool,
    violation: Option<&'static str>,
}

fn answer() -> Response {
    Response::Answer(Arc::new(Answer {
        request: "r".into(),
        service: "booking".into(),
        snapshot: Snapshot { version: 1, map: "m".into() },
        covered: vec![0],
        missing: Vec::new(),
        parts: Vec::new(),
        sends: 1,
        arm: None,
    }))
}

fn refusal(outcome: Execution) -> Response {
    Response::Refusal(Refusal {
        request: "r".into(),
        outcome,
        cause: Cause::Refused,
        message: String::new(),
        retry_after_ms: None,
    })
}

impl State {
    fn new() -> (Self, Ticket) {
        let mut minter = Table::new(Incarnation(1), 4, RETENTION);
        let ticket = minter.mint(1, Time::ZERO)[0];
        let state = Self {
            minter,
            peer: Table::new(Incarnation(2), 4, RETENTION),
            killed: false,
            paused: false,
            restarted: Table::new(Incarnation(3), 4, RETENTION),
            export: None,
            exports: 0,
            time: 0,
            copies: vec![CopyState::ToMinter],
            runs: 0,
            reported_not_run: false,
            violation: None,
        };
        (state, ticket)
    }

    fn now(&self) -> Time {
        TIMES[self.time]
    }

    fn is_up(&self) -> bool {
        !self.killed && !self.paused
    }

    fn report_outcome(&mut self, copy: usize, outcome: Execution) {
        self.copies[copy] = CopyState::Finished;
        if outcome == Execution::NotRun {
            self.reported_not_run = true;
            if self.runs > 0 {
                self.violation = Some("\"not run\" was reported for a request that ran");
            }
        }
    }

    fn report_response(&mut self, copy: usize, response: &Response) {
        let outcome = match response {
            Response::Refusal(refusal) => refusal.outcome,
            Response::Answer(_) => Execution::Unknown,
        };
        if matches!(response, Response::Answer(_)) && self.runs == 0 {
            self.violation = Some("an answer was reported for a request that did not run");
        }
        self.report_outcome(copy, outcome);
    }

    /// Delivers the request to the node at the minter's address.
    fn deliver_to_minter(&mut self, copy: usize, ticket: Ticket) {
        let now = self.now();
        let disposition = if self.killed {
            self.restarted.begin(ticket, FINGERPRINT, DEADLINE, now)
        } else {
            self.minter.begin(ticket, FINGERPRINT, DEADLINE, now)
        };
        if self.killed && disposition == Disposition::Run {
            self.violation = Some("a new incarnation would run the request");
        }
        match disposition {
            Disposition::Run => self.copies[copy] = CopyState::Running,
            Disposition::Running => self.copies[copy] = CopyState::Waiting,
            Disposition::Done(response) => self.report_response(copy, &response),
            Disposition::OwnerStopped(outcome) | Disposition::Expired(outcome) => {
                self.report_outcome(copy, outcome)
            }
            Disposition::NotOwner(_) | Disposition::Mismatch => {
                self.report_outcome(copy, Execution::Unknown)
            }
        }
    }

    /// Delivers the request to the peer, which forwards tickets that it doesn't have.
    fn deliver_to_peer(&mut self, copy: usize, ticket: Ticket) {
        match self.peer.begin(ticket, FINGERPRINT, DEADLINE, self.now()) {
            Disposition::Run | Disposition::Running => {
                self.violation = Some("the peer would run the request")
            }
            Disposition::Done(response) => self.report_response(copy, &response),
            Disposition::OwnerStopped(outcome) | Disposition::Expired(outcome) => {
                self.report_outcome(copy, outcome)
            }
            Disposition::NotOwner(_) if self.is_up() => self.deliver_to_minter(copy, ticket),
            Disposition::NotOwner(_) | Disposition::Mismatch => {
                self.report_outcome(copy, Execution::Unknown)
            }
        }
    }

    fn send(&mut self, copy: usize, ticket: Ticket) {
        let now = self.now();
        if !self.minter.try_mark_sent(ticket, now) {
            return self.finish(copy, ticket, &refusal(Execution::NotRun));
        }
        if now >= DEADLINE {
            self.violation = Some("sent after the deadline");
        }
        if self.minter.is_sealed() {
            self.violation = Some("sent after the export");
        }
        self.copies[copy] = CopyState::Upstream;
    }

    fn run(&mut self, copy: usize) {
        self.copies[copy] = CopyState::Ran;
        self.runs += 1;
        if self.runs > 1 {
            self.violation = Some("ran twice");
        }
        if self.reported_not_run {
            self.violation = Some("ran after \"not run\" was reported");
        }
    }

    fn finish(&mut self, copy: usize, ticket: Ticket, response: &Response) {
        let response = self.minter.finish(ticket, response.clone(), self.now());
        self.report_response(copy, &response);
        for other in 0..self.copies.len() {
            if self.copies[other] == CopyState::Waiting {
                self.report_response(other, &response);
            }
        }
    }

    fn kill(&mut self) {
        self.killed = true;
        for copy in &mut self.copies {
            if matches!(
                copy,
                CopyState::Running | CopyState::Waiting | CopyState::Ran | CopyState::Refused
            ) {
                *copy = CopyState::Finished;
            }
        }
    }

    /// All states that one step can lead to.
    fn successors(&self, ticket: Ticket) -> Vec<Self> {
        let mut successors = Vec::new();
        let mut step = |change: &dyn Fn(&mut Self)| {
            let mut state = self.clone();
            change(&mut state);
            successors.push(state);
        };
        self.node_steps(&mut step);
        for index in 0..self.copies.len() {
            self.copy_steps(index, ticket, &mut step);
        }
        successors
    }

    fn node_steps(&self, step: &mut dyn FnMut(&dyn Fn(&mut Self))) {
        if self.copies.len() <= RESENDS {
            for to in [CopyState::ToMinter, CopyState::ToPeer] {
                step(&|state| {
                    // The caller itself decides to try again.
                    state.reported_not_run = false;
                    state.copies.push(to);
                });
            }
        }
        if self.time + 1 < TIMES.len() {
            step(&|state| state.time += 1);
        }
        if !self.killed {
            step(&|state| state.kill());
            step(&|state| state.paused = !state.paused);
        }
        if self.is_up() && self.exports < 2 {
            step(&|state| {
                state.exports += 1;
                state.export = Some(state.minter.export());
            });
        }
        if let Some(export) = &self.export {
            step(&|state| state.export = None);
            step(&|state| {
                state.export = None;
                let _ = state.peer.import(export.clone(), state.now());
            });
        }
    }

    fn copy_steps(&self, index: usize, ticket: Ticket, step: &mut dyn FnMut(&dyn Fn(&mut Self))) {
        let is_up = self.is_up();
        match self.copies[index] {
            CopyState::ToMinter if !self.paused => {
                step(&|state| state.deliver_to_minter(index, ticket))
            }
            CopyState::ToPeer => step(&|state| state.deliver_to_peer(index, ticket)),
            CopyState::Running if is_up => step(&|state| state.send(index, ticket)),
            CopyState::Upstream => {
                // The upstream may run a request whose sender was killed.
                step(&|state| state.run(index));
                if is_up {
                    step(&|state| state.copies[index] = CopyState::Refused);
                    step(&|state| state.finish(index, ticket, &refusal(Execution::Unknown)));
                }
            }
            CopyState::Refused if is_up => {
                step(&|state| {
                    state.minter.mark_not_run(ticket);
                    state.copies[index] = CopyState::Running;
                });
                step(&|state| {
                    state.minter.mark_not_run(ticket);
                    state.finish(index, ticket, &refusal(Execution::NotRun));
                });
            }
            CopyState::Ran if is_up => {
                step(&|state| state.finish(index, ticket, &answer()));
                step(&|state| state.finish(index, ticket, &refusal(Execution::Unknown)));
                // A wrong report from the code around the table: the table must not
                // pass it on.
                step(&|state| state.finish(index, ticket, &refusal(Execution::NotRun)));
            }
            _ => {}
        }
    }
}

#[test]
fn no_order_runs_twice_or_misreports() {
    let (state, ticket) = State::new();
    let mut seen = HashSet::new();
    let mut frontier = vec![state];
    while let Some(state) = frontier.pop() {
        if let Some(violation) = state.violation {
            panic!("{violation}: {state:#?}");
        }
        for next in state.successors(ticket) {
            if seen.insert(base::hash::stable(0, &[&format!("{next:?}")])) {
                frontier.push(next);
            }
        }
    }
    assert!(seen.len() > 1000, "only {} states", seen.len());
    println!("{} states", seen.len());
}
