//! A soak of the real processes: random faults from outside, and the promises checked from what
//! callers and servers see.
//!
//!     soak --binary PATH [--seed N] [--seeds COUNT] [--seconds S] [--nodes N]
//!          [--without N,N,...] [--shrink] [--plant NAME] [--folder PATH] [--return]
//!          [--earlier PATH]
//!
//! Each seed is one run: it prints its schedule and the broken promises, and leaves the nodes'
//! logs in a folder if there are any. `--without` leaves out steps of the schedule; `--shrink`
//! leaves out as many as possible while the run still fails. `--return` plays no schedule: it
//! measures how long a version takes to be in force after the store returned from a copy, and
//! the calls to the store in the ten seconds after. `--earlier` names the program of an earlier
//! build: most nodes run it at the start, and are replaced one after the other by the present one.

use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use getopts::Matches;
use getopts::Options;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::caller::Calls;
use crate::check::Evidence;
use crate::schedule::Fault;
use crate::system::Plant;
use crate::system::Programs;
use crate::system::System;

mod caller;
mod check;
mod customers;
mod returns;
mod schedule;
mod system;

/// The time without faults at the end of a run, after which all is served again.
const RECOVERY: Duration = Duration::from_secs(8);
/// The time over which that is measured.
const MEASURED: Duration = Duration::from_secs(2);
/// The fraction of the requests that is then served.
const MIN_SUCCESS: f64 = 0.95;
/// The time within which all nodes start.
const MAX_START: Duration = Duration::from_secs(60);
/// The maximum memory and number of descriptors of a node's process.
const MAX_MEMORY: u64 = 100 << 20;
const MAX_DESCRIPTORS: usize = 600;
/// The maximum number of violations that are printed.
const MAX_PRINTED: usize = 12;

