//! The assignment of requests to arms, by weighted rendezvous hashing.
//!
//! Each arm gets a score from the hash of the experiment, the unit and the arm,
//! divided by the arm's weight; the lowest score wins. The arithmetic uses integers,
//! so that no two builds round differently.
//!
//! Invariant: the arm follows from the experiment's name, its arms and the unit
//! alone, so it is the same on every node and after a restart. When a weight
//! changes, units move only to an arm whose weight grew or from one whose weight
//! shrank.

use base::hash;
use conf::object::Arm;
use conf::object::Experiment;
use conf::object::Stage;
use conf::object::Unit;

/// The hash seed; changing it would reassign the units of all running experiments.
const SEED: u64 = 0;
/// Fractional bits of a logarithm.
const FRACTION_BITS: u32 = 32;

/// The arm of a request, or `None` if the experiment is not running or every
/// arm has weight zero.
pub fn arm<'a>(
    name: &str,
    experiment: &'a Experiment,
    caller: &str,
    request: &str,
) -> Option<&'a Arm> {
    if experiment.stage != Stage::Running {
        return None;
    }
    of_unit(name, &experiment.arms, unit_id(experiment.unit, caller, request))
}

/// The identifier by which a request is assigned: its caller, or the request itself.
pub fn unit_id<'a>(unit: Unit, caller: &'a str, request: &'a str) -> &'a str {
    match unit {
        Unit::Caller => caller,
        Unit::Request => request,
    }
}

/// The arm of a unit; `None` if every arm has weight zero.
pub fn of_unit<'a>(experiment: &str, arms: &'a [Arm], unit: &str) -> Option<&'a Arm> {
    let mut best: Option<(u128, &Arm)> = None;
    for arm in arms.iter().filter(|arm| arm.weight > 0) {
        let score = score(experiment, unit, &arm.name);
        let lower = best.is_none_or(|(least, winner)| {
            // score / arm.weight < least / winner.weight
            score * u128::from(winner.weight) < least * u128::from(arm.weight)
        });
        if lower {
            best = Some((score, arm));
        }
    }
    best.map(|(_, arm)| arm)
}

/// An exponentially distributed number: minus the logarithm of a uniform one.
fn score(experiment: &str, unit: &str, arm: &str) -> u128 {
    let uniform = hash::stable(SEED, &[experiment, unit, arm]).max(1);
    let whole = u128::from(u64::BITS) << FRACTION_BITS;
    whole - log2(uniform)
}

/// The binary logarithm with [`FRACTION_BITS`] fractional bits.
fn log2(value: u64) -> u128 {
    let whole = value.ilog2();
    // The mantissa, in [1, 2), with 63 fractional bits.
    let mut mantissa = u128::from(value) << (63 - whole);
    let mut log = u128::from(whole);
    for _ in 0..FRACTION_BITS {
        mantissa = (mantissa * mantissa) >> 63;
        let carry = mantissa >> 64;
        log = (log << 1) | carry;
        mantissa >>= carry;
    }
    log
}
