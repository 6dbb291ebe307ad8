//! Starts, runs and shuts down a node.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use opentelemetry_sdk::error::OTelSdkError;
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout_at;
use tokio_util::task::TaskTracker;

use crate::admin;
use crate::breaks;
use crate::clock::Clock;
use crate::delays;
use crate::era;
use crate::fairness;
use crate::forward;
use crate::front;
use crate::heartbeat;
use crate::in_flight;
use crate::in_flight::InFlight;
use crate::inbound;
use crate::inbound::Limits;
use crate::inbound::Listener;
use crate::listener;
use crate::loans;
use crate::lookup;
use crate::members::Members;
use crate::members::Peer;
use crate::members::WHOLE_REACH;
use crate::metrics::Metrics;
use crate::notices;
use crate::path;
use crate::process::Feeds;
use crate::process::Process;
use crate::process::StatsByRoute;
use crate::protocol::Protocol;
use crate::registry::Registry;
use crate::relay;
use crate::reply_memory::Memory;
use crate::serving::Role;
use crate::settings::Settings;
use crate::shares::Shares;
use crate::source::Selector;
use crate::source::Source;
use crate::stop;
use crate::stop::Stop;
use crate::upstream::Pool;
use crate::usage;
use crate::watcher;
use base::time::Time;
use customer::stats::Stats;
use poison::ledger::Ledger;
use replica::budget::Budget;
use replica::table::Locality;
use replica::table::Table;
use site::fleet::Fleet;

/// Why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener can't be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The metrics can't be set up.
    #[error("cannot set up the metrics: {0}")]
    Metrics(#[from] OTelSdkError),
    /// Signal handlers can't be installed.
    #[error("cannot wait for signals: {0}")]
    Signal(io::Error),
}

/// The interval between checks for requests of other nodes that are in progress during a stop.
const ACTIVE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The interval between reloads of the settings, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|source| Error::Listen { address, source })
}

/// Loads the settings again; on failure returns all errors in them.
pub type Reload = Box<dyn Fn() -> Result<Settings, String>>;

/// Runs a node until it is terminated by a signal and has shut down. Must be called in a
/// [`tokio::task::LocalSet`].
pub async fn run(
    settings: Settings,
    protocol: Box<dyn Protocol>,
    registry: Box<dyn Registry>,
    reload: Reload,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    let callers = listen(settings.caller_address).await?;
    let readiness = listen(settings.readiness_probe_address).await?;
    let lookups = match settings.lookup_address {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    let peer_address = SocketAddr::new(settings.ip, settings.peer_port);
    let socket = UdpSocket::bind(peer_address).await;
    let socket = Rc::new(socket.map_err(|source| Error::Listen { address: peer_address, source })?);
    let peers = listen(peer_address).await?;
    let process = Rc::new(new_process(settings, protocol, registry)?);
    log::info!(target: "node", name = process.settings.name.as_ref(), callers:% = process.settings.caller_address; "Started.");
    for excess in delays::verify(&process.settings) {
        log::warn!(target: "node", excess:% = excess; "A bound in the settings can't be kept.");
    }

    let connections = TaskTracker::new();
    let (close, closing) = watch::channel(false);
    let accepting =
        spawn_local(front::accept(Rc::clone(&process), callers, connections.clone(), closing));
    spawn_local(listener::accept(
        Rc::clone(&process),
        readiness,
        Listener::Readiness,
        lookup::handle,
    ));
    if let Some(lookups) = lookups {
        spawn_local(listener::accept(
            Rc::clone(&process),
            lookups,
            Listener::Lookups,
            lookup::handle,
        ));
    }
    if let Some(address) = process.settings.metrics_address {
        let metrics = listen(address).await?;
        spawn_local(listener::accept(
            Rc::clone(&process),
            metrics,
            Listener::Operators,
            admin::handle,
        ));
    }
    spawn_local(watcher::start(Rc::clone(&process)));
    spawn_local(watcher::expire_servers(Rc::clone(&process)));
    spawn_local(path::watch(Rc::clone(&process)));
    spawn_local(in_flight::watch(Rc::clone(&process)));
    spawn_local(breaks::watch_losses(Rc::clone(&process)));
    spawn_local(listener::accept(Rc::clone(&process), peers, Listener::Nodes, relay::handle));
    spawn_local(relay::follow(Rc::clone(&process)));
    spawn_local(heartbeat::send(Rc::clone(&process), Rc::clone(&socket)));
    spawn_local(notices::send(Rc::clone(&process), Rc::clone(&socket)));
    spawn_local(usage::send(Rc::clone(&process), Rc::clone(&socket)));
    spawn_local(heartbeat::receive(Rc::clone(&process), socket));

    let mut last = Ok(process.settings.clone());
    let mut poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => {}
            _ = poll.tick() => {}
        }
        let found = reload();
        if found != last {
            apply_settings(&process, &found);
            last = found;
        }
    }
    shut_down(&process, accepting, &connections, &close).await;
    Ok(())
}

/// Applies the changed budget; other changes need a restart. If the new settings have
/// errors, the previous ones stay in use.
fn apply_settings(process: &Process, found: &Result<Settings, String>) {
    let settings = match found {
        Ok(settings) => settings,
        Err(faults) => {
            return log::warn!(target: "node", faults = faults.as_str(); "The new settings have errors; the previous ones stay in use.");
        }
    };
    process.budget.borrow_mut().set_settings(settings.retry_budget);
    let with_old_budget =
        Settings { retry_budget: process.settings.retry_budget, ..settings.clone() };
    let restart = with_old_budget != process.settings;
    log::info!(target: "node", restart; "The settings were reloaded; only the bounds on extra sends apply without a restart.");
}

