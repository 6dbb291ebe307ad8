//! Starts a node, runs it, and stops it as planned.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tonic::transport::server::TcpIncoming;

use crate::connection::http_server::Front;
use crate::connection::http_server::Handler;
use crate::process::experiments;
use crate::process::health;
use crate::process::operator_handler::Desk;
use crate::process::pause;
use crate::process::peer_handler::Hub;
use crate::process::platform_handler;
use crate::process::shutdown_handler;
use crate::process::state::Draw;
use crate::process::state::Process;
use conf::settings::Settings;
use peer::mesh;
use peer::mesh::Mesh;
use peer::record::Addresses;
use peer::shutdown_driver;
use rpc::service::Service;
use store::watch;
use wire::id::Incarnation;

/// The time between two looks at the members.
const MEMBERS_EVERY: Duration = Duration::from_millis(250);

/// Why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be listened at.
    #[error("cannot listen at {address} ({setting}): {source}")]
    Listen {
        /// The setting that names it.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// The operating system's word.
        source: io::Error,
    },
    /// The metrics can't be set up.
    #[error("cannot set up the metrics: {0}")]
    Metrics(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// Signals can't be waited for.
    #[error("cannot wait for signals: {0}")]
    Signal(io::Error),
}

/// What a started node prints on standard output, as one JSON line.
#[derive(Clone, Debug, Serialize)]
pub struct Started {
    /// Its name.
    pub name: Arc<str>,
    /// Its life.
    pub incarnation: String,
    /// Where it serves callers.
    pub caller: SocketAddr,
    /// Where it serves peers.
    pub peer: SocketAddr,
    /// Where it serves operators.
    pub operator: SocketAddr,
}

async fn listen(setting: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| Error::Listen { setting, address, source })
}

fn local(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(asked)
}

/// Runs a node until it is asked to stop and has stopped.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let draw = draw(&settings);
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signal)?;
    let callers = listen("caller_address", settings.caller_address).await?;
    let operators = listen("operator_address", settings.operator_address).await?;
    let process = Process::new(settings, draw)?;
    process.pulse.beat(process.clock.now());
    let settings = &process.settings;
    let caller = local(&callers, settings.caller_address);
    let operator = local(&operators, settings.operator_address);

    let handler = Arc::clone(&process) as Arc<dyn Handler>;
    let front = Front::new(callers, handler).map_err(Error::Signal)?;
    let addresses = Addresses {
        caller: settings.advertise_caller.unwrap_or(caller),
        peer: settings.peer_address,
        operator,
    };
    let mesh = join(&process, addresses, draw).await?;
    spawn(&process, &mesh, operators, draw);
    let started = Started {
        name: Arc::clone(&settings.name),
        incarnation: process.incarnation.to_string(),
        caller: front.address(),
        peer: mesh.peer_address(),
        operator,
    };
    // The line is for whoever started the process; without a reader there is
    // nobody to tell.
    println!("{}", serde_json::to_string(&started).unwrap_or_default());
    log::info!(target: "node", "Node {} serves callers at {caller}.", settings.name);

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = process.stop.cancelled() => {}
    }
    log::info!(target: "node", "A planned stop begins.");
    let host = shutdown_handler::Host { process: Arc::clone(&process), front: Arc::new(front) };
    stop(&mesh, &host, &mut terminate, &mut interrupt).await;
    host.front.finish().await;
    process.end.cancel();
    log::info!(target: "node", "Stopped.");
    Ok(())
}

/// Draws the incarnation anew at each start; the seed may be set.
fn draw(settings: &Settings) -> Draw {
    let incarnation = Incarnation(rand::random());
    Draw { incarnation, seed: settings.seed.unwrap_or(incarnation.0) }
}

