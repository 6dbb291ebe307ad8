//! The one of two random replicas that has fewer of this node's requests in flight.
//!
//! Invariant: the estimated load, which includes the server's reports, only breaks
//! a tie.

use std::cmp::Ordering;

use rand_chacha::ChaCha8Rng;

use crate::choice::Policy;
use crate::choice::View;
use crate::choice::draw_two;
use base::entity::Server;

pub(super) struct LeastOfTwo;

impl Policy for LeastOfTwo {
    fn pick(&self, view: &View<'_>, replicas: &[Server], rng: &mut ChaCha8Rng) -> usize {
        let (first, second) = draw_two(rng, replicas.len());
        let (a, b) = (replicas[first], replicas[second]);
        let own = view.in_flight(a).cmp(&view.in_flight(b));
        match own.then(view.estimated_load(a).total_cmp(&view.estimated_load(b))) {
            Ordering::Greater => second,
            Ordering::Less | Ordering::Equal => first,
        }
    }
}
