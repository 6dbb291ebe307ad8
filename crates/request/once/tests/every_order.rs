//! An exhaustive search over two nodes, a restarted one, and a caller that
//! resends: every order of steps, kills, pauses, lost messages and hand-overs.

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

const KEEP: Duration = Duration::from_millis(100);
const DEADLINE: Time = Time::from_millis(50);
/// Before the deadline, after it, after the ticket's use, after all is forgotten.
const TIMES: [Time; 4] =
    [Time::ZERO, Time::from_millis(60), Time::from_millis(120), Time::from_millis(500)];
const RESENDS: usize = 2;
const PRINT: u64 = 7;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Copy {
    /// On its way to the minter's address.
    ToMinter,
    /// On its way to the peer.
    ToPeer,
    /// The minter runs it.
    Running,
    /// The minter waits for the one that runs.
    Waiting,
    /// Sent to the upstream, which hasn't decided.
    Upstream,
    /// The upstream ran it.
    Ran,
    /// The upstream certified that it did not run it.
    Refused,
    /// The caller was told, or gave up.
    Over,
}

#[derive(Clone, Debug)]
struct World {
    minter: Table,
    peer: Table,
    /// The minter's address belongs to a new incarnation.
    killed: bool,
    paused: bool,
    restarted: Table,
    hand_over: Option<Export>,
    seals: u32,
    time: usize,
    copies: Vec<Copy>,
    runs: u32,
    /// The caller was told "not run" and has not resent since.
    told_not_run: bool,
    broken: Option<&'static str>,
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

impl World {
    fn new() -> (Self, Ticket) {
        let mut minter = Table::new(Incarnation(1), 4, KEEP);
        let ticket = minter.mint(1, Time::ZERO)[0];
        let world = Self {
            minter,
            peer: Table::new(Incarnation(2), 4, KEEP),
            killed: false,
            paused: false,
            restarted: Table::new(Incarnation(3), 4, KEEP),
            hand_over: None,
            seals: 0,
            time: 0,
            copies: vec![Copy::ToMinter],
            runs: 0,
            told_not_run: false,
            broken: None,
        };
        (world, ticket)
    }

    fn now(&self) -> Time {
        TIMES[self.time]
    }

    fn up(&self) -> bool {
        !self.killed && !self.paused
    }

    fn tell(&mut self, copy: usize, outcome: Execution) {
        self.copies[copy] = Copy::Over;
        if outcome == Execution::NotRun {
            self.told_not_run = true;
            if self.runs > 0 {
                self.broken = Some("not run was told of what ran");
            }
        }
    }

    fn tell_last(&mut self, copy: usize, last: &Response) {
        let outcome = match last {
            Response::Refusal(refusal) => refusal.outcome,
            Response::Answer(_) => Execution::Unknown,
        };
        if matches!(last, Response::Answer(_)) && self.runs == 0 {
            self.broken = Some("an answer was told of what did not run");
        }
        self.tell(copy, outcome);
    }

    /// The node at the minter's address gets the request.
    fn arrive(&mut self, copy: usize, ticket: Ticket) {
        let now = self.now();
        let begin = if self.killed {
            self.restarted.begin(ticket, PRINT, DEADLINE, now)
        } else {
            self.minter.begin(ticket, PRINT, DEADLINE, now)
        };
        if self.killed && begin == Disposition::Run {
            self.broken = Some("a new incarnation runs it");
        }
        match begin {
            Disposition::Run => self.copies[copy] = Copy::Running,
            Disposition::Running => self.copies[copy] = Copy::Waiting,
            Disposition::Done(last) => self.tell_last(copy, &last),
            Disposition::OwnerStopped(outcome) | Disposition::Expired(outcome) => {
                self.tell(copy, outcome)
            }
            Disposition::NotOwner(_) | Disposition::Mismatch => self.tell(copy, Execution::Unknown),
        }
    }

    /// The peer gets the request; it forwards what it doesn't know.
    fn arrive_at_peer(&mut self, copy: usize, ticket: Ticket) {
        match self.peer.begin(ticket, PRINT, DEADLINE, self.now()) {
            Disposition::Run | Disposition::Running => self.broken = Some("the peer runs it"),
            Disposition::Done(last) => self.tell_last(copy, &last),
            Disposition::OwnerStopped(outcome) | Disposition::Expired(outcome) => {
                self.tell(copy, outcome)
            }
            Disposition::NotOwner(_) if self.up() => self.arrive(copy, ticket),
            Disposition::NotOwner(_) | Disposition::Mismatch => self.tell(copy, Execution::Unknown),
        }
    }

