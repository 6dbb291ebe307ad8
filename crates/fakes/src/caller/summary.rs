//! What came of a run.
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

use crate::caller::Lost;
use crate::caller::Settings;
use crate::caller::Shot;
use crate::caller::Violation;
use crate::upstream::Runs;
use trial::tally::Bucket;
use trial::tally::Sample;
use wire::caller::Answer;
use wire::caller::Execution;
use wire::caller::Reason;
use wire::caller::Refusal;

/// The arm of answers that name none.
const NO_ARM: &str = "none";

/// How one request ended.
pub(super) enum End {
    Answered(Box<Answer>, BTreeSet<Violation>),
    Refused(Refusal),
    Lost,
}

/// What a non-idempotent request was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Its answer.
    Answered,
    /// That it did not run.
    NotRun,
    /// That its outcome is unknown, or nothing.
    Unknown,
}

/// Non-idempotent requests, held against the upstreams' runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Requests with a ticket.
    pub requests: u64,
    /// Answered.
    pub answered: u64,
    /// Told that the outcome is unknown, or nothing.
    pub unknown: u64,
    /// Ran more than once. Never right.
    pub repeated: u64,
    /// Told that they did not run, but ran. Never right.
    pub ran_unknowingly: u64,
    /// Answered, but never ran. Never right.
    pub answered_unrun: u64,
}

impl Claims {
    /// Holds what was told, by request body, against what ran.
    pub fn new(told: &BTreeMap<String, Told>, runs: &Runs) -> Self {
        let mut claims = Self::default();
        for (body, told) in told {
            let runs = runs.runs.get(body).map_or(0, Vec::len);
            claims.requests += 1;
            claims.answered += u64::from(*told == Told::Answered);
            claims.unknown += u64::from(*told == Told::Unknown);
            claims.repeated += u64::from(runs > 1);
            claims.ran_unknowingly += u64::from(*told == Told::NotRun && runs > 0);
            claims.answered_unrun += u64::from(*told == Told::Answered && runs == 0);
        }
        claims
    }
}

/// One line of the table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Answered requests.
    pub answered: u64,
    /// Latencies of these from the planned time, in milliseconds.
    pub p50_ms: f64,
    /// The latency that 90% stay within.
    pub p90_ms: f64,
    /// The latency that 99% stay within.
    pub p99_ms: f64,
    /// The latency that 99.9% stay within.
    pub p999_ms: f64,
    /// The longest.
    pub max_ms: f64,
    /// Covered shards of those that answers were asked for, in percent.
    pub coverage_percent: f64,
    /// Attempts sent for each shard that was asked for.
    pub sends_per_shard: f64,
}

/// What came of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Planned requests.
    pub offered: u64,
    /// Answered requests.
    pub answered: u64,
    /// Requests whose last word was a refusal.
    pub refused: u64,
    /// Requests without any word.
    pub lost: u64,
    /// Answers within the deadline, a second; all answers if no deadline is set.
    pub goodput_per_s: f64,
    /// Refusals by outcome and cause, those that were tried again included.
    pub refusals: BTreeMap<String, u64>,
    /// Tries without a word by cause, those that were tried again included.
    pub losses: BTreeMap<Lost, u64>,
    /// Shards that answers lacked, by reason.
    pub missing: BTreeMap<Reason, u64>,
    /// Dishonest answers by kind.
    pub violations: BTreeMap<Violation, u64>,
    /// Request ids of the first dishonest answers.
    pub examples: Vec<String>,
    /// All answers.
    pub total: Line,
    /// Answers by priority.
    pub priorities: BTreeMap<String, Line>,
    /// Answers by target, or by arm if targets have no name.
    pub arms: BTreeMap<Arc<str>, Line>,
    /// Non-idempotent requests, if the upstreams could be asked.
    pub claims: Option<Claims>,
    /// How late the tool itself sent requests, 99% within, in milliseconds.
    pub slip_p99_ms: f64,
    /// The latencies by target or arm, for the picture.
    #[serde(skip)]
    pub latencies: BTreeMap<Arc<str>, Histogram<u64>>,
}

/// Collects what happens during a run.
pub(super) struct Recorder {
    summary: Summary,
    deadline: Option<Duration>,
    seconds: f64,
    in_time: u64,
    total: Bucket,
    priorities: BTreeMap<String, Bucket>,
    arms: BTreeMap<Arc<str>, Bucket>,
    slip: Bucket,
    pub(super) claims: BTreeMap<String, Told>,
}

/// Dishonest answers that are named.
const EXAMPLES: usize = 8;

