//! How slow this VM runs at present, measured by how long a fixed piece of work takes. The
//! decision does no I/O.
//!
//! A VM whose processor slows down still sends its heartbeats in time, so others can't see
//! it: the node measures itself and reports it.

use std::hint::black_box;
use std::time::Duration;

/// The number of steps of the fixed piece of work: about 20 us on a whole core.
const WORK_STEPS: u64 = 20_000;
/// The factor by which the baseline rises with each sample, so that a lasting change of the
/// VM becomes the usual pace within minutes.
const BASELINE_GROWTH: f64 = 1.002;
/// The number of samples in a row that must be long for a VM to count as slow.
const SAMPLES: usize = 3;
/// The slowness that is reported at most.
const MAX_SLOWNESS: f64 = 100.0;

/// The pace of this VM.
#[derive(Debug, Default)]
pub struct Pace {
    /// The usual time of the work in seconds; `None` before the first sample.
    baseline: Option<f64>,
    /// The last samples in seconds. Some long samples among shorter ones are no slowness: the
    /// processor was busy with other work.
    recent: [f64; SAMPLES],
}

impl Pace {
    /// Adds the time that the work took.
    pub fn observe(&mut self, took: Duration) {
        let sample = took.as_secs_f64();
        self.baseline = Some(match self.baseline {
            None => {
                self.recent = [sample; SAMPLES];
                sample
            }
            Some(baseline) => (baseline * BASELINE_GROWTH).min(sample),
        });
        self.recent.rotate_left(1);
        self.recent[SAMPLES - 1] = sample;
    }

    /// The ratio of the present time of the work to the usual one, at least 1.
    pub fn slowness(&self) -> f64 {
        let Some(baseline) = self.baseline.filter(|baseline| *baseline > 0.0) else { return 1.0 };
        let shortest = self.recent.iter().copied().fold(f64::INFINITY, f64::min);
        (shortest / baseline).clamp(1.0, MAX_SLOWNESS)
    }
}

/// The fixed piece of work.
pub(crate) fn work() {
    let step = |state: u64, number| {
        black_box(state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(number))
    };
    black_box((0..WORK_STEPS).fold(1, step));
}
