//! The results of a run.
//!
//! Invariant: `offered` is the sum of answered, refused and lost requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::caller::CallError;
use crate::caller::PlannedRequest;
use crate::caller::Settings;
use crate::caller::Violation;
use crate::upstream::Runs;
use trial::tally::Bucket;
use trial::tally::Sample;
use wire::caller::Answer;
use wire::caller::Execution;
use wire::caller::Reason;
use wire::caller::Refusal;

/// The name that groups answers without an arm.
const NO_ARM: &str = "none";

/// How one request ended.
pub(super) enum RequestEnd {
    Answered(Box<Answer>, BTreeSet<Violation>),
    Refused(Refusal),
    Lost,
}

/// The outcome of a non-idempotent request, as the caller received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// It was answered.
    Answered,
    /// It was refused as not run.
    NotRun,
    /// It was refused with an unknown outcome, or there was no reply.
    Unknown,
}

/// Non-idempotent requests: their outcomes, compared with the runs at upstream
/// servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Requests with a ticket.
    pub requests: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were refused with an unknown outcome or had no reply.
    pub unknown: u64,
    /// Requests that ran more than once. Always an error.
    pub repeated: u64,
    /// Requests that were refused as not run, but ran. Always an error.
    pub ran_unknowingly: u64,
    /// Requests that were answered, but never ran. Always an error.
    pub answered_unrun: u64,
}

impl Claims {
    /// Compares the outcomes, by request body, with the runs.
    pub fn new(outcomes: &BTreeMap<String, ReportedOutcome>, runs: &Runs) -> Self {
        let mut claims = Self::default();
        for (body, outcome) in outcomes {
            let runs = runs.runs.get(body).map_or(0, Vec::len);
            claims.requests += 1;
            claims.answered += u64::from(*outcome == ReportedOutcome::Answered);
            claims.unknown += u64::from(*outcome == ReportedOutcome::Unknown);
            claims.repeated += u64::from(runs > 1);
            claims.ran_unknowingly += u64::from(*outcome == ReportedOutcome::NotRun && runs > 0);
            claims.answered_unrun += u64::from(*outcome == ReportedOutcome::Answered && runs == 0);
        }
        claims
    }
}

/// One row of the printed table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Answered requests.
    pub answered: u64,
    /// The median of their latencies, which count from the planned time, in
    /// milliseconds.
    pub p50_ms: f64,
    /// The 90th percentile of the latencies.
    pub p90_ms: f64,
    /// The 99th percentile of the latencies.
    pub p99_ms: f64,
    /// The 99.9th percentile of the latencies.
    pub p999_ms: f64,
    /// The highest latency.
    pub max_ms: f64,
    /// The share of requested shards that answers covered, in percent.
    pub coverage_percent: f64,
    /// The number of attempts sent per requested shard.
    pub sends_per_shard: f64,
}

/// The results of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Planned requests.
    pub offered: u64,
    /// Answered requests.
    pub answered: u64,
    /// Requests whose last reply was a refusal.
    pub refused: u64,
    /// Requests that ended without a usable reply.
    pub lost: u64,
    /// Answers within the deadline per second; all answers if no deadline is set.
    pub goodput_per_s: f64,
    /// Refusals by outcome and cause, including those that were retried.
    pub refusals: BTreeMap<String, u64>,
    /// Tries without a usable reply by cause, including those that were retried.
    pub losses: BTreeMap<CallError, u64>,
    /// Shards missing from answers, by reason.
    pub missing: BTreeMap<Reason, u64>,
    /// Answers with violations, by violation.
    pub violations: BTreeMap<Violation, u64>,
    /// Request ids of the first answers with violations.
    pub examples: Vec<String>,
    /// All answers.
    pub total: Line,
    /// Answers by priority.
    pub priorities: BTreeMap<String, Line>,
    /// Answers by target, or by arm if targets have no name.
    pub arms: BTreeMap<Arc<str>, Line>,
    /// Non-idempotent requests, if the upstream servers' counters could be read.
    pub claims: Option<Claims>,
    /// The 99th percentile of how late requests were sent, in milliseconds.
    pub slip_p99_ms: f64,
    /// The latencies by target or arm, for the plot.
    #[serde(skip)]
    pub latencies: BTreeMap<Arc<str>, Histogram<u64>>,
}