    fn send(&mut self, copy: usize, ticket: Ticket) {
        let now = self.now();
        if !self.minter.try_mark_sent(ticket, now) {
            return self.finish(copy, ticket, &refusal(Execution::NotRun));
        }
        if now >= DEADLINE {
            self.broken = Some("sent after the deadline");
        }
        if self.minter.is_sealed() {
            self.broken = Some("sent after the seal");
        }
        self.copies[copy] = Copy::Upstream;
    }

    fn run(&mut self, copy: usize) {
        self.copies[copy] = Copy::Ran;
        self.runs += 1;
        if self.runs > 1 {
            self.broken = Some("ran twice");
        }
        if self.told_not_run {
            self.broken = Some("ran after not run was told");
        }
    }

    fn finish(&mut self, copy: usize, ticket: Ticket, last: &Response) {
        let told = self.minter.finish(ticket, last.clone(), self.now());
        self.tell_last(copy, &told);
        for other in 0..self.copies.len() {
            if self.copies[other] == Copy::Waiting {
                self.tell_last(other, &told);
            }
        }
    }

    fn kill(&mut self) {
        self.killed = true;
        for copy in &mut self.copies {
            if matches!(copy, Copy::Running | Copy::Waiting | Copy::Ran | Copy::Refused) {
                *copy = Copy::Over;
            }
        }
    }

    /// All worlds that one step may lead to.
    fn next(&self, ticket: Ticket) -> Vec<Self> {
        let mut next = Vec::new();
        let mut step = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            next.push(world);
        };
        self.steps_of_nodes(&mut step);
        for index in 0..self.copies.len() {
            self.steps_of_copy(index, ticket, &mut step);
        }
        next
    }

    fn steps_of_nodes(&self, step: &mut dyn FnMut(&dyn Fn(&mut Self))) {
        if self.copies.len() <= RESENDS {
            for to in [Copy::ToMinter, Copy::ToPeer] {
                step(&|world| {
                    // The caller tries again by its own decision.
                    world.told_not_run = false;
                    world.copies.push(to);
                });
            }
        }
        if self.time + 1 < TIMES.len() {
            step(&|world| world.time += 1);
        }
        if !self.killed {
            step(&|world| world.kill());
            step(&|world| world.paused = !world.paused);
        }
        if self.up() && self.seals < 2 {
            step(&|world| {
                world.seals += 1;
                world.hand_over = Some(world.minter.export());
            });
        }
        if let Some(sealed) = &self.hand_over {
            step(&|world| world.hand_over = None);
            step(&|world| {
                world.hand_over = None;
                let _ = world.peer.import(sealed.clone(), world.now());
            });
        }
    }

    fn steps_of_copy(
        &self,
        index: usize,
        ticket: Ticket,
        step: &mut dyn FnMut(&dyn Fn(&mut Self)),
    ) {
        let up = self.up();
        match self.copies[index] {
            Copy::ToMinter if !self.paused => step(&|world| world.arrive(index, ticket)),
            Copy::ToPeer => step(&|world| world.arrive_at_peer(index, ticket)),
            Copy::Running if up => step(&|world| world.send(index, ticket)),
            Copy::Upstream => {
                // The upstream may run what a dead node sent.
                step(&|world| world.run(index));
                if up {
                    step(&|world| world.copies[index] = Copy::Refused);
                    step(&|world| world.finish(index, ticket, &refusal(Execution::Unknown)));
                }
            }
            Copy::Refused if up => {
                step(&|world| {
                    world.minter.mark_not_run(ticket);
                    world.copies[index] = Copy::Running;
                });
                step(&|world| {
                    world.minter.mark_not_run(ticket);
                    world.finish(index, ticket, &refusal(Execution::NotRun));
                });
            }
            Copy::Ran if up => {
                step(&|world| world.finish(index, ticket, &answer()));
                step(&|world| world.finish(index, ticket, &refusal(Execution::Unknown)));
                // The shell is wrong about it; the table must not be.
                step(&|world| world.finish(index, ticket, &refusal(Execution::NotRun)));
            }
            _ => {}
        }
    }
}

#[test]
fn no_order_runs_twice_or_lies() {
    let (world, ticket) = World::new();
    let mut seen = HashSet::new();
    let mut open = vec![world];
    while let Some(world) = open.pop() {
        if let Some(broken) = world.broken {
            panic!("{broken}: {world:#?}");
        }
        for next in world.next(ticket) {
            if seen.insert(base::hash::stable(0, &[&format!("{next:?}")])) {
                open.push(next);
            }
        }
    }
    assert!(seen.len() > 1000, "only {} worlds", seen.len());
    println!("{} worlds", seen.len());
}