async fn join(
    process: &Arc<Process>,
    addresses: Addresses,
    draw: Draw,
) -> Result<Arc<Mesh>, Error> {
    let settings = &process.settings;
    let mut joining = mesh::Settings::new(
        Arc::clone(&settings.name),
        draw.incarnation,
        addresses,
        Arc::clone(&settings.data_centre),
        Arc::clone(&settings.region),
    )
    .with_seeds(settings.seeds.clone());
    joining.seed = draw.seed;
    joining.stop.lookup_ttl = Duration::from_millis(settings.keep_ms);
    let hub = Arc::new(Hub(Arc::clone(process)));
    let mesh = Mesh::start(joining, hub, process.end.clone()).await.map_err(|source| {
        Error::Listen { setting: "peer_address", address: settings.peer_address, source }
    })?;
    process.join(Arc::clone(&mesh));
    let told = Arc::downgrade(&mesh);
    process.upstreams.on_marks(Arc::new(move |marks| {
        let Some(mesh) = told.upgrade() else { return };
        for mark in marks {
            mesh.announce_withdrawal(mark.server, mark.incarnation);
        }
    }));
    Ok(mesh)
}

/// Starts the background work.
fn spawn(process: &Arc<Process>, mesh: &Arc<Mesh>, operators: TcpListener, draw: Draw) {
    let pool = process.pool.clone();
    let end = process.end.clone();
    tokio::spawn(async move { pool.run(end).await });
    tokio::spawn(health::run(Arc::clone(process)));
    tokio::spawn(pause::run(Arc::clone(process)));
    tokio::spawn(experiments::guard(Arc::clone(process)));
    tokio::spawn(watch_members(Arc::clone(process), Arc::clone(mesh)));
    tokio::spawn(store::watcher::run(
        Arc::clone(&process.store) as Arc<dyn store::api::Store>,
        Arc::new(platform_handler::Host(Arc::clone(process))),
        watch::Settings::default(),
        draw.seed,
        process.end.clone(),
    ));
    tokio::spawn(serve_operators(Arc::clone(process), operators));
}

async fn serve_operators(process: Arc<Process>, listener: TcpListener) {
    let service = Service::new(Arc::new(Desk(Arc::clone(&process)))).into_server();
    let served = tonic::transport::Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(TcpIncoming::from(listener), process.end.cancelled())
        .await;
    if let Err(error) = served {
        log::error!(target: "rpc", "Operators are no longer served: {error}.");
    }
}

/// Tells the parts that go by the number of nodes who is there.
async fn watch_members(process: Arc<Process>, mesh: Arc<Mesh>) {
    let mut known = Vec::new();
    loop {
        let members = mesh.members();
        let up = members.iter().filter(|record| record.is_up());
        let mut names: Vec<Arc<str>> = up.map(|record| Arc::clone(&record.name)).collect();
        names.sort_unstable();
        if names != known {
            process.upstreams.with(|table| table.set_nodes(&names));
            process.pool.set_member_count(u32::try_from(names.len()).unwrap_or(u32::MAX));
            known = names;
        }
        // Servers that leave or come back change the node's part, too.
        process.update_doors();
        tokio::select! {
            () = process.end.cancelled() => return,
            () = tokio::time::sleep(MEMBERS_EVERY) => {}
        }
    }
}

/// Carries the stop out; further signals change nothing, and past the limit the
/// process goes all the same.
async fn stop(
    mesh: &Mesh,
    host: &shutdown_handler::Host,
    terminate: &mut Signal,
    interrupt: &mut Signal,
) {
    let settings = &host.process.settings;
    let limit = Duration::from_millis(settings.stop_limit_ms + settings.keep_ms);
    let mut stopping = std::pin::pin!(shutdown_driver::run(mesh, host));
    let mut late = std::pin::pin!(tokio::time::sleep(limit));
    loop {
        tokio::select! {
            () = &mut stopping => return,
            () = &mut late => {
                log::warn!(target: "node", "The stop took too long; the node goes.");
                return;
            }
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!(target: "node", "The node stops already; the signal changes nothing.");
    }
}
