//! Times before the start of the process, which what others tell leads to.

use std::time::Duration;

use base::time::Time;

/// Guards against times that fall together at the start of the process.
#[test]
fn times_before_the_start_keep_their_distances() {
    let now = Time::from_millis(300);
    let (first, second) =
        (now.before(Duration::from_secs(90)), now.before(Duration::from_secs(60)));
    assert!(first < second && second < Time::ZERO);
    assert_eq!(second.since(first), Duration::from_secs(30));
    assert_eq!(now.since(first), Duration::from_secs(90));
    assert_eq!(first.since(now), Duration::ZERO);
    assert_eq!(first + Duration::from_secs(90), now);
    assert_eq!(first.micros(), 0);
    assert_eq!(first.to_string(), "-89700.000ms");
}

#[test]
fn times_far_away_are_never_passed() {
    assert_eq!(Time::ZERO + Duration::MAX, Time::NEVER);
    assert_eq!(Time::NEVER.before(Duration::MAX), Time::ZERO);
    assert!(Time::ZERO.before(Duration::MAX) < Time::ZERO.before(Duration::from_secs(1 << 30)));
    assert_eq!(Time::from_micros(u64::MAX), Time::NEVER);
}
