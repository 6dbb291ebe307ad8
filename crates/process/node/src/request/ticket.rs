//! Runs non-idempotent requests at most once.
//!
//! Invariant: a ticket's request runs to its end even if its caller disconnects, so
//! that a resend gets the actual outcome; a resend that arrives while the request
//! runs waits for the same outcome.

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

/// The tickets of this node, with the resends that wait for their outcomes.
pub struct Tickets {
    table: Mutex<Table>,
    waiters: Mutex<HashMap<Ticket, Arc<Notify>>>,
    clock: Clock,
}

impl Tickets {
    /// Wraps a ticket table; no resend waits for an outcome yet.
    pub fn new(table: Table, clock: Clock) -> Self {
        Self { table: Mutex::new(table), waiters: Mutex::new(HashMap::new()), clock }
    }

    /// Runs `work` on the table under its lock.
    pub fn with<T>(&self, work: impl FnOnce(&mut Table) -> T) -> T {
        work(&mut self.table.lock())
    }

    /// Begins a ticket's request; if it already runs for another copy, waits for its
    /// end until `deadline`.
    pub async fn begin(&self, ticket: Ticket, fingerprint: u64, deadline: Time) -> Disposition {
        loop {
            let ended = Arc::clone(self.waiters.lock().entry(ticket).or_default());
            let mut ended = std::pin::pin!(ended.notified());
            // Registered before the table is read, so that no end is missed.
            ended.as_mut().enable();
            let now = self.clock.now();
            let disposition = self.with(|table| table.begin(ticket, fingerprint, deadline, now));
            if disposition != Disposition::Running {
                if disposition != Disposition::Run {
                    self.waiters.lock().remove(&ticket);
                }
                return disposition;
            }
            tokio::select! {
                () = ended => {}
                () = tokio::time::sleep_until(self.clock.instant(deadline)) => return disposition,
            }
        }
    }

    /// Stores the response to a ticket's request and wakes the resends that wait for
    /// it; returns the response to send to the callers.
    pub fn finish(&self, ticket: Ticket, response: Response) -> Response {
        let now = self.clock.now();
        let response = self.with(|table| table.finish(ticket, response, now));
        if let Some(waiters) = self.waiters.lock().remove(&ticket) {
            waiters.notify_waiters();
        }
        response
    }
}

/// The permission to send the request of one ticket.
pub struct TicketClaim {
    tickets: Arc<Tickets>,
    ticket: Ticket,
}

impl TicketClaim {
    /// Creates the permission for a ticket whose request has begun.
    pub fn new(tickets: Arc<Tickets>, ticket: Ticket) -> Self {
        Self { tickets, ticket }
    }
}

impl Claim for TicketClaim {
    fn try_acquire(&self, now: Time) -> bool {
        self.tickets.with(|table| table.try_mark_sent(self.ticket, now))
    }

    fn release(&self) {
        self.tickets.with(|table| table.mark_not_run(self.ticket));
    }
}
