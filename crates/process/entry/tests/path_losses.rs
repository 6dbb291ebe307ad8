//! Connections that break together: a lost path, or servers that end under requests.

use entry::losses::Count;

/// Guards against requests that are blocked for servers that end, since the node lost its path
/// while they were in progress.
#[test]
fn loss_of_nearly_all_servers_is_one_of_the_path() {
    for lost in [2, 5, 50, 3000] {
        assert!(Count { lost, kept: 0 }.is_path());
        assert!(Count { lost, kept: lost / 4 }.is_path());
    }
}

/// Guards against requests that end servers and are not found beside others that end servers from
/// other nodes at the same moment, or beside a data centre that fails.
#[test]
fn loss_of_some_servers_is_none_of_the_path() {
    assert!(!Count { lost: 0, kept: 0 }.is_path());
    assert!(!Count { lost: 1, kept: 0 }.is_path());
    // A search over ten shards of three servers, the same one at another node, and the rest.
    assert!(!Count { lost: 10, kept: 10 }.is_path());
    // One of three data centres, two of three.
    assert!(!Count { lost: 10, kept: 20 }.is_path());
    assert!(!Count { lost: 20, kept: 10 }.is_path());
}
