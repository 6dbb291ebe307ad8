//! The shares of all nodes together stay within each limit.

use entry::shares::Shares;

fn fleets() -> impl Iterator<Item = (u32, u32)> {
    [(1, 0), (2, 0), (6, 0), (12, 30), (18, 40), (18, 277), (30, 265), (60, 2340)].into_iter()
}

#[test]
fn connections_of_the_serving_nodes_stay_within_the_limit() {
    for (serving_nodes, standby_nodes) in fleets() {
        for limit in [25, 61, 96, 195, 1800] {
            let shares = |serving| Shares { serving, serving_nodes, standby_nodes };
            let used = shares(true).connections(limit) * serving_nodes;
            let in_use = limit / 4;
            assert!(
                used <= limit || shares(true).connections(limit) == 1,
                "{serving_nodes} nodes use {used} of {limit}"
            );
            if standby_nodes > 0 && shares(true).connections(limit) > 1 {
                assert!(used + in_use.min(2) <= limit, "no connection is left to standby nodes");
            }
        }
    }
}

/// The fleet's size alone leaves no node without connections, as an equal division of 195
/// connections among 295 nodes did.
#[test]
fn serving_nodes_of_a_large_fleet_have_several_connections() {
    let shares = Shares { serving: true, serving_nodes: 18, standby_nodes: 277 };
    assert!(shares.connections(195) >= 4);
}

#[test]
fn slack_of_all_nodes_is_at_most_the_whole() {
    for (serving_nodes, standby_nodes) in fleets() {
        let shares = |serving| Shares { serving, serving_nodes, standby_nodes };
        let sum = shares(true).slack_fraction() * f64::from(serving_nodes)
            + shares(false).slack_fraction() * f64::from(standby_nodes);
        assert!(sum <= 1.0 + 1e-9, "{serving_nodes} and {standby_nodes} nodes use {sum}");
    }
}
