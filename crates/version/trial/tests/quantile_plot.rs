//! The image of latency quantiles.

use std::sync::Arc;

use trial::plot;
use trial::plot::Series;
use trial::tally::Breakdown;
use trial::tally::Sample;

#[test]
fn each_arm_has_a_line() {
    let mut breakdown = Breakdown::new();
    for (name, factor) in [("base", 1), ("hedge", 2)] {
        let arm = Arc::from(name);
        for request in 1..2000u64 {
            let latency_us = request * factor;
            let sample = Sample { latency_us, asked: 1, covered: 1, sends: 1, refused: false };
            breakdown.add(&arm, &request.to_string(), &sample);
        }
    }
    let totals: Vec<_> = breakdown.arms.iter().map(|(arm, tally)| (arm, tally.total())).collect();
    let series: Vec<_> =
        totals.iter().map(|(arm, total)| Series { name: arm, latency: &total.latency }).collect();
    let image = plot::quantiles(&series).expect("drawing succeeds");
    assert!(image.starts_with("<svg") && image.trim_end().ends_with("</svg>"));
    assert!(image.contains("base") && image.contains("hedge"));
    assert!(image.matches("<polyline").count() >= 2);
    assert_eq!(image, plot::quantiles(&series).expect("drawing succeeds"));
}

#[test]
fn empty_series_draw_without_error() {
    assert!(plot::quantiles(&[]).is_ok());
    let empty = trial::tally::Bucket::default();
    assert!(plot::quantiles(&[Series { name: "none", latency: &empty.latency }]).is_ok());
}
