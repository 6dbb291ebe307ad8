//! The advice that a request is run by: the choice among servers, and the budget
//! of extra requests.

use std::time::Duration;

use crate::event::Advice;
use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use replica::budget::Budget;
use replica::table::Selection;
use replica::table::Table;

/// A node's servers and its budget.
pub struct Desk<'a> {
    /// The servers as the node sees them.
    pub table: &'a mut Table,
    /// What may be sent beyond first requests.
    pub budget: &'a mut Budget,
}

impl Advice for Desk<'_> {
    fn choose(
        &mut self,
        now: Time,
        service: Service,
        work: Duration,
        tried: &[Server],
    ) -> Option<Selection> {
        let spent = self.budget.used_fraction(now, service);
        self.table.choose(now, service, work, spent, tried)
    }

    fn first(&mut self, now: Time, service: Service) {
        self.budget.first_send(now, service);
    }

    fn spent(&mut self, now: Time, service: Service) -> f64 {
        self.budget.used_fraction(now, service)
    }

    fn extra(&mut self, now: Time, service: Service) -> bool {
        self.budget.take_extra(now, service)
    }

    fn give_back(&mut self, now: Time, service: Service) {
        self.budget.refund(now, service);
    }
}
