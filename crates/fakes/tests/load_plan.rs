//! The schedule of the load generator.

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
        duration: Duration::from_secs(50),
        urgent_share: 0.25,
        non_idempotent_share: 0.1,
        shards: Some(4),
        ..Settings::new("search", Vec::new())
    }
}

#[test]
fn same_seed_gives_the_same_plan() {
    assert_eq!(plan(&settings()), plan(&settings()));
    let times = |seed| -> Vec<Duration> {
        plan(&Settings { seed, ..settings() }).iter().map(|request| request.at).collect()
    };
    assert_ne!(times(1), times(2));
}

#[test]
fn plan_follows_rate_and_shares() {
    let requests = plan(&settings());
    let count = requests.len() as f64;
    assert!((9_500.0..10_500.0).contains(&count), "{count}");
    assert!(requests.is_sorted_by_key(|request| request.at));
    let share = |part: usize| part as f64 / count;
    let urgent = requests.iter().filter(|request| request.priority == Priority::Urgent).count();
    assert!((0.23..0.27).contains(&share(urgent)), "{urgent}");
    let shards: Vec<u32> =
        requests.iter().filter_map(|request| request.non_idempotent_shard).collect();
    assert!((0.08..0.12).contains(&share(shards.len())), "{}", shards.len());
    assert_eq!(shards.into_iter().collect::<BTreeSet<_>>(), (0..4).collect());
    let bodies: BTreeSet<String> =
        requests.iter().map(|request| request.body.to_string()).collect();
    assert_eq!(bodies.len(), requests.len(), "request bodies are unique");
    let callers: BTreeSet<_> = requests.iter().map(|request| &request.caller).collect();
    assert_eq!(callers.len(), 20);
}

#[test]
fn targets_are_interleaved() {
    let target = |name: &str| Target { name: Arc::from(name), seeds: Vec::new() };
    let two = Settings { targets: vec![target("a"), target("b")], ..settings() };
    let requests = plan(&two);
    assert!(requests.iter().enumerate().all(|(number, request)| request.target == number % 2));
}

#[test]
fn zero_rate_gives_no_requests() {
    assert!(plan(&Settings { rate: 0.0, ..settings() }).is_empty());
}
