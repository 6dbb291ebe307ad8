//! Changes are followed when reads are stale and watches go silent.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::time::Time;
use store::watch::Action;
use store::watch::Settings;
use store::watch::Watch;

/// What the platform holds, what its watch admits, and what a stale read shows.
struct Platform {
    revision: u64,
    silent: bool,
    stale: bool,
    down: bool,
}

fn listed(ms: u64, revision: u64) -> Watch {
    let mut watch = Watch::new(Settings::default(), 1);
    let now = Time::from_millis(ms);
    assert_eq!(watch.next(now), Action::List);
    assert!(watch.listed(revision, now, now));
    watch
}

#[test]
fn stale_answers_never_move_it_back() {
    let mut watch = listed(0, 10);
    assert!(watch.received(12, Time::from_millis(1), Time::from_millis(1)));
    assert!(!watch.received(11, Time::from_millis(2), Time::from_millis(2)));
    assert_eq!(watch.since(), 12);
    assert_eq!(watch.next(Time::from_millis(3)), Action::Watch(12));
}

#[test]
fn silent_watch_is_replaced_once_peers_know_more() {
    let mut watch = listed(0, 10);
    watch.observe_revision(11, Time::from_millis(5));
    assert_eq!(watch.next(Time::from_millis(500)), Action::Watch(10));
    assert!(watch.received(10, Time::from_millis(900), Time::from_millis(900)));
    assert_eq!(watch.next(Time::from_millis(1005)), Action::List);
    assert!(
        !watch.listed(10, Time::from_millis(1010), Time::from_millis(1010)),
        "a list behind what peers know is stale"
    );
    assert_eq!(watch.replaced(), 1);
}

#[test]
fn silent_watch_is_found_without_peers() {
    let mut watch = listed(0, 10);
    assert_eq!(watch.next(Time::from_millis(3000)), Action::Check);
    watch.checked(11, Time::from_millis(3001));
    assert_eq!(watch.next(Time::from_millis(4001)), Action::List);
}

#[test]
fn answer_that_waited_through_a_pause_is_not_trusted() {
    let mut watch = listed(0, 10);
    let (asked, woke) = (Time::from_millis(10), Time::from_millis(60_000));
    assert!(!watch.received(10, asked, woke));
    assert_eq!(watch.next(woke), Action::List);
    assert!(!watch.listed(10, asked, woke));
    assert_ne!(watch.next(woke), Action::Watch(10));
}

/// One step of the shell, against a platform with faults.
fn step(watch: &mut Watch, platform: &Platform, now: Time) -> Time {
    let shown =
        if platform.stale { platform.revision.saturating_sub(3) } else { platform.revision };
    let next = now + Duration::from_millis(50);
    match watch.next(now) {
        Action::Wait(until) => return until,
        _ if platform.down => watch.failed(now),
        Action::List => {
            watch.listed(shown, now, now);
        }
        Action::Check => watch.checked(shown, now),
        Action::Watch(since) if platform.silent || platform.revision <= since => {
            watch.received(since, now, now + watch.wait());
            return now + watch.wait();
        }
        Action::Watch(_) => {
            watch.received(shown, now, now);
        }
    }
    next
}

#[test]
fn it_catches_up_within_the_bound_after_faults() {
    const BOUND: Duration = Duration::from_millis(6500);
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut watch = Watch::new(Settings::default(), seed);
        let mut platform = Platform { revision: 5, silent: false, stale: false, down: false };
        let mut now = Time::ZERO;
        let mut highest = 0;
        for _ in 0..random.random_range(5..60) {
            platform.revision += u64::from(random.random_bool(0.3));
            platform.silent = random.random_bool(0.3);
            platform.stale = random.random_bool(0.3);
            platform.down = random.random_bool(0.2);
            now = step(&mut watch, &platform, now);
            assert!(watch.since() >= highest, "seed {seed}: moved back");
            assert!(watch.since() <= platform.revision, "seed {seed}: ahead of the platform");
            highest = watch.since();
        }
        // The watch stays silent for good; reads work again.
        platform = Platform { silent: true, stale: false, down: false, ..platform };
        platform.revision += 1;
        let end = now + BOUND;
        while now < end && watch.since() < platform.revision {
            now = step(&mut watch, &platform, now);
        }
        assert_eq!(watch.since(), platform.revision, "seed {seed}: {watch}");
        assert!(now <= end, "seed {seed}: caught up only at {now}");
    }
}
