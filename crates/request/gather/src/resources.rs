//! The balancer of a node: its table of servers and its budget of extra sends.

use std::time::Duration;

use crate::event::Balancer;
use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use poison::ledger::Standing;
use replica::budget::Budget;
use replica::table::Choice;
use replica::table::Selection;
use replica::table::Table;

/// Chooses among a node's servers and takes extra sends from its budget.
pub struct NodeBalancer<'a> {
    /// The node's view of the servers.
    pub table: &'a mut Table,
    /// The budget of extra sends.
    pub budget: &'a mut Budget,
    /// How a server is chosen for the request.
    pub choice: Choice,
    /// Whether the request may have ended the servers that ran it.
    pub standing: Standing,
    /// Whether any request has ended a server a short time ago.
    pub has_recent_end: bool,
}

impl Balancer for NodeBalancer<'_> {
    fn choose(
        &mut self,
        now: Time,
        service: Service,
        usual_service_time: Duration,
        tried: &[Server],
    ) -> Option<Selection> {
        let used_fraction = self.budget.used_fraction(now, service);
        let (table, choice) = (&mut *self.table, self.choice);
        table.choose_within(now, service, usual_service_time, used_fraction, tried, choice)
    }

    fn standing(&mut self, _now: Time) -> Standing {
        self.standing
    }

    fn has_recent_end(&mut self, _now: Time) -> bool {
        self.has_recent_end
    }

    fn accepts_at(&mut self, now: Time, service: Service) -> Option<Time> {
        self.table.accepts_at(now, service, self.choice.homes)
    }

    fn is_limited(&mut self, now: Time, service: Service) -> bool {
        self.table.is_limited(now, service, self.choice.homes)
    }

    fn is_restricted(&mut self, service: Service) -> bool {
        self.table.is_restricted(service, self.choice.homes)
    }

    fn is_evacuated(&mut self, service: Service) -> bool {
        self.table.is_evacuated(service, self.choice.homes)
    }

    fn first_send(&mut self, now: Time, service: Service) {
        self.budget.first_send(now, service);
    }

    fn used_fraction(&mut self, now: Time, service: Service) -> f64 {
        self.budget.used_fraction(now, service)
    }

    fn take_extra(&mut self, now: Time, service: Service) -> bool {
        self.budget.take_extra(now, service)
    }

    fn refund(&mut self, now: Time, service: Service, taken: Time) {
        self.budget.refund(now, service, taken);
    }
}
