//! Stand-in upstream servers as a process: prints one JSON line with the
//! control address and the shard maps, and runs until it is stopped.

use std::io;
use std::sync::Arc;

use getopts::Matches;
use getopts::Options;

use fakes::upstream::Fleet;
use fakes::upstream::Service;
use fakes::upstream::Settings;

#[tokio::main]
async fn main() -> io::Result<()> {
    let options = options();
    let given = options.parse(std::env::args().skip(1)).map_err(io::Error::other)?;
    if given.opt_present("help") {
        print!("{}", options.usage("upstream [OPTIONS]"));
        return Ok(());
    }
    let fleet = Fleet::start(settings(&given)?)?;
    let line = serde_json::json!({ "control": fleet.control_address(), "maps": fleet.maps() });
    println!("{line}");
    tokio::signal::ctrl_c().await
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("f", "file", "deployment as JSON; replaces the flags below", "FILE");
    options.optopt("s", "service", "service name (search)", "NAME");
    options.optopt("m", "map", "shard map name (NAME-1)", "NAME");
    options.optopt("g", "groups", "groups of servers, one per shard (3)", "N");
    options.optopt("", "first-shard", "first group's shard number (0)", "N");
    options.optopt("r", "replicas", "servers per group (3)", "N");
    options.optopt("d", "data-centres", "comma-separated names (a,b,c)", "NAMES");
    options.optopt("", "slots", "requests that a server runs at once (2)", "N");
    options.optopt("", "queue", "requests that a server queues (8)", "N");
    options.optopt("", "connections", "connections that a server accepts (25)", "N");
    options.optopt("", "connect-ms", "delay of a new connection (0)", "MS");
    options.optopt("", "median-us", "median service time (2000)", "US");
    options.optopt("", "straggler-share", "0 to 1 (0)", "SHARE");
    options.optopt("", "straggler-factor", "(10)", "FACTOR");
    options.optopt("", "base-port", "first server's port; 0 picks free ports (0)", "PORT");
    options.optopt("", "control-port", "0 picks a free port (0)", "PORT");
    options.optopt("", "seed", "(1)", "N");
    options.optflag("h", "help", "print this help");
    options
}

fn settings(given: &Matches) -> io::Result<Settings> {
    if let Some(file) = given.opt_str("file") {
        let text = std::fs::read_to_string(file)?;
        return serde_json::from_str(&text).map_err(io::Error::other);
    }
    let defaults = Service::default();
    let name: Arc<str> = given.opt_str("service").map_or(defaults.name, Arc::from);
    let map = given.opt_str("map").unwrap_or_else(|| format!("{name}-1"));
    let data_centres = match given.opt_str("data-centres") {
        Some(names) => names.split(',').map(Arc::from).collect(),
        None => defaults.data_centres,
    };
    let service = Service {
        name,
        map: Arc::from(map),
        data_centres,
        groups: number(given, "groups", defaults.groups)?,
        first_shard: number(given, "first-shard", defaults.first_shard)?,
        replicas: number(given, "replicas", defaults.replicas)?,
        slots: number(given, "slots", defaults.slots)?,
        queue: number(given, "queue", defaults.queue)?,
        connections: number(given, "connections", defaults.connections)?,
        connect_ms: number(given, "connect-ms", defaults.connect_ms)?,
        median_us: number(given, "median-us", defaults.median_us)?,
        straggler_share: number(given, "straggler-share", defaults.straggler_share)?,
        straggler_factor: number(given, "straggler-factor", defaults.straggler_factor)?,
        ..Service::default()
    };
    Ok(Settings {
        base_port: number(given, "base-port", 0)?,
        control_port: number(given, "control-port", 0)?,
        seed: number(given, "seed", 1)?,
        services: vec![service],
        ..Settings::default()
    })
}

fn number<T: std::str::FromStr>(given: &Matches, name: &str, default: T) -> io::Result<T>
where
    T::Err: std::fmt::Display,
{
    given
        .opt_get_default(name, default)
        .map_err(|error| io::Error::other(format!("--{name}: {error}")))
}
