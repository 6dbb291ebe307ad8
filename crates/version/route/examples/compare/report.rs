//! The figures of a run, and the rows of the printed table.
//!
//! Invariant: latency includes the wait at the node, and is measured only for queries
//! that were answered in full and in time. Other queries have their own columns.

use std::time::Duration;

use crate::model::Case;

#[derive(Default)]
pub struct Figures {
    pub seconds: f64,
    pub latencies: Vec<Duration>,
    pub urgent: Vec<Duration>,
    /// Queries that arrived after the warm-up.
    pub offered: u64,
    pub refused: u64,
    pub urgent_offered: u64,
    /// Queries that ran and were not answered in full and in time.
    pub incomplete: u64,
    pub sends: u64,
    /// Sends without retries and hedges: one for each shard.
    pub required: u64,
    /// The longest wait of a query before its refusal.
    pub longest_refusal: Duration,
}

fn quantile(sorted: &[Duration], percent: f64) -> f64 {
    let Some(last) = sorted.len().checked_sub(1) else { return f64::NAN };
    sorted[(last as f64 * percent / 100.0).round() as usize].as_secs_f64() * 1000.0
}

/// The median, lowest and highest value of the runs.
struct Spread {
    median: f64,
    low: f64,
    high: f64,
}

fn spread(runs: &[Figures], value: impl Fn(&Figures) -> f64) -> Spread {
    let mut values: Vec<f64> = runs.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    Spread { median, low: values[0], high: values[values.len() - 1] }
}

pub fn heading() -> String {
    "choice      fault        sites    load admit hedge            |  p50 ms   p99 ms (range)        p99.9 ms  urgent p99 | \
     extra sends  refused  broken  goodput/s (of offered)  longest wait of a refusal"
        .to_owned()
}

pub fn row(case: &Case, runs: &[Figures]) -> String {
    let at = |percent: f64| spread(runs, |run| quantile(&run.latencies, percent));
    let p99 = at(99.0);
    let urgent = spread(runs, |run| quantile(&run.urgent, 99.0)).median;
    let extra = spread(runs, |run| run.sends as f64 / run.required.max(1) as f64 - 1.0).median;
    let share = |count: fn(&Figures) -> u64| {
        spread(runs, |run| count(run) as f64 / run.offered.max(1) as f64).median
    };
    let goodput = spread(runs, |run| run.latencies.len() as f64 / run.seconds).median;
    let offered = spread(runs, |run| run.offered as f64 / run.seconds).median;
    let refusal = spread(runs, |run| run.longest_refusal.as_secs_f64() * 1000.0).high;
    format!(
        "{:<11} {:<12} {:<8} {:>3}% {:<5} {:<16} | {:>7.1}  {:>7.1} ({:.1} to {:.1})  {:>8.1}  {:>8.1} | \
         {:>7.2}%  {:>6.2}%  {:>6.3}%  {:>6.0} ({:.0}%)  {:.0} ms",
        format!("{:?}", case.choice),
        case.fault.name(),
        case.sites.name(),
        case.load_percent,
        if case.admission { "on" } else { "off" },
        case.hedge,
        at(50.0).median,
        p99.median,
        p99.low,
        p99.high,
        at(99.9).median,
        urgent,
        extra * 100.0,
        share(|run| run.refused) * 100.0,
        share(|run| run.incomplete) * 100.0,
        goodput,
        goodput / offered * 100.0,
        refusal,
    )
}
