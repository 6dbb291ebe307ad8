//! Lookups return nodes that can serve callers, and spread callers over all of them.

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

fn lookup_ports(table: &Table, centre: &str, seed: u64) -> Vec<String> {
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
    for number in 0..LOOKUPS {
        let centre = CENTRES[number as usize % 3];
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
fn lookups_return_only_ready_nodes_that_stay() {
    let table = table(|record| match record.incarnation.0 {
        1 => record.fresh = false,
        2 => record.state = State::Suspect,
        3 => record.leave = Departure::Holding,
        4 => record.leave = Departure::Going,
        _ => {}
    });
    let mut ports = lookup_ports(&table, "cape", 0);
    ports.sort();
    assert_eq!(ports, ["1000", "1005"]);
}

#[test]
fn holding_nodes_are_returned_if_none_stays() {
    let set_departure = |record: &mut Record| {
        record.leave =
            if record.incarnation.0 == 3 { Departure::Holding } else { Departure::Going };
    };
    assert_eq!(lookup_ports(&table(set_departure), "cape", 0), ["1003"]);
}

#[test]
fn vm_list_only_moves_a_node_to_the_end() {
    let mut table = table(|_| {});
    table.set_vm_leaving(&["node-1".into()]);
    let ports = lookup_ports(&table, CENTRES[1], 0);
    assert_eq!(ports.len(), 6);
    assert_eq!(ports[5], "1001");
}

#[test]
fn two_nodes_in_each_data_centre_watch_the_platform() {
    let watchers = |table: &Table| watcher::select(table.all(), CENTRES[0]);
    let mut records: Vec<Record> = (0..30).map(record).collect();
    let mut all = Table::new(records.remove(0), Settings::default(), 0);
    all.merge(records, Time::ZERO);
    let first = watchers(&all);
    assert_eq!(first.len(), 2);
    let mut unreachable = all.get(first[0]).cloned().expect("a member");
    unreachable.platform = false;
    unreachable.sequence += 1;
    if unreachable.incarnation == all.own().incarnation {
        all.update(|own| own.platform = false);
    }
    all.merge(vec![unreachable], Time::ZERO);
    let second = watchers(&all);
    assert!(!second.contains(&first[0]), "a node that does not reach the platform is replaced");
    assert!(second.contains(&first[1]));
    let down = table(|record| record.platform = false);
    assert_eq!(watchers(&down).len(), 2, "in an outage two keep trying");
}
