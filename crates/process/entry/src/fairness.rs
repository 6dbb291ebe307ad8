//! Refuses requests of the customers with the most demand, in relation to their rates, while the
//! servers are too busy.
//!
//! Invariant: only requests of customers with a rate are counted and refused here, and none unless
//! a request was refused for lack of capacity a short time before.

use std::cell::RefCell;
use std::time::Duration;

use crate::usage;
use crate::usage::Context;
use customer::fair::Claim;
use customer::fair::Fair;
use share::usage::Demand;

/// The cut through the customers' demands, as this node's refusals move it.
#[derive(Debug, Default)]
pub struct State(RefCell<Fair>);

impl State {
    /// Records a request that was sent to servers, or refused since they are too busy.
    pub fn record(&self, is_refused: bool) {
        let mut fair = self.0.borrow_mut();
        if is_refused { fair.refused() } else { fair.sent() }
    }
}

/// Lets a request of the customer with this key in, or says after what time it may come again. The
/// numbers in `random` are between 0 and 1: whether it is admitted, and when it may come again.
pub fn admit(
    state: &State,
    context: &dyn Context,
    key: u32,
    random: impl Fn() -> f64,
) -> Result<(), Duration> {
    let now = context.now();
    let mut fair = state.0.borrow_mut();
    if fair.is_step_due(now) {
        fair.step(now, usage::demands(context).iter().map(claim));
    }
    if fair.cut().is_none() {
        return Ok(());
    }
    let Some(demand) = usage::demand(context, key) else { return Ok(()) };
    let fraction = fair.admitted_fraction(claim(&demand).ratio());
    if random() < fraction { Ok(()) } else { Err(Fair::retry_after(fraction, random())) }
}

/// A customer's weight is its rate.
fn claim(demand: &Demand) -> Claim {
    Claim { demand: demand.per_second.min(demand.rate), weight: demand.rate }
}
