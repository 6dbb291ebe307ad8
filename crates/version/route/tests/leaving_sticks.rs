//! A leaving server gets no new work, whatever lagging or misleading data says,
//! until another incarnation is seen.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use support::health;
use support::plain;
use support::report;
use support::servers;
use support::shard;
use support::snapshot;
use support::table;

use base::entity::Server;
use base::time::Time;
use conf::object::Choice;
use route::leaving::Incarnations;
use route::leaving::Source;
use route::observation::Observation;
use route::table::Table;
use route::withdrawal::Withdrawal;
use wire::id::Incarnation;
use wire::platform::Life;
use wire::platform::Vm;
use wire::upstream::State;

const NAME: &str = "s0-0";
const NOW: Time = Time::from_millis(1);

fn vm(life: Life) -> Vm {
    Vm {
        name: Arc::from(NAME),
        address: Arc::from("127.0.0.1:1000"),
        data_centre: Arc::from("luzon"),
        role: Arc::from("desk"),
        life,
    }
}

fn withdrawal(incarnation: u64) -> Withdrawal {
    Withdrawal { server: Arc::from(NAME), incarnation: Incarnation(incarnation) }
}

fn reply(table: &mut Table, server: Server, incarnation: u64, state: State) -> Vec<Withdrawal> {
    let refused = Observation::Refused { retry_after: None, report: report(incarnation, state, 0) };
    table.observe(NOW, server, Observation::Sent);
    table.observe(NOW, server, refused)
}

#[test]
fn each_signal_ends_the_incarnation() {
    let signals: [fn(&mut Table, Server) -> Vec<Withdrawal>; 3] = [
        |table, server| reply(table, server, 100, State::Draining),
        |table, server| table.update_health(NOW, server, &health(NAME, 100, State::Draining, &[])),
        |table, _| table.update_vms(&[vm(Life::Leaving)]),
    ];
    for signal in signals {
        let mut table = table(1, plain());
        let server = servers(&table, 0)[0];
        assert!(table.may_send(server));
        assert_eq!(signal(&mut table, server), [withdrawal(100)]);
        assert!(!table.may_send(server));
        for _ in 0..50 {
            let picked = table.pick(NOW, Choice::Random, &snapshot(1), shard(0), &[]);
            assert_ne!(picked, Some(server));
        }
    }
}

#[test]
fn a_mark_of_a_peer_counts_and_is_spread_once() {
    let mut table = table(1, plain());
    let server = servers(&table, 0)[0];
    assert_eq!(table.apply_withdrawal(&withdrawal(100)), [withdrawal(100)]);
    assert!(table.apply_withdrawal(&withdrawal(100)).is_empty());
    assert!(!table.may_send(server));
    assert_eq!(table.withdrawals(), [withdrawal(100)]);
}

#[test]
fn no_number_of_marks_makes_the_present_one_forgotten() {
    let mut incarnations = Incarnations::new();
    incarnations.report(Source::Reply, Incarnation(0), State::Draining);
    for life in 1..2000 {
        incarnations.apply_withdrawal(Incarnation(life));
        assert!(incarnations.is_leaving(), "after {life} marks");
    }
    assert!(incarnations.ended().count() < 1000, "memory is bounded");
}

#[test]
fn a_mark_about_an_earlier_life_does_no_harm() {
    let mut table = table(1, plain());
    let server = servers(&table, 0)[0];
    table.apply_withdrawal(&withdrawal(99));
    assert!(table.may_send(server));
}

#[test]
fn a_new_incarnation_brings_the_server_back() {
    let mut table = table(1, plain());
    let server = servers(&table, 0)[0];
    reply(&mut table, server, 100, State::Draining);
    table.update_health(NOW, server, &health(NAME, 101, State::Ready, &[(1, 0)]));
    assert!(table.may_send(server));
    // The old life's report comes late, in band and out of band.
    table.update_health(NOW, server, &health(NAME, 100, State::Ready, &[(1, 0)]));
    assert!(table.may_send(server));
    reply(&mut table, server, 101, State::Ready);
    reply(&mut table, server, 100, State::Draining);
    assert!(table.may_send(server));
}

#[test]
fn a_made_up_incarnation_is_shown_by_the_first_reply() {
    let mut table = table(1, plain());
    let server = servers(&table, 0)[0];
    reply(&mut table, server, 100, State::Draining);
    table.update_health(NOW, server, &health(NAME, 7, State::Ready, &[(1, 0)]));
    assert_eq!(reply(&mut table, server, 100, State::Draining), [withdrawal(7)]);
    assert!(!table.may_send(server));
    table.update_health(NOW, server, &health(NAME, 7, State::Ready, &[(1, 0)]));
    assert!(!table.may_send(server));
}

