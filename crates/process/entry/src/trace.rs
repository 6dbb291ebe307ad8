//! The decisions made for a request, which are logged only if the request is late,
//! incomplete or failed.

use std::time::Duration;

use crate::exchange::CallerRequest;
use crate::process::Process;
use base::entity::Attempt;
use base::entity::Service;
use base::time::Time;
use gather::event::Purpose;
use replica::table::Selection;

/// The maximum number of choices that are logged for each request.
const MAX_LOGGED_SENDS: usize = 16;

/// The choice of a server for an attempt, with the data that it was based on.
struct LoggedSend {
    chosen_at: Time,
    service: Service,
    selection: Selection,
    purpose: Purpose,
    /// The fraction of the budget of extra sends that would be used after one more send.
    used_fraction: f64,
    /// The estimated number of requests at the server.
    estimated_load: f64,
    /// The age of the load that the server last reported.
    load_age: Option<Duration>,
    replied_at: Option<Time>,
}

/// The choices made for a request, by attempt.
#[derive(Default)]
pub(crate) struct Trace {
    sends: Vec<LoggedSend>,
}

impl Trace {
    /// Records the server that was chosen for the next attempt. The attempt may still end
    /// without being sent.
    pub(crate) fn on_chosen(
        &mut self,
        process: &Process,
        service: Service,
        selection: Selection,
        purpose: Purpose,
        used_fraction: f64,
    ) {
        let chosen_at = process.clock.now();
        let table = process.table.borrow();
        let record = table.record(selection.server);
        let (estimated_load, load_age) =
            (record.estimated_load(chosen_at), record.load_age(chosen_at));
        self.sends.push(LoggedSend {
            chosen_at,
            service,
            selection,
            purpose,
            used_fraction,
            estimated_load,
            load_age,
            replied_at: None,
        });
    }

    /// Records when an attempt was answered.
    pub(crate) fn on_reply(&mut self, now: Time, attempt: Attempt) {
        if let Some(send) = self.sends.get_mut(attempt.as_u32() as usize) {
            send.replied_at = Some(now);
        }
    }

    /// Logs the choices that explain a poor outcome: those for services with more than one
    /// attempt, and those whose attempt was not answered within `objective`.
    pub(crate) fn log(
        &self,
        process: &Process,
        caller_request: &CallerRequest,
        arrived: Time,
        objective: Duration,
    ) {
        let repeated = |service| self.sends.iter().filter(|s| s.service == service).count() > 1;
        let late =
            |send: &LoggedSend| send.replied_at.is_none_or(|at| at.since(arrived) > objective);
        let logged = self.sends.iter().filter(|send| late(send) || repeated(send.service));
        let table = process.table.borrow();
        for send in logged.take(MAX_LOGGED_SENDS) {
            let record = table.record(send.selection.server);
            log::info!(
                target: "choice",
                id = caller_request.id.to_str().unwrap_or_default(),
                service = table.service_name(send.service).as_ref(),
                server = record.incarnation.id.as_ref(),
                distance:? = record.distance,
                turn = send.purpose.name(),
                at_ms = send.chosen_at.since(arrived).as_millis() as u64,
                expected_ms = send.selection.expected_latency.as_millis() as u64,
                believed_there = (send.estimated_load * 10.0).round() / 10.0,
                load_age_ms = send.load_age.map(|age| age.as_millis() as u64),
                budget_spent = (send.used_fraction * 100.0).round() / 100.0,
                replied_ms = send.replied_at.map(|at| at.since(arrived).as_millis() as u64);
                "A server was chosen for an attempt."
            );
        }
    }
}
