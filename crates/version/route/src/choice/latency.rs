//! The one of two random replicas that is expected to answer first.
//!
//! The expected latency is measured by this node, and scaled up by the estimated
//! number of requests at the server.
//!
//! Invariant: a server without samples is taken to be as fast as the fastest, so
//! that it is tried.

use rand_chacha::ChaCha8Rng;

use crate::choice::Policy;
use crate::choice::View;
use crate::choice::draw_two;
use base::entity::Server;

pub(super) struct Latency;

fn cost(view: &View<'_>, server: Server, replicas: &[Server]) -> f64 {
    let queue = view.estimated_load(server) / f64::from(view.slots(server));
    view.expected_us(server, replicas) * (1.0 + queue)
}

impl Policy for Latency {
    fn pick(&self, view: &View<'_>, replicas: &[Server], rng: &mut ChaCha8Rng) -> usize {
        let (first, second) = draw_two(rng, replicas.len());
        let a = cost(view, replicas[first], replicas);
        let b = cost(view, replicas[second], replicas);
        if b < a { second } else { first }
    }
}
