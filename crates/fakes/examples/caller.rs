//! The stand-in callers as a process: runs an open-loop load, prints a table and a
//! JSON line, and exits 1 if an answer or a non-idempotent request was incorrect.

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
        std::fs::write(file, latency_plot(&summary)?)?;
    }
    Ok(if summary.is_correct() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "e",
        "entry",
        "entry nodes to ask, comma-separated; if repeated with names, requests to the \
         targets are interleaved",
        "[NAME=]IP:PORT,...",
    );
    options.optopt("s", "service", "query service (search)", "NAME");
    options.optopt("r", "rate", "requests per second (50)", "RATE");
    options.optopt("t", "seconds", "duration of the load (10)", "SECONDS");
    options.optopt("", "seed", "(1)", "N");
    options.optopt("", "callers", "(20)", "N");
    options.optopt("", "urgent", "share of urgent requests (0.1)", "SHARE");
    options.optopt("", "claims", "share of non-idempotent requests (0)", "SHARE");
    options.optopt("", "deadline-ms", "deadline of requests (the service's)", "MS");
    options.optopt("", "patience-ms", "timeout of one try (5000)", "MS");
    options.optopt("", "shards", "shards of the map, to check coverage", "N");
    options.optopt("", "tries", "maximum tries of a request (3)", "N");
    options.optopt(
        "",
        "control",
        "control port of the upstream servers, to check non-idempotent requests",
        "IP:PORT",
    );
    options.optopt("", "plot", "draw the latency quantiles", "FILE.svg");
    options.optflag("", "any", "use a random entry node of the lookup, not the first");
    options.optflag("", "monotonic", "require at least the highest version seen so far");
    options.optflag("", "json", "print JSON only");
    options.optflag("h", "help", "print this help");
    options
}

fn settings(given: &Matches) -> io::Result<Settings> {
    let targets = given.opt_strs("entry").iter().map(|text| target(text)).collect::<Result<_, _>>();
    let service = given.opt_str("service").unwrap_or_else(|| "search".to_owned());
    let defaults = Settings::new(&service, Vec::new());
    let millis = |name: &str| -> io::Result<Option<Duration>> {
        Ok(optional(given, name)?.map(Duration::from_millis))
    };
    Ok(Settings {
        targets: targets?,
        rate: optional(given, "rate")?.unwrap_or(defaults.rate),
        duration: optional(given, "seconds")?.map_or(defaults.duration, Duration::from_secs_f64),
        seed: optional(given, "seed")?.unwrap_or(defaults.seed),
        callers: optional(given, "callers")?.unwrap_or(defaults.callers),
        urgent_share: optional(given, "urgent")?.unwrap_or(defaults.urgent_share),
        non_idempotent_share: optional(given, "claims")?.unwrap_or(defaults.non_idempotent_share),
        deadline: millis("deadline-ms")?,
        reply_timeout: millis("patience-ms")?.unwrap_or(defaults.reply_timeout),
        shards: optional(given, "shards")?,
        max_tries: optional(given, "tries")?.unwrap_or(defaults.max_tries),
        monotonic: given.opt_present("monotonic"),
        pick: if given.opt_present("any") { Pick::Any } else { Pick::First },
        control_address: optional(given, "control")?,
        service: defaults.service,
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

fn latency_plot(summary: &Summary) -> io::Result<String> {
    let series = summary.latencies.iter().map(|(name, latency)| Series { name, latency });
    plot::quantiles(&series.collect::<Vec<_>>()).map_err(io::Error::other)
}
