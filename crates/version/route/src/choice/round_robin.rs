//! Each replica in turn.
//!
//! Invariant: the one that this node chose the longest ago is next, so that
//! turns go by group and a changing set of replicas disturbs nothing.

use rand_chacha::ChaCha8Rng;

use crate::choice::Policy;
use crate::choice::View;
use base::entity::Server;

pub(super) struct RoundRobin;

impl Policy for RoundRobin {
    fn pick(&self, view: &View<'_>, replicas: &[Server], _: &mut ChaCha8Rng) -> usize {
        let oldest = (0..replicas.len()).min_by_key(|index| view.chosen(replicas[*index]));
        oldest.unwrap_or(0)
    }
}
