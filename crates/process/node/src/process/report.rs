//! The report on an experiment, as a message of the operators' gRPC schema.

use crate::process::experiments::FleetBreakdown;
use conf::object::Experiment;
use conf::object::Preference;
use rpc::proto;
use trial::interval::Interval;
use trial::report::Report;
use trial::report::Row;
use trial::report::Verdict;

/// Builds the report on `experiment`; `preference` is what its service optimizes.
pub fn reply(
    name: &str,
    experiment: &Experiment,
    preference: Preference,
    total: FleetBreakdown,
) -> proto::ReportReply {
    let report = Report::new(name, preference, &total.breakdown);
    let row = |name: &str| report.rows.iter().find(|row| *row.arm == *name);
    let baseline = experiment.arms.first().and_then(|arm| row(&arm.name));
    let arms = experiment.arms.iter().map(|arm| {
        let reference = baseline.filter(|base| base.arm != arm.name);
        let stopped = (arm.weight == 0).then(|| "its weight is zero".to_owned());
        let mut arm_report =
            row(&arm.name).map(|row| arm_report(row, reference)).unwrap_or_default();
        arm_report.name = arm.name.to_string();
        arm_report.policy = arm.policy.to_string();
        arm_report.stopped = stopped;
        arm_report
    });
    let winner = match &report.verdict {
        Verdict::Winner(arm) => Some(arm.to_string()),
        Verdict::Undecided => None,
    };
    proto::ReportReply {
        experiment: name.to_owned(),
        service: experiment.service.to_string(),
        stage: format!("{:?}", experiment.stage).to_lowercase(),
        value: format!("{preference:?}").to_lowercase(),
        arms: arms.collect(),
        winner,
        verdict: report.reason.clone(),
        nodes: total.nodes,
        nodes_missing: total.missing,
    }
}

fn arm_report(row: &Row, reference: Option<&Row>) -> proto::ArmReport {
    let sends = |row: &Row| scale(row.extra_load_percent, 0.01, 1.0);
    proto::ArmReport {
        requests: row.requests,
        p50_ms: row.p50_ms.value,
        p99_ms: row.p99_ms.value,
        coverage: row.coverage_percent.value / 100.0,
        sends_per_shard: sends(row).value,
        p99_ratio: reference.and_then(|base| ratio(row.p99_ms, base.p99_ms)),
        coverage_difference: reference
            .and_then(|base| difference(row.coverage_percent, base.coverage_percent)),
        extra_load_ratio: reference.and_then(|base| ratio(sends(row), sends(base))),
        ..proto::ArmReport::default()
    }
}

fn scale(interval: Interval, factor: f64, offset: f64) -> Interval {
    Interval {
        value: interval.value * factor + offset,
        low: interval.low * factor + offset,
        high: interval.high.map(|high| high * factor + offset),
    }
}

/// Returns the ratio of two estimates with the widest bounds that follow from their
/// own; `None` if it has no bounds.
fn ratio(of: Interval, to: Interval) -> Option<proto::Interval> {
    let (of_high, to_high) = (of.high?, to.high?);
    let positive = to.low > 0.0 && to.value > 0.0;
    positive.then(|| proto::Interval {
        estimate: of.value / to.value,
        low: of.low / to_high,
        high: of_high / to.low,
    })
}

/// Returns the difference of two estimates with the widest bounds that follow from
/// their own; `None` if it has no bounds.
fn difference(of: Interval, to: Interval) -> Option<proto::Interval> {
    let (of_high, to_high) = (of.high?, to.high?);
    Some(proto::Interval {
        estimate: of.value - to.value,
        low: of.low - to_high,
        high: of_high - to.low,
    })
}
