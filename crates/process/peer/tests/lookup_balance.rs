//! Callers are told of nodes that can serve them, and spread over all.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::time::Time;
use peer::lookup;
use peer::lookup::Locality;
use peer::member::Settings;
use peer::member::Table;
use peer::record::Addresses;
use peer::record::Departure;
use peer::record::Record;
use peer::record::State;
use peer::watcher;
use wire::id::Incarnation;

const CENTRES: [&str; 3] = ["gauteng", "cape", "natal"];

fn record(number: u64) -> Record {
    let at = |port: u64| SocketAddr::from(([127, 0, 0, 1], (port + number) as u16));
    let addresses = Addresses { caller: at(1000), peer: at(2000), operator: at(3000) };
    let centre = CENTRES[(number % 3) as usize];
    let name = format!("node-{number}").into();
    let mut record =
        Record::new(name, Incarnation(number), addresses, centre.into(), centre.into());
    record.state = State::Alive;
    record.fresh = true;
    record.platform = true;
    record
}

fn table(change: impl Fn(&mut Record)) -> Table {
    let mut records: Vec<Record> = (0..6).map(record).collect();
    records.iter_mut().for_each(change);
    let mut table = Table::new(records.remove(0), Settings::default(), 0);
    table.merge(records, Time::ZERO);
    table
}

fn named(table: &Table, centre: &str, seed: u64) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let locality = Locality { data_centre: centre, region: centre };
    let entries = lookup::entries(table, locality, Duration::from_secs(5), &mut random);
    entries
        .entries
        .iter()
        .map(|entry| entry.address.rsplit(':').next().unwrap_or("").to_owned())
        .collect()
}

#[test]
fn six_nodes_share_the_load_within_ten_percent() {
    let table = table(|_| {});
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut firsts: BTreeMap<String, u32> = BTreeMap::new();
    const LOOKUPS: u32 = 12_000;
    for turn in 0..LOOKUPS {
        let centre = CENTRES[turn as usize % 3];
        let locality = Locality { data_centre: centre, region: centre };
        let entries = lookup::entries(&table, locality, Duration::from_secs(5), &mut random);
        assert_eq!(&*entries.entries[0].data_centre, centre, "the nearest comes first");
        *firsts.entry(entries.entries[0].address.to_string()).or_default() += 1;
    }
    let share = LOOKUPS / 6;
    assert_eq!(firsts.len(), 6);
    for (node, count) in firsts {
        assert!(count.abs_diff(share) <= share / 10, "{node} got {count} of {share}");
    }
}

#[test]
fn only_ready_nodes_that_stay_are_named() {
    let table = table(|record| match record.incarnation.0 {
        1 => record.fresh = false,
        2 => record.state = State::Suspect,
        3 => record.leave = Departure::Holding,
        4 => record.leave = Departure::Going,
        _ => {}
    });
    let mut names = named(&table, "cape", 0);
    names.sort();
    assert_eq!(names, ["1000", "1005"]);
}

#[test]
fn holding_nodes_are_the_last_resort() {
    let all_leave = |record: &mut Record| {
        record.leave =
            if record.incarnation.0 == 3 { Departure::Holding } else { Departure::Going };
    };
    assert_eq!(named(&table(all_leave), "cape", 0), ["1003"]);
}

#[test]
fn vm_list_moves_a_node_to_the_end_only() {
    let mut table = table(|_| {});
    table.set_vm_leaving(&["node-1".into()]);
    let names = named(&table, CENTRES[1], 0);
    assert_eq!(names.len(), 6);
    assert_eq!(names[5], "1001");
}

#[test]
fn two_in_each_data_centre_hold_the_watch() {
    let holders = |table: &Table| watcher::select(table.all(), CENTRES[0]);
    let mut records: Vec<Record> = (0..30).map(record).collect();
    let mut all = Table::new(records.remove(0), Settings::default(), 0);
    all.merge(records, Time::ZERO);
    let first = holders(&all);
    assert_eq!(first.len(), 2);
    let mut cut = all.get(first[0]).cloned().expect("a member");
    cut.platform = false;
    cut.sequence += 1;
    if cut.incarnation == all.own().incarnation {
        all.update(|own| own.platform = false);
    }
    all.merge(vec![cut], Time::ZERO);
    let second = holders(&all);
    assert!(!second.contains(&first[0]), "one that is cut from the platform is passed over");
    assert!(second.contains(&first[1]));
    let down = table(|record| record.platform = false);
    assert_eq!(holders(&down).len(), 2, "in an outage two keep trying");
}
