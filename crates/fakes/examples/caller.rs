//! The stand-in callers as a process: makes open-loop load, prints a table and
//! a JSON line, and exits 1 if an answer was dishonest.

use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use getopts::Matches;
use getopts::Options;

use fakes::caller;
use fakes::caller::Pick;
use fakes::caller::Settings;
use fakes::caller::Summary;
use fakes::caller::Target;
use trial::plot;
use trial::plot::Series;

#[tokio::main]
async fn main() -> io::Result<ExitCode> {
    let options = options();
    let given = options.parse(std::env::args().skip(1)).map_err(io::Error::other)?;
    if given.opt_present("help") {
        print!("{}", options.usage("caller --entry IP:PORT [OPTIONS]"));
        return Ok(ExitCode::SUCCESS);
    }
    let summary = caller::run(settings(&given)?).await;
    if !given.opt_present("json") {
        print!("{summary}");
    }
    println!("{}", serde_json::to_string(&summary).map_err(io::Error::other)?);
    if let Some(file) = given.opt_str("plot") {
        std::fs::write(file, picture(&summary)?)?;
    }
    Ok(if summary.honest() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "e",
        "entry",
        "entry nodes to ask, comma-separated; given several times with names, the targets \
         are interleaved",
        "[NAME=]IP:PORT,...",
    );
    options.optopt("s", "service", "query service (search)", "NAME");
    options.optopt("r", "rate", "requests a second (50)", "RATE");
    options.optopt("t", "seconds", "how long (10)", "SECONDS");
    options.optopt("", "seed", "(1)", "N");
    options.optopt("", "callers", "(20)", "N");
    options.optopt("", "urgent", "share of urgent requests (0.1)", "SHARE");
    options.optopt("", "claims", "share of non-idempotent requests (0)", "SHARE");
    options.optopt("", "deadline-ms", "deadline of requests (the service's)", "MS");
    options.optopt("", "patience-ms", "how long an answer is waited for (5000)", "MS");
    options.optopt("", "shards", "shards of the map, to check coverage", "N");
    options.optopt("", "tries", "most tries of a request (3)", "N");
    options.optopt("", "control", "upstreams' control port, to check claims", "IP:PORT");
    options.optopt("", "plot", "draw the latency quantiles", "FILE.svg");
    options.optflag("", "any", "use any entry node named, not the first");
    options.optflag("", "monotonic", "never accept an older version than seen");
    options.optflag("", "json", "print JSON only");
    options.optflag("h", "help", "print this help");
    options
}

fn settings(given: &Matches) -> io::Result<Settings> {
    let targets = given.opt_strs("entry").iter().map(|text| target(text)).collect::<Result<_, _>>();
    let service = given.opt_str("service").unwrap_or_else(|| "search".to_owned());
    let usual = Settings::new(&service, Vec::new());
    let millis = |name: &str| -> io::Result<Option<Duration>> {
        Ok(optional(given, name)?.map(Duration::from_millis))
    };
    Ok(Settings {
        targets: targets?,
        rate: optional(given, "rate")?.unwrap_or(usual.rate),
        span: optional(given, "seconds")?.map_or(usual.span, Duration::from_secs_f64),
        seed: optional(given, "seed")?.unwrap_or(usual.seed),
        callers: optional(given, "callers")?.unwrap_or(usual.callers),
        urgent_share: optional(given, "urgent")?.unwrap_or(usual.urgent_share),
        claim_share: optional(given, "claims")?.unwrap_or(usual.claim_share),
        deadline: millis("deadline-ms")?,
        patience: millis("patience-ms")?.unwrap_or(usual.patience),
        shards: optional(given, "shards")?,
        tries: optional(given, "tries")?.unwrap_or(usual.tries),
        monotonic: given.opt_present("monotonic"),
        pick: if given.opt_present("any") { Pick::Any } else { Pick::First },
        control: optional(given, "control")?,
        service: usual.service,
    })
}

fn target(text: &str) -> io::Result<Target> {
    let (name, seeds) = text.split_once('=').unwrap_or(("", text));
    let seeds = seeds.split(',').map(|seed| seed.parse().map_err(io::Error::other));
    Ok(Target { name: Arc::from(name), seeds: seeds.collect::<Result<_, _>>()? })
}

fn optional<T: std::str::FromStr>(given: &Matches, name: &str) -> io::Result<Option<T>>
where
    T::Err: std::fmt::Display,
{
    given.opt_get(name).map_err(|error| io::Error::other(format!("--{name}: {error}")))
}

fn picture(summary: &Summary) -> io::Result<String> {
    let series = summary.latencies.iter().map(|(name, latency)| Series { name, latency });
    plot::quantiles(&series.collect::<Vec<_>>()).map_err(io::Error::other)
}
