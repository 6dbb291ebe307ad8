//! A random replica.
//!
//! Invariant: all replicas are equally likely.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::choice::Policy;
use crate::choice::View;
use base::entity::Server;

pub(super) struct Random;

impl Policy for Random {
    fn pick(&self, _: &View<'_>, replicas: &[Server], rng: &mut ChaCha8Rng) -> usize {
        rng.random_range(0..replicas.len())
    }
}
