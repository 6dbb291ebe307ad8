//! The node's home server in the group, and others when that one is full.
//!
//! Each group's servers are dealt out over the live nodes, so that the slots of
//! one server are used by a few nodes and not by all. A node spills to the
//! replica with the fewest requests when its own ones fill its part of the
//! group's slots, or when its home server is slow.
//!
//! Invariant: nodes that see the same members deal alike, and each server is
//! home to as many nodes as any other of its group, give or take one. Nodes that
//! disagree on the members only load a server unevenly.

use std::sync::Arc;

use rand_chacha::ChaCha8Rng;

use crate::choice::Policy;
use crate::choice::View;
use base::entity::Server;
use base::hash;

/// The multiple of the fastest replica's expected latency from which on the
/// home server counts as slow.
const SLOW: f64 = 2.0;

pub(super) struct Home;

impl Policy for Home {
    fn pick(&self, view: &View<'_>, replicas: &[Server], _: &mut ChaCha8Rng) -> usize {
        let home = replicas.iter().position(|server| Some(*server) == view.home);
        if let Some(index) = home
            && view.in_flight(replicas[index]) < view.full
            && !is_slow(view, replicas[index], replicas)
        {
            return index;
        }
        let fewest =
            |a: &usize, b: &usize| load(view, replicas[*a]).total_cmp(&load(view, replicas[*b]));
        (0..replicas.len()).min_by(fewest).unwrap_or(0)
    }
}

fn is_slow(view: &View<'_>, server: Server, replicas: &[Server]) -> bool {
    view.expected_us(server, replicas) > view.fastest_us(replicas) * SLOW
}

fn load(view: &View<'_>, server: Server) -> f64 {
    f64::from(view.in_flight(server)) + view.estimated_load(server)
}

/// The index of the home server of `node` in a group of `size` servers, dealt
/// over `nodes`; `None` if the node is not among them.
pub(crate) fn deal(node: &str, nodes: &[Arc<str>], group: &str, size: usize) -> Option<usize> {
    let weight = |node: &str| hash::stable(0, &[group, node]);
    let own = (weight(node), node);
    nodes.iter().position(|found| **found == *node)?;
    let before = nodes.iter().filter(|other| (weight(other), &***other) < own).count();
    (size > 0).then(|| before % size)
}
