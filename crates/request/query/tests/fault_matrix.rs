//! Every fault at every step, singly and in pairs.

mod support;

use support::Fault;
use support::Mode;
use support::Run;
use support::Step;
use support::Strike;

use query::event::Response;
use query::verify;
use wire::caller::Outcome;

/// All that is wrong with a run, in words.
fn findings(run: &Run, mode: Mode) -> Vec<String> {
    let mut findings: Vec<String> =
        verify::check(&run.trace).iter().map(ToString::to_string).collect();
    if run.trace.replayed() != run.trace {
        findings.push("the replay differs".to_owned());
    }
    if mode == Mode::Once && run.ran.len() > 1 {
        findings.push(format!("ran {} times", run.ran.len()));
    }
    if !run.stray.is_empty() {
        findings.push(format!("sent after cancel: {:?}", run.stray));
    }
    match &run.last {
        None => findings.push("no final word".to_owned()),
        Some(Response::Refusal(refusal)) => {
            if refusal.outcome == Outcome::NotRun && !run.ran.is_empty() {
                findings.push("not run was told of what ran".to_owned());
            }
        }
        Some(Response::Answer(answer)) => {
            let own = answer.parts.iter().all(|part| {
                let body = part.body.as_str().unwrap_or_default();
                let end = format!(" {} {}", part.shard, answer.snapshot);
                body.ends_with(&end)
            });
            if !own || answer.parts.len() != answer.covered.len() {
                findings.push("a part is not its shard's own".to_owned());
            }
        }
    }
    findings
}

fn is_whole(run: &Run) -> bool {
    matches!(&run.last, Some(Response::Answer(answer)) if answer.missing.is_empty())
}

fn check(mode: Mode, strikes: &[Strike], seed: u64, failures: &mut Vec<String>) -> Run {
    let run = support::run(mode, strikes, seed);
    let findings = findings(&run, mode);
    if !findings.is_empty() {
        failures.push(format!("{mode:?} {strikes:?} seed {seed}: {findings:?}\n{}", run.trace));
    }
    run
}

fn report(runs: usize, failures: &[String]) {
    let shown: Vec<&String> = failures.iter().take(3).collect();
    assert!(failures.is_empty(), "{} of {runs} runs failed, such as {shown:#?}", failures.len());
}

/// Every fault at every step; shard 1 is the one that a non-idempotent request asks.
fn strikes(shard: u32) -> Vec<Strike> {
    let all = Fault::ALL.into_iter();
    all.flat_map(|fault| Step::ALL.map(|step| Strike { fault, step, shard })).collect()
}

#[test]
fn single_faults_keep_the_promises() {
    let mut failures = Vec::new();
    let mut runs = 0;
    for mode in Mode::ALL {
        for strike in strikes(1) {
            for seed in 0..8 {
                check(mode, &[strike], seed, &mut failures);
                runs += 1;
            }
        }
    }
    report(runs, &failures);
}

/// With two replicas of each shard left and time enough, coverage is complete.
#[test]
fn single_faults_cost_no_coverage() {
    let mut failures = Vec::new();
    let mut runs = 0;
    for strike in strikes(1) {
        if matches!(strike.fault, Fault::Cancel | Fault::Deadline) && strike.step != Step::Sealed {
            continue;
        }
        for seed in 0..8 {
            let run = check(Mode::Coverage, &[strike], seed, &mut failures);
            runs += 1;
            if !is_whole(&run) {
                failures.push(format!("{strike:?} seed {seed}: not whole\n{}", run.trace));
            }
        }
    }
    report(runs, &failures);
}

#[test]
fn paired_faults_keep_the_promises() {
    let mut failures = Vec::new();
    let mut runs = 0;
    for mode in Mode::ALL {
        let other = if mode == Mode::Once { 1 } else { 2 };
        for first in strikes(1) {
            for second in strikes(1).into_iter().chain(strikes(other)) {
                check(mode, &[first, second], runs as u64, &mut failures);
                runs += 1;
            }
        }
    }
    report(runs, &failures);
}
