//! The timeout that counts as that of a first attempt.

use std::time::Duration;

use entry::timeouts::Recent;

const LONG: Duration = Duration::from_secs(600);
const USUAL: Duration = Duration::from_secs(4);

fn recent(timeouts: impl IntoIterator<Item = Duration>) -> Recent {
    let mut recent = Recent::default();
    timeouts.into_iter().for_each(|timeout| recent.add(timeout));
    recent
}

/// Guards against one caller with a long timeout after which all others count as late retries,
/// wherever it comes among them.
#[test]
fn few_long_timeouts_are_not_the_usual_one() {
    for others in [2, 5, 30, 300] {
        for at in [0, others / 2, others] {
            let mut timeouts = vec![USUAL; others];
            timeouts.insert(at, LONG);
            assert_eq!(recent(timeouts).usual(), Some(USUAL), "{others} others, {at}");
        }
    }
    let one_in_five = (0..1000).map(|number| if number % 5 == 0 { LONG } else { USUAL });
    assert_eq!(recent(one_in_five).usual(), Some(USUAL));
}

/// Guards against retries that count as first attempts under overload, when most requests are
/// repeated up to three times: they get the whole objective again and delay the others.
#[test]
fn retries_are_told_from_first_attempts_under_overload() {
    let elapsed = |number: u32| Duration::from_millis(u64::from(number % 4 * 700));
    let timeouts = (0..1000).map(|number| USUAL - elapsed(number));
    assert_eq!(recent(timeouts).usual(), Some(USUAL));
}

/// Guards against a usual timeout that stays after the callers of a route have changed theirs.
#[test]
fn usual_timeout_follows_the_callers() {
    let long_then_usual = [LONG; 1000].into_iter().chain([USUAL; 256]);
    assert_eq!(recent(long_then_usual).usual(), Some(USUAL));
    let usual_then_long = [USUAL; 1000].into_iter().chain([LONG; 64]);
    assert_eq!(recent(usual_then_long).usual(), Some(LONG));
}

/// Guards against the first request of a route that counts as a retry, or as the usual one.
#[test]
fn one_request_says_nothing() {
    assert_eq!(recent([]).usual(), None);
    assert_eq!(recent([LONG]).usual(), None);
    assert_eq!(recent([LONG, USUAL]).usual(), Some(USUAL));
}
