//! Injects every fault at every step of an attempt, alone and in pairs.

mod support;

use support::Fault;
use support::Injection;
use support::Mode;
use support::Run;
use support::Step;

use query::event::Response;
use query::verify;
use wire::caller::Execution;

/// Describes all violated guarantees of a run.
fn violations(run: &Run, mode: Mode) -> Vec<String> {
    let mut violations: Vec<String> =
        verify::check(&run.trace).iter().map(ToString::to_string).collect();
    if run.trace.replay() != run.trace {
        violations.push("the replay differs".to_owned());
    }
    if mode == Mode::NonIdempotent && run.ran.len() > 1 {
        violations.push(format!("ran {} times", run.ran.len()));
    }
    if !run.sent_after_cancel.is_empty() {
        violations.push(format!("sent after cancel: {:?}", run.sent_after_cancel));
    }
    match &run.response {
        None => violations.push("no response".to_owned()),
        Some(Response::Refusal(refusal)) => {
            if refusal.outcome == Execution::NotRun && !run.ran.is_empty() {
                violations.push("reported as not run, but an attempt ran".to_owned());
            }
        }
        Some(Response::Answer(answer)) => {
            let results_match = answer.parts.iter().all(|result| {
                let body = result.body.as_str().unwrap_or_default();
                let suffix = format!(" {} {}", result.shard, answer.snapshot);
                body.ends_with(&suffix)
            });
            if !results_match || answer.parts.len() != answer.covered.len() {
                violations.push("a result belongs to another shard or snapshot".to_owned());
            }
        }
    }
    violations
}

fn is_complete(run: &Run) -> bool {
    matches!(&run.response, Some(Response::Answer(answer)) if answer.missing.is_empty())
}

fn check(mode: Mode, injections: &[Injection], seed: u64, failures: &mut Vec<String>) -> Run {
    let run = support::run(mode, injections, seed);
    let violations = violations(&run, mode);
    if !violations.is_empty() {
        failures
            .push(format!("{mode:?} {injections:?} seed {seed}: {violations:?}\n{}", run.trace));
    }
    run
}

fn assert_no_failures(runs: usize, failures: &[String]) {
    let shown: Vec<&String> = failures.iter().take(3).collect();
    assert!(failures.is_empty(), "{} of {runs} runs failed, such as {shown:#?}", failures.len());
}

/// Every fault at every step of `shard`. A non-idempotent request reads shard 1
/// only.
fn injections(shard: u32) -> Vec<Injection> {
    let all = Fault::ALL.into_iter();
    all.flat_map(|fault| Step::ALL.map(|step| Injection { fault, step, shard })).collect()
}

#[test]
fn single_faults_keep_the_guarantees() {
    let mut failures = Vec::new();
    let mut runs = 0;
    for mode in Mode::ALL {
        for injection in injections(1) {
            for seed in 0..8 {
                check(mode, &[injection], seed, &mut failures);
                runs += 1;
            }
        }
    }
    assert_no_failures(runs, &failures);
}

/// A single fault leaves two replicas of each shard, so coverage is complete unless
/// the caller leaves or the deadline passes.
#[test]
fn single_faults_cost_no_coverage() {
    let mut failures = Vec::new();
    let mut runs = 0;
    for injection in injections(1) {
        if matches!(injection.fault, Fault::Cancel | Fault::Deadline)
            && injection.step != Step::Finished
        {
            continue;
        }
        for seed in 0..8 {
            let run = check(Mode::Coverage, &[injection], seed, &mut failures);
            runs += 1;
            if !is_complete(&run) {
                failures.push(format!(
                    "{injection:?} seed {seed}: coverage is incomplete\n{}",
                    run.trace
                ));
            }
        }
    }
    assert_no_failures(runs, &failures);
}

#[test]
fn paired_faults_keep_the_guarantees() {
    let mut failures = Vec::new();
    let mut runs = 0;
    for mode in Mode::ALL {
        let second_shard = if mode == Mode::NonIdempotent { 1 } else { 2 };
        for first in injections(1) {
            for second in injections(1).into_iter().chain(injections(second_shard)) {
                check(mode, &[first, second], runs as u64, &mut failures);
                runs += 1;
            }
        }
    }
    assert_no_failures(runs, &failures);
}
