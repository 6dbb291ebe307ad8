//! The watch receives all changes although reads are stale and watches go silent.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::time::Time;
use store::watch::Action;
use store::watch::Settings;
use store::watch::Watch;

/// A model of the platform: its revision and its active faults.
struct Platform {
    revision: u64,
    silent: bool,
    stale: bool,
    unavailable: bool,
}

fn watch_after_list(ms: u64, revision: u64) -> Watch {
    let mut watch = Watch::new(Settings::default(), 1);
    let now = Time::from_millis(ms);
    assert_eq!(watch.next(now), Action::List);
    assert!(watch.on_list(revision, now, now));
    watch
}

#[test]
fn stale_answers_never_lower_the_revision() {
    let mut watch = watch_after_list(0, 10);
    assert!(watch.on_changes(12, Time::from_millis(1), Time::from_millis(1)));
    assert!(!watch.on_changes(11, Time::from_millis(2), Time::from_millis(2)));
    assert_eq!(watch.since(), 12);
    assert_eq!(watch.next(Time::from_millis(3)), Action::Watch(12));
}

#[test]
fn silent_watch_is_replaced_once_a_peer_has_a_newer_revision() {
    let mut watch = watch_after_list(0, 10);
    watch.observe_revision(11, Time::from_millis(5));
    assert_eq!(watch.next(Time::from_millis(500)), Action::Watch(10));
    assert!(watch.on_changes(10, Time::from_millis(900), Time::from_millis(900)));
    assert_eq!(watch.next(Time::from_millis(1005)), Action::List);
    assert!(
        !watch.on_list(10, Time::from_millis(1010), Time::from_millis(1010)),
        "a list below a peer's revision is stale"
    );
    assert_eq!(watch.replaced(), 1);
}

#[test]
fn silent_watch_is_detected_by_a_check_read() {
    let mut watch = watch_after_list(0, 10);
    assert_eq!(watch.next(Time::from_millis(3000)), Action::Check);
    watch.on_check(11, Time::from_millis(3001));
    assert_eq!(watch.next(Time::from_millis(4001)), Action::List);
}

#[test]
fn answer_read_after_a_long_pause_is_discarded() {
    let mut watch = watch_after_list(0, 10);
    let (requested_at, resumed_at) = (Time::from_millis(10), Time::from_millis(60_000));
    assert!(!watch.on_changes(10, requested_at, resumed_at));
    assert_eq!(watch.next(resumed_at), Action::List);
    assert!(!watch.on_list(10, requested_at, resumed_at));
    assert_ne!(watch.next(resumed_at), Action::Watch(10));
}

/// Executes the watch's next action against the platform; returns when it ends.
fn step(watch: &mut Watch, platform: &Platform, now: Time) -> Time {
    let returned =
        if platform.stale { platform.revision.saturating_sub(3) } else { platform.revision };
    let next = now + Duration::from_millis(50);
    match watch.next(now) {
        Action::Wait(until) => return until,
        _ if platform.unavailable => watch.on_failure(now),
        Action::List => {
            watch.on_list(returned, now, now);
        }
        Action::Check => watch.on_check(returned, now),
        Action::Watch(since) if platform.silent || platform.revision <= since => {
            watch.on_changes(since, now, now + watch.max_wait());
            return now + watch.max_wait();
        }
        Action::Watch(_) => {
            watch.on_changes(returned, now, now);
        }
    }
    next
}

#[test]
fn watch_catches_up_within_the_bound_after_faults() {
    const MAX_CATCH_UP: Duration = Duration::from_millis(6500);
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut watch = Watch::new(Settings::default(), seed);
        let mut platform =
            Platform { revision: 5, silent: false, stale: false, unavailable: false };
        let mut now = Time::ZERO;
        let mut highest = 0;
        for _ in 0..rng.random_range(5..60) {
            platform.revision += u64::from(rng.random_bool(0.3));
            platform.silent = rng.random_bool(0.3);
            platform.stale = rng.random_bool(0.3);
            platform.unavailable = rng.random_bool(0.2);
            now = step(&mut watch, &platform, now);
            assert!(watch.since() >= highest, "seed {seed}: the revision decreased");
            assert!(watch.since() <= platform.revision, "seed {seed}: ahead of the platform");
            highest = watch.since();
        }
        // From here on the watch stays silent and reads are current.
        platform = Platform { silent: true, stale: false, unavailable: false, ..platform };
        platform.revision += 1;
        let end = now + MAX_CATCH_UP;
        while now < end && watch.since() < platform.revision {
            now = step(&mut watch, &platform, now);
        }
        assert_eq!(watch.since(), platform.revision, "seed {seed}: {watch}");
        assert!(now <= end, "seed {seed}: caught up too late, at {now}");
    }
}
