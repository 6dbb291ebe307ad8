//! The pace of a VM whose processor slows down and recovers.

use std::time::Duration;

use entry::pace::Pace;

fn observe(pace: &mut Pace, micros: &[u64]) {
    micros.iter().for_each(|micros| pace.observe(Duration::from_micros(*micros)));
}

#[test]
fn slow_vm_is_noticed_and_its_recovery_too() {
    let mut pace = Pace::default();
    observe(&mut pace, &[59, 63, 57, 83, 59]);
    assert!(pace.slowness() < 1.5, "{}", pace.slowness());
    observe(&mut pace, &[581, 253, 406]);
    assert!(pace.slowness() > 3.0, "{}", pace.slowness());
    observe(&mut pace, &[72, 70]);
    assert!(pace.slowness() < 1.5, "{}", pace.slowness());
}

/// The processor does other work in between, in two intervals of three.
#[test]
fn long_samples_among_usual_ones_are_ignored() {
    let mut pace = Pace::default();
    observe(&mut pace, &[60, 61, 349, 325, 62, 125, 290, 64, 310, 280]);
    assert!(pace.slowness() < 1.5, "{}", pace.slowness());
}

/// A VM that stays slow for long is simply a smaller one.
#[test]
fn lasting_slowness_becomes_the_usual_pace() {
    let mut pace = Pace::default();
    observe(&mut pace, &[60, 60]);
    (0..1500).for_each(|_| observe(&mut pace, &[180]));
    assert!(pace.slowness() < 1.5, "{}", pace.slowness());
}

#[test]
fn pace_without_samples_is_usual() {
    assert!((Pace::default().slowness() - 1.0).abs() < f64::EPSILON);
}
