//! Extra sends stay within their percentages and stop during overload.

use base::time::Time;
use query::budget::SharedBudget;
use query::context::Budget;

const FIRST_SENDS: u32 = 10_000;
/// Lower than the 80 hedges that 1,600 first sends allow, so that the tests can tell
/// the burst from the allowance.
const SMALL_BURST: u64 = 10;

/// Requests one hedge and one retry after every first send.
fn take_extra_sends(budget: &mut SharedBudget) -> (u32, u32) {
    let (mut hedges, mut retries) = (0, 0);
    for _ in 0..FIRST_SENDS {
        budget.first_send(Time::ZERO);
        hedges += u32::from(budget.take_hedge(Time::ZERO));
        retries += u32::from(budget.take_retry(Time::ZERO));
    }
    (hedges, retries)
}

#[test]
fn percentages_are_enforced() {
    let burst = SharedBudget::DEFAULT_BURST as u32;
    let (hedges, retries) = take_extra_sends(&mut SharedBudget::new(5.0, 10.0));
    assert!((500..=500 + burst).contains(&hedges), "{hedges} hedges");
    assert!((1000..=1000 + burst).contains(&retries), "{retries} retries");
}

#[test]
fn clones_share_one_budget() {
    let mut budget = SharedBudget::with_burst(5.0, 10.0, 2);
    let mut other = budget.clone();
    assert!(budget.take_hedge(Time::ZERO));
    assert!(other.take_hedge(Time::ZERO));
    assert!(!budget.take_hedge(Time::ZERO));
    assert_eq!(budget.to_string(), "0 hedges, 2 retries left");
}

#[test]
fn overload_denies_hedges_and_retries() {
    let mut budget = SharedBudget::new(5.0, 10.0);
    budget.set_overloaded(true);
    assert_eq!(take_extra_sends(&mut budget), (0, 0));
    budget.set_overloaded(false);
    assert!(budget.take_hedge(Time::ZERO) && budget.take_retry(Time::ZERO));
}

#[test]
fn zero_percent_allows_none() {
    assert_eq!(take_extra_sends(&mut SharedBudget::new(0.0, 0.0)), (0, 0));
}

#[test]
fn wide_fan_out_uses_its_whole_allowance() {
    let mut budget = SharedBudget::with_burst(5.0, 10.0, SMALL_BURST);
    (0..1600).for_each(|_| budget.first_send(Time::ZERO));
    let hedges = (0..1600).filter(|_| budget.take_hedge(Time::ZERO)).count();
    assert_eq!(hedges, 80);
}

#[test]
fn unused_allowance_expires() {
    let mut budget = SharedBudget::with_burst(5.0, 10.0, SMALL_BURST);
    (0..1600).for_each(|_| budget.first_send(Time::ZERO));
    let later = Time::from_millis(5000);
    budget.first_send(later);
    let hedges = (0..1600).filter(|_| budget.take_hedge(later)).count();
    assert_eq!(hedges as u64, SMALL_BURST);
}
