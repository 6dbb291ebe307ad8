//! What the callers plan to send.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use fakes::caller::Settings;
use fakes::caller::Target;
use fakes::caller::plan;
use wire::caller::Priority;

fn settings() -> Settings {
    Settings {
        rate: 200.0,
        span: Duration::from_secs(50),
        urgent_share: 0.25,
        claim_share: 0.1,
        shards: Some(4),
        ..Settings::new("search", Vec::new())
    }
}

#[test]
fn same_seed_same_plan() {
    assert_eq!(plan(&settings()), plan(&settings()));
    let times = |seed| -> Vec<Duration> {
        plan(&Settings { seed, ..settings() }).iter().map(|shot| shot.at).collect()
    };
    assert_ne!(times(1), times(2));
}

#[test]
fn rate_and_shares_are_kept() {
    let shots = plan(&settings());
    let count = shots.len() as f64;
    assert!((9_500.0..10_500.0).contains(&count), "{count}");
    assert!(shots.is_sorted_by_key(|shot| shot.at));
    let share = |hits: usize| hits as f64 / count;
    let urgent = shots.iter().filter(|shot| shot.priority == Priority::Urgent).count();
    assert!((0.23..0.27).contains(&share(urgent)), "{urgent}");
    let claims: Vec<u32> = shots.iter().filter_map(|shot| shot.claim).collect();
    assert!((0.08..0.12).contains(&share(claims.len())), "{}", claims.len());
    assert_eq!(claims.into_iter().collect::<BTreeSet<_>>(), (0..4).collect());
    let bodies: BTreeSet<String> = shots.iter().map(|shot| shot.body.to_string()).collect();
    assert_eq!(bodies.len(), shots.len(), "no two requests are alike");
    let callers: BTreeSet<_> = shots.iter().map(|shot| &shot.caller).collect();
    assert_eq!(callers.len(), 20);
}

#[test]
fn targets_are_interleaved() {
    let target = |name: &str| Target { name: Arc::from(name), seeds: Vec::new() };
    let two = Settings { targets: vec![target("a"), target("b")], ..settings() };
    let shots = plan(&two);
    assert!(shots.iter().enumerate().all(|(number, shot)| shot.target == number % 2));
}

#[test]
fn no_rate_no_requests() {
    assert!(plan(&Settings { rate: 0.0, ..settings() }).is_empty());
}