impl Recorder {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            summary: Summary::default(),
            deadline: settings.deadline,
            seconds: settings.span.as_secs_f64(),
            in_time: 0,
            total: Bucket::default(),
            priorities: BTreeMap::new(),
            arms: BTreeMap::new(),
            slip: Bucket::default(),
            claims: BTreeMap::new(),
        }
    }

    /// A request begins so much after its planned time.
    pub(super) fn begin(&mut self, slip: Duration) {
        self.summary.offered += 1;
        self.slip.add(&sample(slip, None));
    }

    /// One try was refused.
    pub(super) fn refused(&mut self, refusal: &Refusal) {
        let word = |value: serde_json::Value| value.as_str().unwrap_or("").to_owned();
        let outcome = word(serde_json::json!(refusal.outcome));
        let cause = word(serde_json::json!(refusal.cause));
        *self.summary.refusals.entry(format!("{outcome} {cause}")).or_default() += 1;
    }

    /// One try had no word.
    pub(super) fn lost(&mut self, lost: Lost) {
        *self.summary.losses.entry(lost).or_default() += 1;
    }

    /// A request has ended.
    pub(super) fn end(&mut self, shot: &Shot, target: &Arc<str>, latency: Duration, end: &End) {
        let told = match end {
            End::Answered(answer, wrong) => {
                self.answered(shot, target, latency, answer, wrong);
                Told::Answered
            }
            End::Refused(refusal) => {
                self.summary.refused += 1;
                match refusal.outcome {
                    Execution::NotRun => Told::NotRun,
                    Execution::Unknown => Told::Unknown,
                }
            }
            End::Lost => {
                self.summary.lost += 1;
                Told::Unknown
            }
        };
        if shot.claim.is_some() {
            self.claims.insert(shot.body.to_string(), told);
        }
    }

    fn answered(
        &mut self,
        shot: &Shot,
        target: &Arc<str>,
        latency: Duration,
        answer: &Answer,
        wrong: &BTreeSet<Violation>,
    ) {
        self.summary.answered += 1;
        self.in_time += u64::from(self.deadline.is_none_or(|deadline| latency <= deadline));
        for missing in &answer.missing {
            *self.summary.missing.entry(missing.reason).or_default() += 1;
        }
        for violation in wrong {
            *self.summary.violations.entry(*violation).or_default() += 1;
        }
        if !wrong.is_empty() && self.summary.examples.len() < EXAMPLES {
            self.summary.examples.push(answer.request.to_string());
        }
        let arm = match (target.is_empty(), &answer.arm) {
            (false, _) => target.clone(),
            (true, Some(arm)) => arm.clone(),
            (true, None) => Arc::from(NO_ARM),
        };
        let sample = sample(latency, Some(answer));
        self.total.add(&sample);
        self.priorities.entry(shot.priority.to_string()).or_default().add(&sample);
        self.arms.entry(arm).or_default().add(&sample);
    }

    pub(super) fn summary(&self, claims: Option<Claims>) -> Summary {
        let lines = |cells: &BTreeMap<Arc<str>, Bucket>| {
            cells.iter().map(|(name, cell)| (name.clone(), Line::new(cell))).collect()
        };
        let priorities = self.priorities.iter();
        let latencies = self.arms.iter();
        Summary {
            goodput_per_s: self.in_time as f64 / self.seconds.max(f64::EPSILON),
            total: Line::new(&self.total),
            priorities: priorities.map(|(name, cell)| (name.clone(), Line::new(cell))).collect(),
            arms: lines(&self.arms),
            claims,
            slip_p99_ms: millis(self.slip.quantile(0.99)),
            latencies: latencies.map(|(arm, cell)| (arm.clone(), cell.latency.clone())).collect(),
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
    fn new(cell: &Bucket) -> Self {
        Self {
            answered: cell.counts.requests,
            p50_ms: millis(cell.quantile(0.5)),
            p90_ms: millis(cell.quantile(0.9)),
            p99_ms: millis(cell.quantile(0.99)),
            p999_ms: millis(cell.quantile(0.999)),
            max_ms: millis(cell.latency.max()),
            coverage_percent: 100.0 * cell.counts.coverage(),
            sends_per_shard: 1.0 + cell.counts.extra_load(),
        }
    }
}

impl Summary {
    /// Whether nothing dishonest was seen.
    pub fn honest(&self) -> bool {
        let claims = self.claims.as_ref();
        let kept = claims.is_none_or(|claims| {
            claims.repeated + claims.ran_unknowingly + claims.answered_unrun == 0
        });
        self.violations.is_empty() && kept
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
        self.losses.iter().try_for_each(|(why, count)| writeln!(f, "no word, {why}: {count}"))?;
        if let Some(claims) = &self.claims {
            writeln!(f, "non-idempotent: {claims:?}")?;
        }
        self.violations.iter().try_for_each(|(what, count)| {
            writeln!(f, "DISHONEST {what}: {count}, such as {:?}", self.examples)
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
