//! The text of the report.

use std::sync::Arc;

use expect_test::expect;

use conf::object::Preference;
use trial::report::Report;
use trial::tally::Breakdown;
use trial::tally::Sample;

/// 50 callers of 40 requests each; latencies of 10 ms to 49 ms, times `factor`.
fn fill(breakdown: &mut Breakdown, name: &str, factor: u64, missing_every: u64) {
    let arm = Arc::from(name);
    for request in 0..2000u64 {
        let latency_us = (10 + request % 40) * 1000 * factor;
        let lost = u32::from(request % missing_every == 0);
        let sends = 20 + u32::from(request % 20 == 0);
        let sample = Sample { latency_us, asked: 20, covered: 20 - lost, sends, refused: false };
        breakdown.add(&arm, &format!("caller-{}", request / 40), &sample);
    }
}

#[test]
fn report_names_winner_and_reason() {
    let mut breakdown = Breakdown::new();
    fill(&mut breakdown, "base", 3, 10);
    fill(&mut breakdown, "hedge", 1, 10);
    let report = Report::new("tail-1", Preference::Tail, &breakdown);
    expect![[r#"
        experiment tail-1, the service values tail
        (estimates with 95% confidence intervals)
        arm base, 2000 requests
          p50 ms        87.04 [87.04, 90.11]
          p99 ms        147.46 [147.46, 147.46]
          p99.9 ms      147.46 [147.46, ?]
          coverage %    99.50 [99.50, 99.50]
          extra load %  0.25 [0.25, 0.25]
          refused %     0.00 [0.00, 0.00]
        arm hedge, 2000 requests
          p50 ms        29.05 [29.05, 30.08]
          p99 ms        49.15 [49.15, 49.15]
          p99.9 ms      49.15 [49.15, ?]
          coverage %    99.50 [99.50, 99.50]
          extra load %  0.25 [0.25, 0.25]
          refused %     0.00 [0.00, 0.00]
        winner: hedge: its interval of p99 is apart"#]]
    .assert_eq(&report.to_string());
    let text = serde_json::to_string(&report).expect("the report serializes");
    let read: Report = serde_json::from_str(&text).expect("the report deserializes");
    assert_eq!(read, report);
}

#[test]
fn report_states_an_undecided_verdict() {
    let mut breakdown = Breakdown::new();
    fill(&mut breakdown, "base", 1, 10);
    fill(&mut breakdown, "hedge", 1, 10);
    let report = Report::new("tail-1", Preference::Coverage, &breakdown);
    let text = report.to_string();
    let last = text.lines().last().expect("the text is not empty");
    expect!["undecided: the intervals of coverage overlap"].assert_eq(last);
}
