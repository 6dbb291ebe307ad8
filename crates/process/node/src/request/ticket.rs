//! Runs non-idempotent requests at most once.
//!
//! Invariant: a ticket's run goes on when its caller leaves, so that a resend
//! gets the true outcome; who resends while it runs waits for the same outcome.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::request::driver::Claim;
use base::time::Time;
use entry::clock::Clock;
use once::response::Response;
use once::table::Disposition;
use once::table::Table;
use wire::id::Ticket;

/// The tickets of this node, and who waits for their outcomes.
pub struct Tickets {
    table: Mutex<Table>,
    waiting: Mutex<HashMap<Ticket, Arc<Notify>>>,
    clock: Clock,
}

impl Tickets {
    /// Tickets of an empty table.
    pub fn new(table: Table, clock: Clock) -> Self {
        Self { table: Mutex::new(table), waiting: Mutex::new(HashMap::new()), clock }
    }

    /// Runs `work` on the table under its lock.
    pub fn with<T>(&self, work: impl FnOnce(&mut Table) -> T) -> T {
        work(&mut self.table.lock())
    }

    /// Begins a ticket's request; waits while it runs for another resend, until
    /// `deadline`.
    pub async fn begin(&self, ticket: Ticket, fingerprint: u64, deadline: Time) -> Disposition {
        loop {
            let ended = Arc::clone(self.waiting.lock().entry(ticket).or_default());
            let mut ended = std::pin::pin!(ended.notified());
            // Enabled before the table is asked, so that no end is missed.
            ended.as_mut().enable();
            let now = self.clock.now();
            let begin = self.with(|table| table.begin(ticket, fingerprint, deadline, now));
            if begin != Disposition::Running {
                if begin != Disposition::Run {
                    self.waiting.lock().remove(&ticket);
                }
                return begin;
            }
            tokio::select! {
                () = ended => {}
                () = tokio::time::sleep_until(self.clock.instant(deadline)) => return begin,
            }
        }
    }

    /// Ends a ticket's run; gives what must be told.
    pub fn finish(&self, ticket: Ticket, last: Response) -> Response {
        let now = self.clock.now();
        let last = self.with(|table| table.finish(ticket, last, now));
        if let Some(waiting) = self.waiting.lock().remove(&ticket) {
            waiting.notify_waiters();
        }
        last
    }
}

/// The right of one ticket's run to send.
pub struct Run {
    tickets: Arc<Tickets>,
    ticket: Ticket,
}

impl Run {
    /// The right that comes with a begun ticket.
    pub fn new(tickets: Arc<Tickets>, ticket: Ticket) -> Self {
        Self { tickets, ticket }
    }
}

impl Claim for Run {
    fn take(&self, now: Time) -> bool {
        self.tickets.with(|table| table.try_mark_sent(self.ticket, now))
    }

    fn give_back(&self) {
        self.tickets.with(|table| table.mark_not_run(self.ticket));
    }
}
