//! The runs that have left this node and have no reply yet, so that those at silent servers are
//! found without a timer for each.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::breaks;
use crate::breaks::Sign;
use crate::exchange::CallerRequest;
use crate::process::Process;
use base::entity::Server;
use base::time::Time;

/// A run without a reply.
#[derive(Clone)]
pub(crate) struct Run {
    pub(crate) request: Rc<CallerRequest>,
    pub(crate) server: Server,
    pub(crate) sent: Time,
    /// The number of servers that were known to have ended under the request when it was sent.
    pub(crate) known_ends: usize,
    /// Whether the server was checked.
    pub(crate) is_checked: bool,
}

/// All such runs, each in a slot of its own.
#[derive(Default)]
pub(crate) struct InFlight {
    slots: RefCell<Vec<Option<Run>>>,
    free: RefCell<Vec<usize>>,
}

impl InFlight {
    /// Adds a run; returns its slot.
    pub(crate) fn add(&self, run: Run) -> usize {
        let mut slots = self.slots.borrow_mut();
        let slot = self.free.borrow_mut().pop().unwrap_or_else(|| {
            slots.push(None);
            slots.len() - 1
        });
        slots[slot] = Some(run);
        slot
    }

    /// Removes the run in `slot`.
    pub(crate) fn remove(&self, slot: usize) {
        self.slots.borrow_mut()[slot] = None;
        self.free.borrow_mut().push(slot);
    }

    /// When the oldest run was sent of those that were sent later than `from`.
    fn oldest_since(&self, from: Time) -> Option<Time> {
        self.slots.borrow().iter().flatten().map(|run| run.sent).filter(|sent| *sent > from).min()
    }

    /// The runs that `is_silent` selects and that were not checked yet.
    fn take_silent(&self, is_silent: impl Fn(&Run) -> bool) -> Vec<Run> {
        let mut slots = self.slots.borrow_mut();
        let silent = slots.iter_mut().flatten().filter(|run| !run.is_checked && is_silent(run));
        silent
            .map(|run| {
                run.is_checked = true;
                run.clone()
            })
            .collect()
    }
}

/// A delay that lasts longer by this means that this node was paused, not the servers.
const MAX_DELAY_EXCESS: Duration = Duration::from_millis(80);
/// The delay after such a pause, in which replies that came meanwhile are read.
const AFTER_PAUSE: Duration = Duration::from_millis(20);

/// Checks for as long as the process runs.
pub(crate) async fn watch(process: Rc<Process>) {
    let mut delay = breaks::MIN_SILENCE;
    loop {
        let before = process.clock.now();
        sleep(delay).await;
        let now = process.clock.now();
        if now.since(before) > delay + MAX_DELAY_EXCESS {
            delay = AFTER_PAUSE;
            continue;
        }
        check_silent(&process, now);
        let oldest = process.in_flight.oldest_since(now.before(breaks::MIN_SILENCE));
        delay = oldest.map_or(breaks::MIN_SILENCE, |sent| (sent + breaks::MIN_SILENCE).since(now));
    }
}

/// Has the servers checked at which runs have been without a reply for long, if they have replied to
/// no others since.
fn check_silent(process: &Rc<Process>, now: Time) {
    let at = now.before(breaks::MIN_SILENCE);
    let silent = {
        let table = process.table.borrow();
        let is_silent = |run: &Run| run.sent <= at && table.record(run.server).heard_at <= run.sent;
        process.in_flight.take_silent(is_silent)
    };
    for run in silent.iter().filter(|run| !run.request.answered.get()) {
        breaks::on_break(process, &run.request, run.server, run.known_ends, Sign::Silent);
    }
}