/// Collects the results during a run.
pub(super) struct Recorder {
    summary: Summary,
    deadline: Option<Duration>,
    duration_s: f64,
    answers_in_time: u64,
    total: Bucket,
    priorities: BTreeMap<String, Bucket>,
    arms: BTreeMap<Arc<str>, Bucket>,
    send_delay: Bucket,
    pub(super) claims: BTreeMap<String, ReportedOutcome>,
}

/// The number of request ids in [`Summary::examples`].
const MAX_EXAMPLES: usize = 8;

impl Recorder {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            summary: Summary::default(),
            deadline: settings.deadline,
            duration_s: settings.duration.as_secs_f64(),
            answers_in_time: 0,
            total: Bucket::default(),
            priorities: BTreeMap::new(),
            arms: BTreeMap::new(),
            send_delay: Bucket::default(),
            claims: BTreeMap::new(),
        }
    }

    /// Records the start of a request, `delay` after its planned time.
    pub(super) fn begin(&mut self, delay: Duration) {
        self.summary.offered += 1;
        self.send_delay.add(&sample(delay, None));
    }

    /// Records a try that was refused.
    pub(super) fn refused(&mut self, refusal: &Refusal) {
        let text = |value: serde_json::Value| value.as_str().unwrap_or("").to_owned();
        let outcome = text(serde_json::json!(refusal.outcome));
        let cause = text(serde_json::json!(refusal.cause));
        *self.summary.refusals.entry(format!("{outcome} {cause}")).or_default() += 1;
    }

    /// Records a try without a usable reply.
    pub(super) fn lost(&mut self, error: CallError) {
        *self.summary.losses.entry(error).or_default() += 1;
    }

    /// Records the end of a request.
    pub(super) fn end(
        &mut self,
        request: &PlannedRequest,
        target: &Arc<str>,
        latency: Duration,
        end: &RequestEnd,
    ) {
        let outcome = match end {
            RequestEnd::Answered(answer, violations) => {
                self.answered(request, target, latency, answer, violations);
                ReportedOutcome::Answered
            }
            RequestEnd::Refused(refusal) => {
                self.summary.refused += 1;
                match refusal.outcome {
                    Execution::NotRun => ReportedOutcome::NotRun,
                    Execution::Unknown => ReportedOutcome::Unknown,
                }
            }
            RequestEnd::Lost => {
                self.summary.lost += 1;
                ReportedOutcome::Unknown
            }
        };
        if request.non_idempotent_shard.is_some() {
            self.claims.insert(request.body.to_string(), outcome);
        }
    }

    fn answered(
        &mut self,
        request: &PlannedRequest,
        target: &Arc<str>,
        latency: Duration,
        answer: &Answer,
        violations: &BTreeSet<Violation>,
    ) {
        self.summary.answered += 1;
        self.answers_in_time += u64::from(self.deadline.is_none_or(|deadline| latency <= deadline));
        for missing in &answer.missing {
            *self.summary.missing.entry(missing.reason).or_default() += 1;
        }
        for violation in violations {
            *self.summary.violations.entry(*violation).or_default() += 1;
        }
        if !violations.is_empty() && self.summary.examples.len() < MAX_EXAMPLES {
            self.summary.examples.push(answer.request.to_string());
        }
        let arm = match (target.is_empty(), &answer.arm) {
            (false, _) => target.clone(),
            (true, Some(arm)) => arm.clone(),
            (true, None) => Arc::from(NO_ARM),
        };
        let sample = sample(latency, Some(answer));
        self.total.add(&sample);
        self.priorities.entry(request.priority.to_string()).or_default().add(&sample);
        self.arms.entry(arm).or_default().add(&sample);
    }

    pub(super) fn summary(&self, claims: Option<Claims>) -> Summary {
        let lines = |buckets: &BTreeMap<Arc<str>, Bucket>| {
            buckets.iter().map(|(name, bucket)| (name.clone(), Line::new(bucket))).collect()
        };
        let priorities = self.priorities.iter();
        let latencies = self.arms.iter();
        Summary {
            goodput_per_s: self.answers_in_time as f64 / self.duration_s.max(f64::EPSILON),
            total: Line::new(&self.total),
            priorities: priorities
                .map(|(name, bucket)| (name.clone(), Line::new(bucket)))
                .collect(),
            arms: lines(&self.arms),
            claims,
            slip_p99_ms: millis(self.send_delay.quantile(0.99)),
            latencies: latencies
                .map(|(arm, bucket)| (arm.clone(), bucket.latency.clone()))
                .collect(),
            ..self.summary.clone()
        }
    }
}

