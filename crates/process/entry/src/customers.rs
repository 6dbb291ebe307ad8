//! Identifies the customers of requests and keeps them to their quotas.
//!
//! Invariants: a key is checked only against the configuration that the request uses. A token that
//! a request took is returned if the request certainly has not run here.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::exchange::CallerRequest;
use crate::exchange::Reply;
use crate::fairness;
use crate::process::Process;
use crate::protocol::RequestHeaders;
use crate::read::Rejection;
use crate::registry::Kind;
use crate::usage;
use crate::usage::Runs;
use crate::usage::Token;
use base::time::Time;
use customer::book::Book;
use customer::book::Customer;
use gather::event::Cause;
use gather::event::Outcome;
use gather::event::Response;
use share::usage::Rate;
use site::router::Route;
use site::router::Router;

/// The customer of a request; `None` if it names none and needs none.
pub(crate) fn identify(
    process: &Process,
    router: &Router,
    route: &Route,
    headers: &RequestHeaders,
) -> Result<Option<Arc<Customer>>, Rejection> {
    let Some(book) = &router.customers else { return Ok(None) };
    let credential = headers.credential.as_ref();
    let found = credential.and_then(|credential| book.find(credential.expose()));
    match found {
        Some(_) if may_be_revoked(process) => Err(Rejection::Unconfirmed),
        Some(customer) => Ok(Some(Arc::clone(customer))),
        None if route.public => Ok(None),
        None if credential.is_none() => Err(Rejection::NoKey),
        None if !is_confirmed(process) => Err(Rejection::Unconfirmed),
        None => Err(Rejection::UnknownKey),
    }
}

/// Whether the registry confirmed this node's configuration a short time ago, so that a key which
/// it does not contain is not valid.
fn is_confirmed(process: &Process) -> bool {
    let at = process.confirmed_at(Kind::Config);
    let age = process.clock.now().since(at);
    process.is_config_compared.get() && at != Time::ZERO && age <= process.settings.apply_bound
}

/// Whether a key of this node's configuration may have been revoked without an outage of the
/// registry: while the node was frozen, or before it started, if the registry has returned from an
/// older copy.
fn may_be_revoked(process: &Process) -> bool {
    let was_paused = || process.members.borrow().was_paused(process.clock.now());
    !process.is_config_compared.get() || !is_confirmed(process) && was_paused()
}

/// The maximum number of keys with two customers that are logged for one version.
const MAX_LOGGED_CONFLICTS: usize = 10;

/// Takes over the customers of the router in use.
pub(crate) fn install(process: &Process, router: &Router) {
    let customers = router.customers.as_ref().map(Book::customers).unwrap_or_default();
    let conflicts = router.customers.as_ref().map(Book::conflicts).unwrap_or_default();
    for conflict in conflicts.iter().take(MAX_LOGGED_CONFLICTS) {
        log::warn!(target: "config", version = router.version, holder = conflict.holder.as_ref(), other = conflict.other.as_ref(); "Two customers have the same key; it identifies only the first one.");
    }
    if conflicts.len() > MAX_LOGGED_CONFLICTS {
        log::warn!(target: "config", version = router.version, conflicts = conflicts.len(); "More keys belong to two customers each; they are not logged.");
    }
    let rate = |customer: &Arc<Customer>| {
        (customer.key, Rate { per_second: customer.rate, burst: customer.burst })
    };
    usage::install(process, customers.iter().map(rate).collect());
}

impl Runs for CallerRequest {
    fn may_have_run(&self) -> bool {
        self.possible_runs.get() > 0
    }
}

/// Takes a token for a request; `None` if it needs none.
pub(crate) fn admit(
    process: &Rc<Process>,
    request: &Rc<CallerRequest>,
) -> Result<Option<Token>, Rejection> {
    let Some(customer) = &request.customer else { return Ok(None) };
    let now = process.clock.now();
    if let Err(at) = usage::take(&**process, customer.key) {
        process.metrics.record_customer_request("above the quota");
        return Err(Rejection::AboveQuota { wait: at.since(now) + ROUNDING });
    }
    let (context, runs) = (Rc::clone(process), Rc::clone(request));
    // If the request is trimmed, its token is returned, but it counts in the customer's demand.
    let token = Token::new(context, runs, customer.key);
    if customer.rate > 0.0 {
        let random = || process.table.borrow_mut().random_fraction();
        let admitted = fairness::admit(&process.fairness, &**process, customer.key, random);
        admitted.map_err(|wait| {
            process.metrics.record_customer_request("trimmed");
            Rejection::Trimmed { wait }
        })?;
    }
    Ok(Some(token))
}

/// Added to the time until a token is available, because `Retry-After` is rounded to milliseconds.
const ROUNDING: Duration = Duration::from_millis(1);

/// Records the end of a request that was below the quota.
pub(crate) fn record(process: &Process, request: &CallerRequest, response: &Response<Reply>) {
    let Some(customer) = &request.customer else { return };
    let has_run = response.outcome != Outcome::NotRun;
    if customer.rate > 0.0 {
        let is_busy = || response.missing.iter().any(|(_, cause)| *cause == Cause::Busy);
        match has_run {
            true => process.fairness.record(false),
            false if is_busy() => process.fairness.record(true),
            false => {}
        }
    }
    let mut stats = process.customer_stats.borrow_mut();
    if has_run {
        stats.used(&customer.name);
        process.metrics.record_customer_request("admitted");
    } else {
        stats.refused_below(&customer.name);
        process.metrics.record_customer_request("refused below the quota");
    }
}