/// The parameters of all runs.
struct Settings {
    programs: Programs,
    folder: PathBuf,
    length: Duration,
    nodes: usize,
    plant: Option<Plant>,
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.reqopt("", "binary", "the nodes' program", "PATH");
    options.optopt("", "seed", "the first seed (1)", "N");
    options.optopt("", "seeds", "the number of seeds (1)", "COUNT");
    options.optopt("", "seconds", "the length of the schedule (15)", "S");
    options.optopt("", "nodes", "the number of nodes (6)", "N");
    options.optopt("", "earlier", "an earlier build, whose processes are replaced", "PATH");
    options.optopt("", "without", "steps to leave out", "N,N,...");
    options.optflag("", "shrink", "leave out steps while the run fails");
    options.optopt("", "plant", "a fault of a stand-in that must be reported", "NAME");
    options.optflag("", "return", "measure a return of the store");
    options.optopt("", "folder", "for settings and logs", "PATH");
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}\n{}", options.usage("soak"));
            return ExitCode::from(2);
        }
    };
    let number = |name: &str, default: u64| {
        matches.opt_str(name).and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let default_folder = std::env::temp_dir().join(format!("soak-{}", std::process::id()));
    let settings = Settings {
        programs: Programs {
            present: matches.opt_str("binary").map(PathBuf::from).unwrap_or_default(),
            earlier: matches.opt_str("earlier").map(PathBuf::from),
        },
        folder: matches.opt_str("folder").map_or(default_folder, PathBuf::from),
        length: Duration::from_secs(number("seconds", 15)),
        nodes: number("nodes", 6) as usize,
        plant: plant(&matches),
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("no runtime: {error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("return") {
        runtime.block_on(returns::measure(&settings));
        return ExitCode::SUCCESS;
    }
    let first = number("seed", 1);
    let failed: Vec<u64> = (first..first + number("seeds", 1))
        .filter(|seed| !runtime.block_on(check_seed(&settings, *seed, &matches)))
        .collect();
    println!("failed seeds: {failed:?}");
    ExitCode::from(u8::from(!failed.is_empty()))
}

fn plant(matches: &Matches) -> Option<Plant> {
    match matches.opt_str("plant")?.as_str() {
        "records" => Some(Plant::OtherRecords),
        "refusals" => Some(Plant::RunsAndRefuses),
        "versions" => Some(Plant::LostVersions),
        "drains" => Some(Plant::LostDrains),
        "routes" => Some(Plant::DroppedRoutes),
        "stops" => Some(Plant::KilledStops),
        "times" => Some(Plant::UnreadableTimes),
        "limits" => Some(Plant::UnreadableLimits),
        "recovery" => Some(Plant::NoRecovery),
        "poison" => Some(Plant::ChangingPoison),
        "homes" => Some(Plant::ForeignEntries),
        "evacuations" => Some(Plant::LostEvacuations),
        "keys" => Some(Plant::LeakedKeys),
        "customers" => Some(Plant::SwappedKeys),
        "revocations" => Some(Plant::KeptKeys),
        "known-keys" => Some(Plant::LostKeys),
        "unknown-keys" => Some(Plant::GrantedKey),
        "quotas" => Some(Plant::LostRates),
        "overwritten" => Some(Plant::OverwrittenEntries),
        "removals" => Some(Plant::LostRemovals),
        "short" => Some(Plant::ShortAnswers),
        "descriptors" => Some(Plant::ManyServers),
        "memory" => Some(Plant::EndlessServers),
        other => panic!("no such plant: {other}"),
    }
}

/// Runs a seed; returns whether no promise was broken.
async fn check_seed(settings: &Settings, seed: u64, matches: &Matches) -> bool {
    let mut left_out: BTreeSet<usize> = matches
        .opt_str("without")
        .unwrap_or_default()
        .split(',')
        .filter_map(|number| number.parse().ok())
        .collect();
    let passed = run(settings, seed, &left_out, true).await;
    if !passed && matches.opt_present("shrink") {
        let mut number = 0;
        while let Some(step) = schedule::draw(seed, settings.length, settings.nodes, 12).get(number)
        {
            left_out.insert(step.number);
            if run(settings, seed, &left_out, false).await {
                left_out.remove(&step.number);
            }
            number += 1;
        }
        println!("seed {seed} still fails without the steps {left_out:?}");
    }
    passed
}

/// Starts the system of a run; its files are in `folder`.
async fn start(settings: &Settings, folder: &Path) -> Arc<System> {
    if let Err(error) = std::fs::create_dir_all(folder) {
        panic!("cannot create {}: {error}", folder.display());
    }
    let started =
        System::start(&settings.programs, folder, free_subnet(), settings.nodes, settings.plant);
    let system = started.await.expect("the system starts");
    let from = Instant::now();
    for node in system.nodes() {
        while !caller::answers(node).await {
            sleep(Duration::from_millis(20)).await;
            assert!(from.elapsed() < MAX_START, "a node does not start");
        }
    }
    system
}

/// A loopback subnet that no other run uses.
fn free_subnet() -> u8 {
    let first = (std::process::id() % 40) as u8;
    let subnets = (0..40).map(|offset| 210 + (first + offset) % 40);
    let is_free =
        |subnet: &u8| std::net::TcpListener::bind(system::caller_address(*subnet, 0)).is_ok();
    subnets.into_iter().find(is_free).expect("a free subnet")
}

async fn run(settings: &Settings, seed: u64, left_out: &BTreeSet<usize>, verbose: bool) -> bool {
    let folder = settings.folder.join(seed.to_string());
    let system = start(settings, &folder).await;
    let violations = play(settings, &system, seed, left_out, verbose).await;
    system.end().await;
    sleep(Duration::from_millis(200)).await;
    for violation in violations.iter().take(MAX_PRINTED) {
        println!("seed {seed}: {violation}");
    }
    if violations.is_empty() {
        remove(&folder);
    } else {
        println!("seed {seed}: {} violations, logs in {}", violations.len(), folder.display());
    }
    violations.is_empty()
}

fn remove(folder: &Path) {
    if let Err(error) = std::fs::remove_dir_all(folder) {
        eprintln!("cannot remove {}: {error}", folder.display());
    }
}

async fn play(
    settings: &Settings,
    system: &Arc<System>,
    seed: u64,
    left_out: &BTreeSet<usize>,
    verbose: bool,
) -> Vec<String> {
    let calls = Arc::new(Calls::default());
    calls.start(system);
    let start = tokio::time::Instant::now();
    let mut running = Vec::new();
    let (replacing, length) = (Arc::clone(system), settings.length);
    running.push(tokio::spawn(async move { replacing.replace_earlier(length).await }));
    for step in schedule::draw(seed, settings.length, settings.nodes, system.server_count()) {
        if left_out.contains(&step.number) {
            continue;
        }
        if verbose {
            println!("seed {seed}: {step}");
        }
        sleep_until(start + step.at).await;
        if let Fault::Poison { search } = step.fault {
            calls.start_poison(system, seed, search, step.lasts);
        }
        if step.fault == Fault::Flood {
            calls.start_flood(system, seed, step.lasts);
        }
        if let Fault::Stop { node } = step.fault {
            calls.start_late(system, node, seed).await;
        }
        running.push(tokio::spawn(Arc::clone(system).disturb(step)));
        // A change often falls into the fault.
        if step.number % 2 == 0 {
            system.write_next_version();
        }
    }
    for step in running {
        if let Err(error) = step.await {
            return vec![format!("a step failed: {error}")];
        }
    }
    system.heal();
    system.write_next_version();
    sleep(RECOVERY).await;
    let measured_from = Instant::now();
    sleep(MEASURED).await;
    let mut violations = Vec::new();
    for (number, node) in system.nodes().iter().enumerate() {
        let Some((memory, descriptors)) = caller::resources(node) else { continue };
        if memory > MAX_MEMORY || descriptors > MAX_DESCRIPTORS {
            violations.push(format!("node {number} has {memory} bytes, {descriptors} descriptors"));
        }
    }
    let evidence = Evidence::new(system, calls.end().await);
    violations.extend(evidence.violations());
    let success = evidence.success_since(measured_from);
    if success < MIN_SUCCESS {
        violations.push(format!("after the recovery only {success:.3} of the requests are served"));
    }
    let (sent, answered) = evidence.counts();
    println!(
        "seed {seed}: {sent} requests, {answered} answered, {success:.3} after the recovery, {} \
         store calls",
        system.store_calls()
    );
    violations
}