fn sample(latency: Duration, answer: Option<&Answer>) -> Sample {
    let count = |of: &dyn Fn(&Answer) -> usize| answer.map_or(0, of) as u32;
    Sample {
        latency_us: u64::try_from(latency.as_micros()).unwrap_or(u64::MAX),
        asked: count(&|answer| answer.covered.len() + answer.missing.len()),
        covered: count(&|answer| answer.covered.len()),
        sends: answer.map_or(0, |answer| answer.sends),
        refused: false,
    }
}

impl Line {
    fn new(bucket: &Bucket) -> Self {
        Self {
            answered: bucket.counts.requests,
            p50_ms: millis(bucket.quantile(0.5)),
            p90_ms: millis(bucket.quantile(0.9)),
            p99_ms: millis(bucket.quantile(0.99)),
            p999_ms: millis(bucket.quantile(0.999)),
            max_ms: millis(bucket.latency.max()),
            coverage_percent: 100.0 * bucket.counts.coverage(),
            sends_per_shard: 1.0 + bucket.counts.extra_load(),
        }
    }
}

impl Summary {
    /// Whether there are no violations and no errors of non-idempotent requests.
    pub fn is_correct(&self) -> bool {
        let claims = self.claims.as_ref();
        let claims_correct = claims.is_none_or(|claims| {
            claims.repeated + claims.ran_unknowingly + claims.answered_unrun == 0
        });
        self.violations.is_empty() && claims_correct
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "offered {}, answered {}, refused {}, lost {}, goodput {:.1}/s, sent late p99 {:.2} ms",
            self.offered,
            self.answered,
            self.refused,
            self.lost,
            self.goodput_per_s,
            self.slip_p99_ms
        )?;
        writeln!(
            f,
            "{:<16}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>10}{:>12}",
            "", "answers", "p50", "p90", "p99", "p99.9", "max", "covered%", "sends/shard"
        )?;
        write_line(f, "all", &self.total)?;
        self.priorities.iter().try_for_each(|(name, line)| write_line(f, name, line))?;
        self.arms.iter().try_for_each(|(name, line)| write_line(f, name, line))?;
        self.missing.iter().try_for_each(|(why, count)| writeln!(f, "missing {why}: {count}"))?;
        self.refusals.iter().try_for_each(|(why, count)| writeln!(f, "refused {why}: {count}"))?;
        self.losses.iter().try_for_each(|(why, count)| writeln!(f, "no reply, {why}: {count}"))?;
        if let Some(claims) = &self.claims {
            writeln!(f, "non-idempotent: {claims:?}")?;
        }
        self.violations.iter().try_for_each(|(what, count)| {
            writeln!(f, "VIOLATION {what}: {count}, in requests such as {:?}", self.examples)
        })
    }
}

fn write_line(f: &mut fmt::Formatter<'_>, name: &str, line: &Line) -> fmt::Result {
    writeln!(
        f,
        "{name:<16}{:>9}{:>9.2}{:>9.2}{:>9.2}{:>9.2}{:>9.2}{:>10.3}{:>12.4}",
        line.answered,
        line.p50_ms,
        line.p90_ms,
        line.p99_ms,
        line.p999_ms,
        line.max_ms,
        line.coverage_percent,
        line.sends_per_shard
    )
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}