#[test]
fn a_list_that_lags_behind_a_restart_does_not_end_the_new_life() {
    let mut table = table(1, plain());
    let server = servers(&table, 0)[0];
    table.update_vms(&[vm(Life::Leaving)]);
    table.update_health(NOW, server, &health(NAME, 101, State::Ready, &[(1, 0)]));
    table.update_vms(&[vm(Life::Leaving)]);
    assert!(table.may_send(server));
    table.update_vms(&[vm(Life::Live)]);
    table.update_vms(&[vm(Life::Leaving)]);
    assert!(!table.may_send(server));
}

#[test]
fn a_server_listed_as_leaving_before_it_was_seen_gets_no_work() {
    let mut incarnations = Incarnations::new();
    incarnations.list(Life::Leaving);
    assert!(incarnations.is_leaving());
    incarnations.report(Source::Health, Incarnation(1), State::Ready);
    assert!(incarnations.is_leaving());
    incarnations.list(Life::Live);
    assert!(incarnations.is_leaving());
    incarnations.report(Source::Health, Incarnation(2), State::Ready);
    assert!(!incarnations.is_leaving());
}

#[test]
fn a_new_node_takes_the_marks_before_it_sends() {
    let mut incarnations = Incarnations::new();
    incarnations.apply_withdrawal(Incarnation(1));
    assert!(incarnations.is_leaving(), "nothing shows yet that another one runs");
    incarnations.report(Source::Health, Incarnation(1), State::Ready);
    assert!(incarnations.is_leaving());
    incarnations.report(Source::Health, Incarnation(2), State::Ready);
    assert!(!incarnations.is_leaving());
}

/// Something that any node may hear of one server.
#[derive(Clone, Copy, Debug)]
enum Heard {
    Reply(u64, State),
    Health(u64, State),
    Vm(Life),
    Withdrawal(u64),
}

fn heard() -> impl Strategy<Value = Heard> {
    let state = || prop_oneof![Just(State::Cold), Just(State::Ready), Just(State::Draining)];
    let life = prop_oneof![Just(Life::Live), Just(Life::Leaving)];
    prop_oneof![
        (0u64..5, state()).prop_map(|(life, state)| Heard::Reply(life, state)),
        (0u64..5, state()).prop_map(|(life, state)| Heard::Health(life, state)),
        life.prop_map(Heard::Vm),
        (0u64..5).prop_map(Heard::Withdrawal),
    ]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        cases: 2000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// In any order of signals: once an incarnation was called leaving while it
    /// was the present one, or marked, the server gets work again only with an
    /// incarnation that never ended here.
    #[test]
    fn no_order_of_signals_brings_an_ended_life_back(
        signals in proptest::collection::vec(heard(), 1..40),
    ) {
        let mut incarnations = Incarnations::new();
        let mut ended: BTreeSet<u64> = BTreeSet::new();
        for signal in signals {
            let before = incarnations.current();
            match signal {
                Heard::Reply(life, state) => {
                    incarnations.report(Source::Reply, Incarnation(life), state);
                }
                Heard::Health(life, state) => {
                    incarnations.report(Source::Health, Incarnation(life), state);
                }
                Heard::Vm(life) => {
                    incarnations.list(life);
                }
                Heard::Withdrawal(life) => {
                    incarnations.apply_withdrawal(Incarnation(life));
                    ended.insert(life);
                }
            }
            // A life that drains while it is the present one has ended, and so
            // has one that another took the place of.
            let now = incarnations.current();
            if let Heard::Reply(life, State::Draining) | Heard::Health(life, State::Draining) = signal
                && now == Some(Incarnation(life))
            {
                ended.insert(life);
            }
            if let Some(before) = before && Some(before) != now {
                ended.insert(before.0);
            }
            if !incarnations.is_leaving() && let Some(now) = now {
                assert!(!ended.contains(&now.0), "{now} gets work after {signal:?}");
            }
            if let Heard::Reply(life, State::Ready) = signal && !ended.contains(&life) && now.is_none() {
                panic!("a reply of a life that never ended was not taken in");
            }
        }
    }

    /// Marks can be heard in any order and any number of times.
    #[test]
    fn the_order_of_marks_does_not_matter(mut order in proptest::collection::vec(0u64..8, 1..30)) {
        let mut first = Incarnations::new();
        let mut second = Incarnations::new();
        for life in &order {
            first.apply_withdrawal(Incarnation(*life));
        }
        order.reverse();
        for life in &order {
            second.apply_withdrawal(Incarnation(*life));
        }
        let set = |incarnations: &Incarnations| incarnations.ended().collect::<BTreeSet<_>>();
        assert_eq!(set(&first), set(&second));
    }
}
