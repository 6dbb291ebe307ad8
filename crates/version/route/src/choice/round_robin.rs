//! Each replica in turn.
//!
//! Invariant: the replica that this node picked the longest ago is next. So each
//! group has its own order, and replicas may come and go without a reset.

use rand_chacha::ChaCha8Rng;

use crate::choice::Policy;
use crate::choice::View;
use base::entity::Server;

pub(super) struct RoundRobin;

impl Policy for RoundRobin {
    fn pick(&self, view: &View<'_>, replicas: &[Server], _: &mut ChaCha8Rng) -> usize {
        let oldest = (0..replicas.len()).min_by_key(|index| view.last_pick(replicas[*index]));
        oldest.unwrap_or(0)
    }
}
