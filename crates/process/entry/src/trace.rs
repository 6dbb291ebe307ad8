//! What was decided on one request: kept while it runs, and told to the log only
//! if the request does not go well.

use std::time::Duration;

use crate::exchange::Message;
use crate::process::Process;
use base::entity::Attempt;
use base::entity::Service;
use base::time::Time;
use gather::event::Purpose;
use replica::table::Selection;

/// Sends of one request that are told at most.
const MOST_TOLD: usize = 16;

/// One send and the inputs that decided it.
struct Send {
    at: Time,
    service: Service,
    choice: Selection,
    purpose: Purpose,
    /// The part of the budget of extra sends that was spent.
    spent: f64,
    /// Requests believed to be at the server.
    believed: f64,
    /// The age of the load that the server told.
    load_age: Option<Duration>,
    replied: Option<Time>,
}

/// The sends of one request, by attempt.
#[derive(Default)]
pub(crate) struct Trace {
    sends: Vec<Send>,
}

impl Trace {
    /// Notes the next attempt.
    pub(crate) fn sent(
        &mut self,
        process: &Process,
        service: Service,
        choice: Selection,
        purpose: Purpose,
        spent: f64,
    ) {
        let at = process.clock.now();
        let table = process.table.borrow();
        let record = table.record(choice.server);
        let (believed, load_age) = (record.estimated_load(at), record.load_age(at));
        self.sends.push(Send {
            at,
            service,
            choice,
            purpose,
            spent,
            believed,
            load_age,
            replied: None,
        });
    }

    /// Notes that an attempt was answered.
    pub(crate) fn replied(&mut self, now: Time, attempt: Attempt) {
        if let Some(send) = self.sends.get_mut(attempt.as_u32() as usize) {
            send.replied = Some(now);
        }
    }

    /// Tells the sends that explain a request which did not go well: those to
    /// services that were asked more than once, or not answered within `aim`.
    pub(crate) fn tell(&self, process: &Process, message: &Message, arrived: Time, aim: Duration) {
        let repeated = |service| self.sends.iter().filter(|s| s.service == service).count() > 1;
        let late = |send: &Send| send.replied.is_none_or(|at| at.since(arrived) > aim);
        let telling = self.sends.iter().filter(|send| late(send) || repeated(send.service));
        let table = process.table.borrow();
        for send in telling.take(MOST_TOLD) {
            let record = table.record(send.choice.server);
            log::info!(
                target: "choice",
                id = message.id.to_str().unwrap_or_default(),
                service = table.service_name(send.service).as_ref(),
                server = record.incarnation.id.as_ref(),
                distance:? = record.distance,
                turn = send.purpose.name(),
                at_ms = send.at.since(arrived).as_millis() as u64,
                expected_ms = send.choice.expected_latency.as_millis() as u64,
                believed_there = (send.believed * 10.0).round() / 10.0,
                load_age_ms = send.load_age.map(|age| age.as_millis() as u64),
                budget_spent = (send.spent * 100.0).round() / 100.0,
                replied_ms = send.replied.map(|at| at.since(arrived).as_millis() as u64);
                "A server was asked."
            );
        }
    }
}
