//! The picture of latency quantiles.

use std::sync::Arc;

use trial::plot;
use trial::plot::Series;
use trial::tally::Breakdown;
use trial::tally::Sample;

#[test]
fn each_arm_has_a_line() {
    let mut table = Breakdown::new();
    for (name, factor) in [("base", 1), ("hedge", 2)] {
        let arm = Arc::from(name);
        for request in 1..2000u64 {
            let latency_us = request * factor;
            let sample = Sample { latency_us, asked: 1, covered: 1, sends: 1, refused: false };
            table.add(&arm, &request.to_string(), &sample);
        }
    }
    let totals: Vec<_> = table.arms.iter().map(|(arm, tally)| (arm, tally.total())).collect();
    let series: Vec<_> =
        totals.iter().map(|(arm, total)| Series { name: arm, latency: &total.latency }).collect();
    let picture = plot::quantiles(&series).expect("the picture is drawn");
    assert!(picture.starts_with("<svg") && picture.trim_end().ends_with("</svg>"));
    assert!(picture.contains("base") && picture.contains("hedge"));
    assert!(picture.matches("<polyline").count() >= 2);
    assert_eq!(picture, plot::quantiles(&series).expect("the picture is drawn"));
}

#[test]
fn nothing_to_draw_is_no_fault() {
    assert!(plot::quantiles(&[]).is_ok());
    let empty = trial::tally::Bucket::default();
    assert!(plot::quantiles(&[Series { name: "none", latency: &empty.latency }]).is_ok());
}
