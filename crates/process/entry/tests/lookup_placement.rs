//! Which nodes a lookup names.

use std::net::SocketAddr;
use std::sync::Arc;

use base::region;
use entry::homes;
use entry::members;
use entry::placement;
use entry::placement::Candidate;
use replica::record::Distance;

fn node(number: u8, distance: Distance, capacity: u32) -> Candidate {
    let address = SocketAddr::from(([10, 0, 0, number], 80));
    let region = region::Set::NONE;
    Candidate { address, distance, region, capacity, sends_per_second: 0 }
}

fn numbers(found: &[SocketAddr]) -> Vec<u8> {
    let mut numbers: Vec<u8> = found
        .iter()
        .map(|address| match address {
            SocketAddr::V4(v4) => v4.ip().octets()[3],
            SocketAddr::V6(_) => 0,
        })
        .collect();
    numbers.sort();
    numbers
}

/// The pattern of a search over many shards: on a small VM, the processor time of a request
/// is longer than the way to a large one nearby.
#[test]
fn wide_searches_go_to_large_nodes_of_the_region() {
    let nodes = [
        node(1, Distance::DataCentre, 120),
        node(2, Distance::DataCentre, 500),
        node(3, Distance::Region, 500),
        node(4, Distance::Region, 500),
        node(5, Distance::Far, 500),
    ];
    assert_eq!(numbers(&placement::choose(&nodes, 90)), [2, 3, 4]);
}

#[test]
fn narrow_requests_stay_in_the_data_centre_or_region() {
    let nodes = [
        node(1, Distance::DataCentre, 250),
        node(2, Distance::DataCentre, 250),
        node(3, Distance::Far, 250),
    ];
    assert_eq!(numbers(&placement::choose(&nodes, 10)), [1, 2]);
}

#[test]
fn far_nodes_serve_if_no_others_do() {
    let nodes = [node(3, Distance::Far, 250), node(4, Distance::Far, 250)];
    assert_eq!(numbers(&placement::choose(&nodes, 10)), [3, 4]);
}

#[test]
fn overloaded_nodes_are_named_last() {
    let busy =
        |number| Candidate { sends_per_second: 6000, ..node(number, Distance::DataCentre, 500) };
    let nodes = [busy(1), busy(2), busy(3), node(4, Distance::Region, 500)];
    assert_eq!(placement::choose(&nodes, 90).first().map(|a| numbers(&[*a])), Some(vec![4]));
}

/// Pattern: the VM of one node runs at a fifth of its speed for some seconds.
#[test]
fn slow_nodes_are_not_named() {
    let slow = members::present_capacity(500, 460);
    let nodes = [
        node(1, Distance::DataCentre, 500),
        node(2, Distance::DataCentre, slow),
        node(3, Distance::DataCentre, 500),
        node(4, Distance::Region, 500),
    ];
    assert_eq!(numbers(&placement::choose(&nodes, 90)), [1, 3, 4]);
}

#[test]
fn no_nodes_give_no_addresses() {
    assert!(placement::choose(&[], 90).is_empty());
}

/// Guards against lookups that name nodes abroad while others are known, and against lookups
/// without any node.
#[test]
fn nodes_abroad_are_named_only_if_no_others_are_known() {
    let names = ["north", "south", "west"].map(Arc::from);
    let index = region::Index::new(&names);
    let [north, south, west] = names.each_ref().map(|name| index.region(name));
    let in_region = |number, region| Candidate { region, ..node(number, Distance::Far, 250) };
    let nodes = vec![in_region(1, north), in_region(2, south), in_region(3, west)];
    let eligible = |caller, homes| {
        let found = placement::eligible(nodes.clone(), caller, homes);
        numbers(&found.iter().map(|node| node.address).collect::<Vec<_>>())
    };
    assert_eq!(eligible(north, south), [1, 2]);
    assert_eq!(eligible(north, region::Set::NONE), [1]);
    assert_eq!(eligible(region::Set::NONE, west), [3]);
    assert_eq!(eligible(region::Set::NONE, region::Set::NONE), [1, 2, 3]);
    assert_eq!(eligible(north, region::Set::ANY), [1, 2, 3]);
    // Homes of a route and a customer: refused only if each has some, and none in common.
    assert_eq!(homes::common(north.union(south), south.union(west)), Some(south));
    assert_eq!(homes::common(north, region::Set::ANY), Some(north));
    assert_eq!(homes::common(north, south), None);
    assert_eq!(homes::common(region::Set::NONE, south), Some(region::Set::NONE));
}
