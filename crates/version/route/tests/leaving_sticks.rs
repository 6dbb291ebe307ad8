//! A leaving server gets no new work, whatever stale or wrong reports arrive,
//! until another incarnation is reported.

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
use wire::platform::Lifecycle;
use wire::platform::Vm;
use wire::upstream::State;

const NAME: &str = "s0-0";
const NOW: Time = Time::from_millis(1);

fn vm(lifecycle: Lifecycle) -> Vm {
    Vm {
        name: Arc::from(NAME),
        address: Arc::from("127.0.0.1:1000"),
        data_centre: Arc::from("luzon"),
        role: Arc::from("desk"),
        lifecycle,
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
        |table, _| table.update_vms(&[vm(Lifecycle::Leaving)]),
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
fn a_peer_withdrawal_applies_and_is_announced_once() {
    let mut table = table(1, plain());
    let server = servers(&table, 0)[0];
    assert_eq!(table.apply_withdrawal(&withdrawal(100)), [withdrawal(100)]);
    assert!(table.apply_withdrawal(&withdrawal(100)).is_empty());
    assert!(!table.may_send(server));
    assert_eq!(table.withdrawals(), [withdrawal(100)]);
}

#[test]
fn withdrawals_never_evict_the_current_incarnation() {
    let mut incarnations = Incarnations::new();
    incarnations.apply_report(Source::Reply, Incarnation(0), State::Draining);
    for number in 1..2000 {
        incarnations.apply_withdrawal(Incarnation(number));
        assert!(incarnations.is_leaving(), "after {number} withdrawals");
    }
    assert!(incarnations.ended().count() < 1000, "memory is bounded");
}

#[test]
fn a_withdrawal_of_an_earlier_incarnation_has_no_effect() {
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
    // Reports of the old incarnation arrive late, as a health report and on a reply.
    table.update_health(NOW, server, &health(NAME, 100, State::Ready, &[(1, 0)]));
    assert!(table.may_send(server));
    reply(&mut table, server, 101, State::Ready);
    reply(&mut table, server, 100, State::Draining);
    assert!(table.may_send(server));
}

#[test]
fn a_wrong_health_incarnation_is_corrected_by_the_first_reply() {
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
fn a_stale_vm_list_does_not_end_the_new_incarnation() {
    let mut table = table(1, plain());
    let server = servers(&table, 0)[0];
    table.update_vms(&[vm(Lifecycle::Leaving)]);
    table.update_health(NOW, server, &health(NAME, 101, State::Ready, &[(1, 0)]));
    table.update_vms(&[vm(Lifecycle::Leaving)]);
    assert!(table.may_send(server));
    table.update_vms(&[vm(Lifecycle::Live)]);
    table.update_vms(&[vm(Lifecycle::Leaving)]);
    assert!(!table.may_send(server));
}

#[test]
fn a_server_listed_as_leaving_before_its_first_report_gets_no_work() {
    let mut incarnations = Incarnations::new();
    incarnations.update_listed(Lifecycle::Leaving);
    assert!(incarnations.is_leaving());
    incarnations.apply_report(Source::Health, Incarnation(1), State::Ready);
    assert!(incarnations.is_leaving());
    incarnations.update_listed(Lifecycle::Live);
    assert!(incarnations.is_leaving());
    incarnations.apply_report(Source::Health, Incarnation(2), State::Ready);
    assert!(!incarnations.is_leaving());
}

#[test]
fn withdrawals_apply_before_any_incarnation_is_known() {
    let mut incarnations = Incarnations::new();
    incarnations.apply_withdrawal(Incarnation(1));
    assert!(incarnations.is_leaving(), "no other incarnation has been reported");
    incarnations.apply_report(Source::Health, Incarnation(1), State::Ready);
    assert!(incarnations.is_leaving());
    incarnations.apply_report(Source::Health, Incarnation(2), State::Ready);
    assert!(!incarnations.is_leaving());
}

/// Something that a node may receive about one server.
#[derive(Clone, Copy, Debug)]
enum Signal {
    Reply(u64, State),
    Health(u64, State),
    Vm(Lifecycle),
    Withdrawal(u64),
}

fn any_signal() -> impl Strategy<Value = Signal> {
    let state = || prop_oneof![Just(State::Cold), Just(State::Ready), Just(State::Draining)];
    let lifecycle = prop_oneof![Just(Lifecycle::Live), Just(Lifecycle::Leaving)];
    prop_oneof![
        (0u64..5, state()).prop_map(|(number, state)| Signal::Reply(number, state)),
        (0u64..5, state()).prop_map(|(number, state)| Signal::Health(number, state)),
        lifecycle.prop_map(Signal::Vm),
        (0u64..5).prop_map(Signal::Withdrawal),
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

    /// In any order of signals: once an incarnation was reported as leaving while it
    /// was the current one, or was withdrawn, the server gets work again only with
    /// an incarnation that has not ended here.
    #[test]
    fn no_order_of_signals_revives_an_ended_incarnation(
        signals in proptest::collection::vec(any_signal(), 1..40),
    ) {
        let mut incarnations = Incarnations::new();
        let mut ended: BTreeSet<u64> = BTreeSet::new();
        for signal in signals {
            let before = incarnations.current();
            match signal {
                Signal::Reply(number, state) => {
                    incarnations.apply_report(Source::Reply, Incarnation(number), state);
                }
                Signal::Health(number, state) => {
                    incarnations.apply_report(Source::Health, Incarnation(number), state);
                }
                Signal::Vm(lifecycle) => {
                    incarnations.update_listed(lifecycle);
                }
                Signal::Withdrawal(number) => {
                    incarnations.apply_withdrawal(Incarnation(number));
                    ended.insert(number);
                }
            }
            // An incarnation has ended if it drains while it is the current one, or
            // if another one has replaced it.
            let now = incarnations.current();
            if let Signal::Reply(number, State::Draining)
            | Signal::Health(number, State::Draining) = signal
                && now == Some(Incarnation(number))
            {
                ended.insert(number);
            }
            if let Some(before) = before && Some(before) != now {
                ended.insert(before.0);
            }
            if !incarnations.is_leaving() && let Some(now) = now {
                assert!(!ended.contains(&now.0), "{now} gets work after {signal:?}");
            }
            if let Signal::Reply(number, State::Ready) = signal
                && !ended.contains(&number)
                && now.is_none()
            {
                panic!("a reply from an incarnation that has not ended was ignored");
            }
        }
    }

    /// Withdrawals can arrive in any order and any number of times.
    #[test]
    fn the_order_of_withdrawals_does_not_matter(
        mut order in proptest::collection::vec(0u64..8, 1..30),
    ) {
        let mut first = Incarnations::new();
        let mut second = Incarnations::new();
        for number in &order {
            first.apply_withdrawal(Incarnation(*number));
        }
        order.reverse();
        for number in &order {
            second.apply_withdrawal(Incarnation(*number));
        }
        let set = |incarnations: &Incarnations| incarnations.ended().collect::<BTreeSet<_>>();
        assert_eq!(set(&first), set(&second));
    }
}
