//! The customers that operators see.

use std::sync::Arc;

use customer::stats::SHOWN;
use customer::stats::Stats;

/// Guards against memory that grows with the number of customers, and against a busy customer
/// that is hidden among many others.
#[test]
fn busiest_customer_is_first_among_many() {
    let mut stats = Stats::default();
    let busy: Arc<str> = Arc::from("busy");
    for number in 0..20_000 {
        stats.used(&Arc::from(format!("customer-{number}")));
        if number % 10 == 0 {
            stats.used(&busy);
        }
    }
    let top = stats.top();
    assert_eq!(top.used.len(), SHOWN);
    assert_eq!(top.used[0].customer, busy);
    assert!(top.used[0].count >= 2000 && top.used[0].count - top.used[0].error <= 2000);
    assert!(top.refused.is_empty());
}

/// Guards against refusals of requests within the quota that are hidden among those above it.
#[test]
fn refusals_below_the_quota_are_counted_apart() {
    let mut stats = Stats::default();
    let name: Arc<str> = Arc::from("mill");
    stats.refused(&name);
    stats.refused_below(&name);
    let top = stats.top();
    assert_eq!((top.refused[0].count, top.refused_below_quota[0].count), (2, 1));
}
