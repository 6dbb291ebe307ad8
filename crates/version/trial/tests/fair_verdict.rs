//! The report names a winner only if the arms differ.

use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use conf::object::Preference;
use trial::report::Report;
use trial::report::Verdict;
use trial::tally::Breakdown;
use trial::tally::Sample;

const CALLERS: u64 = 200;

/// The traffic of one arm. Each caller has its own latency factor, so that its
/// requests are correlated.
struct Arm {
    name: &'static str,
    factor: f64,
    lost_share: f64,
    refused_share: f64,
}

impl Arm {
    fn new(name: &'static str) -> Self {
        Self { name, factor: 1.0, lost_share: 0.01, refused_share: 0.0 }
    }

    fn fill(&self, breakdown: &mut Breakdown, callers: u64, requests: u64, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let name: Arc<str> = Arc::from(self.name);
        for caller in 0..callers {
            let caller_factor = 1.0 + 2.0 * rng.random::<f64>().powi(3);
            for _ in 0..requests {
                let tail = -(1.0 - rng.random::<f64>()).ln();
                let latency = 5_000.0 * caller_factor * (1.0 + tail) * self.factor;
                let refused = rng.random::<f64>() < self.refused_share;
                let lost = u32::from(rng.random::<f64>() < self.lost_share);
                let covered = if refused { 0 } else { 10 - lost };
                let sample =
                    Sample { latency_us: latency as u64, asked: 10, covered, sends: 10, refused };
                breakdown.add(&name, &format!("{}-{caller}", self.name), &sample);
            }
        }
    }
}

fn report(preference: Preference, arms: &[Arm], callers: u64, requests: u64, seed: u64) -> Report {
    let mut breakdown = Breakdown::new();
    for (index, arm) in arms.iter().enumerate() {
        arm.fill(&mut breakdown, callers, requests, seed * 100 + index as u64);
    }
    Report::new("pair", preference, &breakdown)
}

#[test]
fn equal_arms_stay_undecided() {
    // Few callers with many requests each, so the requests are not independent.
    let wins = |preference| {
        let pair = |seed| report(preference, &[Arm::new("a"), Arm::new("b")], 60, 100, seed);
        let reports = (0..60).map(pair);
        reports.filter(|report| report.verdict != Verdict::Undecided).count()
    };
    // Two 95% intervals of equal arms are disjoint in fewer than 5% of the cases.
    let (tail, coverage) = (wins(Preference::Tail), wins(Preference::Coverage));
    assert!(tail <= 3 && coverage <= 3, "tail {tail}, coverage {coverage} of 60");
}

#[test]
fn faster_arm_wins_on_the_tail() {
    let slower = || Arm { factor: 1.6, ..Arm::new("slow") };
    for seed in 0..5 {
        let report = report(Preference::Tail, &[Arm::new("fast"), slower()], CALLERS, 100, seed);
        assert_eq!(report.verdict, Verdict::Winner(Arc::from("fast")), "{report}");
    }
}

#[test]
fn arm_with_more_coverage_wins_on_coverage() {
    let arms = || [Arm { lost_share: 0.2, ..Arm::new("bare") }, Arm::new("full")];
    let coverage = report(Preference::Coverage, &arms(), CALLERS, 100, 1);
    assert_eq!(coverage.verdict, Verdict::Winner(Arc::from("full")), "{coverage}");
    let tail = report(Preference::Tail, &arms(), CALLERS, 100, 1);
    assert_eq!(tail.verdict, Verdict::Undecided, "{tail}");
}

#[test]
fn refusing_arm_does_not_win() {
    let refusing = Arm { factor: 0.5, refused_share: 0.2, ..Arm::new("refusing") };
    let report = report(Preference::Tail, &[Arm::new("plain"), refusing], CALLERS, 100, 1);
    assert_eq!(report.verdict, Verdict::Undecided, "{report}");
    assert!(report.reason.contains("refuses more"), "{}", report.reason);
}

#[test]
fn few_callers_stay_undecided() {
    let slow = Arm { factor: 3.0, ..Arm::new("slow") };
    let report = report(Preference::Tail, &[Arm::new("fast"), slow], 4, 5000, 1);
    assert_eq!(report.verdict, Verdict::Undecided, "{report}");
    assert!(report.reason.contains("too few units"), "{}", report.reason);
}

#[test]
fn quantile_with_too_few_samples_has_no_upper_bound() {
    let report = report(Preference::Tail, &[Arm::new("a"), Arm::new("b")], 100, 3, 1);
    let row = &report.rows[0];
    assert_eq!(row.requests, 300);
    assert!(row.p50_ms.high.is_some());
    assert_eq!(row.p999_ms.high, None);
    assert_eq!(report, self::report(Preference::Tail, &[Arm::new("a"), Arm::new("b")], 100, 3, 1));
}

#[test]
fn one_arm_or_none_is_undecided() {
    assert_eq!(Report::new("x", Preference::Tail, &Breakdown::new()).verdict, Verdict::Undecided);
    let one = report(Preference::Tail, &[Arm::new("a")], CALLERS, 10, 1);
    assert_eq!(one.verdict, Verdict::Undecided);
}
