//! The node's home server in the group, or another one when that is full or slow.
//!
//! Each group's servers are assigned to the live nodes as home servers, so that a
//! server is mostly used by a few nodes and not by all. A node spills over to the
//! replica with the least load when its requests at the home server fill the
//! node's share of the group's slots, or when the home server is slow.
//!
//! Invariant: nodes with the same member list make the same assignment, and the
//! numbers of nodes that two servers of a group are home to differ by at most one.
//! If the member lists differ, the only consequence is uneven load.

use std::sync::Arc;

use rand_chacha::ChaCha8Rng;

use crate::choice::Policy;
use crate::choice::View;
use base::entity::Server;
use base::hash;

/// The multiple of the fastest replica's expected latency above which the home
/// server counts as slow.
const SLOW_FACTOR: f64 = 2.0;

pub(super) struct Home;

impl Policy for Home {
    fn pick(&self, view: &View<'_>, replicas: &[Server], _: &mut ChaCha8Rng) -> usize {
        let home = replicas.iter().position(|server| Some(*server) == view.home);
        if let Some(index) = home
            && view.in_flight(replicas[index]) < view.in_flight_limit
            && !is_slow(view, replicas[index], replicas)
        {
            return index;
        }
        let by_load =
            |a: &usize, b: &usize| load(view, replicas[*a]).total_cmp(&load(view, replicas[*b]));
        (0..replicas.len()).min_by(by_load).unwrap_or(0)
    }
}

fn is_slow(view: &View<'_>, server: Server, replicas: &[Server]) -> bool {
    view.expected_us(server, replicas) > view.fastest_us(replicas) * SLOW_FACTOR
}

fn load(view: &View<'_>, server: Server) -> f64 {
    f64::from(view.in_flight(server)) + view.estimated_load(server)
}

/// The index of the home server of `node` in a group of `size` servers that are
/// assigned to `nodes`; `None` if the node is not among them. The nodes take the
/// servers in turn, ordered by a hash of the group and the node.
pub(crate) fn assign(node: &str, nodes: &[Arc<str>], group: &str, size: usize) -> Option<usize> {
    let rank = |node: &str| hash::stable(0, &[group, node]);
    let own = (rank(node), node);
    nodes.iter().position(|found| **found == *node)?;
    let before = nodes.iter().filter(|other| (rank(other), &***other) < own).count();
    (size > 0).then(|| before % size)
}
