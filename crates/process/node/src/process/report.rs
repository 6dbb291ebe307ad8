//! The report on an experiment, in the operators' schema.

use crate::process::experiments::Gathered;
use conf::object::Experiment;
use conf::object::Preference;
use rpc::proto;
use trial::interval::Interval;
use trial::report::Report;
use trial::report::Row;
use trial::report::Verdict;

/// The report on `experiment`, whose service values `value`.
pub fn reply(
    name: &str,
    experiment: &Experiment,
    value: Preference,
    gathered: Gathered,
) -> proto::ReportReply {
    let report = Report::new(name, value, &gathered.table);
    let row = |name: &str| report.rows.iter().find(|row| *row.arm == *name);
    let baseline = experiment.arms.first().and_then(|arm| row(&arm.name));
    let arms = experiment.arms.iter().map(|arm| {
        let against = baseline.filter(|base| base.arm != arm.name);
        let stopped = (arm.weight == 0).then(|| "its weight is zero".to_owned());
        let mut told = row(&arm.name).map(|row| figures(row, against)).unwrap_or_default();
        told.name = arm.name.to_string();
        told.policy = arm.policy.to_string();
        told.stopped = stopped;
        told
    });
    let winner = match &report.verdict {
        Verdict::Winner(arm) => Some(arm.to_string()),
        Verdict::Undecided => None,
    };
    proto::ReportReply {
        experiment: name.to_owned(),
        service: experiment.service.to_string(),
        stage: format!("{:?}", experiment.stage).to_lowercase(),
        value: format!("{value:?}").to_lowercase(),
        arms: arms.collect(),
        winner,
        verdict: report.reason.clone(),
        nodes: gathered.nodes,
        nodes_missing: gathered.missing,
    }
}

fn figures(row: &Row, against: Option<&Row>) -> proto::ArmReport {
    let sends = |row: &Row| scale(row.extra_load_percent, 0.01, 1.0);
    proto::ArmReport {
        requests: row.requests,
        p50_ms: row.p50_ms.value,
        p99_ms: row.p99_ms.value,
        coverage: row.coverage_percent.value / 100.0,
        sends_per_shard: sends(row).value,
        p99_ratio: against.and_then(|base| ratio(row.p99_ms, base.p99_ms)),
        coverage_difference: against
            .and_then(|base| difference(row.coverage_percent, base.coverage_percent)),
        extra_load_ratio: against.and_then(|base| ratio(sends(row), sends(base))),
        ..proto::ArmReport::default()
    }
}

fn scale(interval: Interval, by: f64, plus: f64) -> Interval {
    Interval {
        value: interval.value * by + plus,
        low: interval.low * by + plus,
        high: interval.high.map(|high| high * by + plus),
    }
}

/// The ratio of two figures, with the widest limits that their own allow; `None`
/// where they have none.
fn ratio(of: Interval, to: Interval) -> Option<proto::Interval> {
    let (of_high, to_high) = (of.high?, to.high?);
    let positive = to.low > 0.0 && to.value > 0.0;
    positive.then(|| proto::Interval {
        estimate: of.value / to.value,
        low: of.low / to_high,
        high: of_high / to.low,
    })
}

/// The difference of two figures, with the widest limits that their own allow.
fn difference(of: Interval, to: Interval) -> Option<proto::Interval> {
    let (of_high, to_high) = (of.high?, to.high?);
    Some(proto::Interval {
        estimate: of.value - to.value,
        low: of.low - to_high,
        high: of_high - to.low,
    })
}