fn new_process(
    settings: Settings,
    protocol: Box<dyn Protocol>,
    registry: Box<dyn Registry>,
) -> Result<Process, Error> {
    let clock = Clock::new();
    let mut rng = rand::rng();
    let locality =
        Locality { data_centre: settings.data_centre.clone(), regions: settings.regions.clone() };
    let own = Peer {
        ip: settings.ip,
        data_centre: settings.data_centre.clone(),
        capacity: settings.capacity,
    };
    let mut members = Members::new(own, locality.clone(), settings.first_start);
    settings.seeds.iter().for_each(|seed| members.add_seed(*seed));
    let shares = Shares { serving: false, serving_nodes: 0, standby_nodes: 1 };
    let incarnation = rng.random();
    let mut budget = Budget::new(settings.retry_budget);
    budget.set_share(Time::ZERO, shares.slack_fraction());
    let pool = Pool::new(clock);
    let limits = Limits::new(settings.memory, descriptors(settings.descriptors));
    Ok(Process {
        clock,
        protocol,
        registry,
        config: RefCell::new(None),
        router: RefCell::new(None),
        fleet: RefCell::new(Fleet::new(settings.fleet)),
        evacuations: RefCell::default(),
        departures: RefCell::default(),
        table: RefCell::new(Table::new(locality, rng.random())),
        budget: RefCell::new(budget),
        customer_stats: RefCell::new(Stats::default()),
        is_config_compared: Cell::new(false),
        route_stats: RefCell::new(StatsByRoute::default()),
        inbound: Rc::new(inbound::Ledger::new(limits, pool.open_count())),
        pool,
        in_flight: InFlight::default(),
        ledger: RefCell::new(Ledger::new(rng.random())),
        ledger_changed: Notify::new(),
        breaks: RefCell::default(),
        reply_memory: Rc::new(Memory::new(settings.memory)),
        forwards: forward::Connections::default(),
        metrics: Metrics::new()?,
        members: RefCell::new(members),
        role: RefCell::new(Role::default()),
        shares: Cell::new(shares),
        loans: loans::State::new(clock.now(), incarnation),
        usage: usage::State::new(settings.allowance),
        fairness: fairness::State::default(),
        era: RefCell::new(era::Tracker::default()),
        era_risen: Notify::new(),
        unreadable: RefCell::default(),
        feeds: RefCell::new(Feeds::new()),
        state_changed: Notify::new(),
        selector: RefCell::new(Selector::default()),
        source: Cell::new(Source::Registry),
        source_changed: Notify::new(),
        confirmed_at: RefCell::default(),
        registry_answers: Cell::new(true),
        sends: Cell::new(0),
        sends_per_second: Cell::new(0),
        slowness: Cell::new(100),
        reach: Cell::new(WHOLE_REACH),
        reach_changed: Notify::new(),
        path_lost: Notify::new(),
        path_proven: Cell::new(false),
        registered_era: Cell::new(None),
        registration_lost: Notify::new(),
        listed_nodes: RefCell::new(None),
        has_server_list: Cell::new(false),
        leaving: Cell::new(false),
        stop: Stop::default(),
        shutdown_started: Notify::new(),
        incarnation,
        active_requests: Cell::new(0),
        settings,
    })
}

/// The descriptors that the process may use: those of the settings, or what the operating system
/// allows if that is less.
fn descriptors(settings: Option<u64>) -> Option<u64> {
    let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    settings.into_iter().chain(allowed).min()
}

/// Shuts down: lookups stop returning this node at once. It accepts connections until no
/// caller has its address cached, and then waits for the requests that are running. Those that
/// outlast the grace are answered at its end.
async fn shut_down(
    process: &Process,
    accepting: JoinHandle<()>,
    connections: &TaskTracker,
    close: &watch::Sender<bool>,
) {
    log::info!(target: "node", busy = process.active_requests.get(), connections = connections.len(); "Stopping.");
    let start = process.clock.now();
    let schedule = stop::Schedule::new(process.settings.shutdown_grace);
    process.leaving.set(true);
    process.stop.begin(start, schedule);
    process.shutdown_started.notify_one();
    sleep(schedule.accept_time).await;
    // Not `send`, which fails without setting the value if no connection holds a receiver.
    close.send_replace(true);
    if let Err(error) = accepting.await {
        log::error!(target: "node", error:% = error; "The task that accepts connections failed.");
    }
    connections.close();
    let ended = async {
        connections.wait().await;
        // Connections of other nodes stay open; only the requests on them end.
        while process.active_requests.get() > 0 {
            sleep(ACTIVE_CHECK_INTERVAL).await;
        }
        sleep(ACTIVE_CHECK_INTERVAL).await;
    };
    let mut ended = std::pin::pin!(ended);
    let until = |time: Duration| process.clock.instant(start + time);
    let in_time = match timeout_at(until(schedule.answer_time), ended.as_mut()).await {
        Ok(()) => true,
        Err(_) => {
            process.stop.end_requests();
            timeout_at(until(schedule.exit_time), ended).await.is_ok()
        }
    };
    log::info!(target: "node", cut = process.active_requests.get(), in_time; "Stopped.");
}
