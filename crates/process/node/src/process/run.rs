//! Starts a node, runs it, and performs its planned stop.

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

use crate::connection::http_server::Handler;
use crate::connection::http_server::HttpServer;
use crate::process::experiments;
use crate::process::health;
use crate::process::operator_handler::OperatorHandler;
use crate::process::pause;
use crate::process::peer_handler::PeerHandler;
use crate::process::platform_handler::PlatformHandler;
use crate::process::shutdown_handler::ShutdownHandler;
use crate::process::state::Identity;
use crate::process::state::Process;
use conf::settings::Settings;
use peer::mesh;
use peer::mesh::Mesh;
use peer::record::Addresses;
use peer::shutdown_driver;
use rpc::service::Service;
use store::watch;
use wire::id::Incarnation;

/// The time between two checks of the members.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(250);

/// The reason why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listening socket can't be opened.
    #[error("cannot listen at {address} ({setting}): {source}")]
    Listen {
        /// The setting that the address comes from.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The metrics can't be set up.
    #[error("cannot set up the metrics: {0}")]
    Metrics(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// The signal handlers can't be installed.
    #[error("cannot wait for signals: {0}")]
    Signal(io::Error),
}

/// What a started node prints on standard output, as one JSON line.
#[derive(Clone, Debug, Serialize)]
pub struct Started {
    /// Its name.
    pub name: Arc<str>,
    /// Its incarnation.
    pub incarnation: String,
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for peers.
    pub peer: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
}

async fn listen(setting: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| Error::Listen { setting, address, source })
}

fn bound_address(listener: &TcpListener, requested: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(requested)
}

/// Runs a node until it has completed a planned stop.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let identity = new_identity(&settings);
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signal)?;
    let caller_listener = listen("caller_address", settings.caller_address).await?;
    let operator_listener = listen("operator_address", settings.operator_address).await?;
    let process = Process::new(settings, identity)?;
    process.pause_detector.tick(process.clock.now());
    let settings = &process.settings;
    let caller = bound_address(&caller_listener, settings.caller_address);
    let operator = bound_address(&operator_listener, settings.operator_address);

    let handler = Arc::clone(&process) as Arc<dyn Handler>;
    let http_server = HttpServer::new(caller_listener, handler).map_err(Error::Signal)?;
    let addresses = Addresses {
        caller: settings.advertise_caller.unwrap_or(caller),
        peer: settings.peer_address,
        operator,
    };
    let mesh = join(&process, addresses, identity).await?;
    spawn_background(&process, &mesh, operator_listener, identity);
    let started = Started {
        name: Arc::clone(&settings.name),
        incarnation: process.incarnation.to_string(),
        caller: http_server.address(),
        peer: mesh.peer_address(),
        operator,
    };
    // The line is for the program that started the process; if that reads no
    // output, nothing is lost.
    println!("{}", serde_json::to_string(&started).unwrap_or_default());
    log::info!(target: "node", "Node {} serves callers at {caller}.", settings.name);

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = process.stop_requested.cancelled() => {}
    }
    log::info!(target: "node", "A planned stop begins.");
    let handler =
        ShutdownHandler { process: Arc::clone(&process), http_server: Arc::new(http_server) };
    run_shutdown(&mesh, &handler, &mut terminate, &mut interrupt).await;
    handler.http_server.shut_down().await;
    process.background_tasks.cancel();
    log::info!(target: "node", "Stopped.");
    Ok(())
}

/// Chooses a new random incarnation, and the seed unless the settings have one.
fn new_identity(settings: &Settings) -> Identity {
    let incarnation = Incarnation(rand::random());
    Identity { incarnation, seed: settings.seed.unwrap_or(incarnation.0) }
}

async fn join(
    process: &Arc<Process>,
    addresses: Addresses,
    identity: Identity,
) -> Result<Arc<Mesh>, Error> {
    let settings = &process.settings;
    let mut mesh_settings = mesh::Settings::new(
        Arc::clone(&settings.name),
        identity.incarnation,
        addresses,
        Arc::clone(&settings.data_centre),
        Arc::clone(&settings.region),
    )
    .with_seeds(settings.seeds.clone());
    mesh_settings.seed = identity.seed;
    mesh_settings.shutdown.lookup_ttl = Duration::from_millis(settings.keep_ms);
    let handler = Arc::new(PeerHandler(Arc::clone(process)));
    let mesh = Mesh::start(mesh_settings, handler, process.background_tasks.clone())
        .await
        .map_err(|source| Error::Listen {
            setting: "peer_address",
            address: settings.peer_address,
            source,
        })?;
    process.set_mesh(Arc::clone(&mesh));
    let weak_mesh = Arc::downgrade(&mesh);
    process.upstreams.set_on_withdrawals(Arc::new(move |withdrawals| {
        let Some(mesh) = weak_mesh.upgrade() else { return };
        for withdrawal in withdrawals {
            mesh.announce_withdrawal(withdrawal.server, withdrawal.incarnation);
        }
    }));
    Ok(mesh)
}

/// Starts the background tasks.
fn spawn_background(
    process: &Arc<Process>,
    mesh: &Arc<Mesh>,
    listener: TcpListener,
    identity: Identity,
) {
    let pool = process.pool.clone();
    let background = process.background_tasks.clone();
    tokio::spawn(async move { pool.run(background).await });
    tokio::spawn(health::run(Arc::clone(process)));
    tokio::spawn(pause::run(Arc::clone(process)));
    tokio::spawn(experiments::guard(Arc::clone(process)));
    tokio::spawn(watch_members(Arc::clone(process), Arc::clone(mesh)));
    tokio::spawn(store::watcher::run(
        Arc::clone(&process.store) as Arc<dyn store::api::Store>,
        Arc::new(PlatformHandler(Arc::clone(process))),
        watch::Settings::default(),
        identity.seed,
        process.background_tasks.clone(),
    ));
    tokio::spawn(serve_operators(Arc::clone(process), listener));
}

async fn serve_operators(process: Arc<Process>, listener: TcpListener) {
    let service = Service::new(Arc::new(OperatorHandler(Arc::clone(&process)))).into_server();
    let served = tonic::transport::Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(
            TcpIncoming::from(listener),
            process.background_tasks.cancelled(),
        )
        .await;
    if let Err(error) = served {
        log::error!(target: "rpc", "The operator service failed: {error}.");
    }
}

/// Passes the nodes that are up to the components that share capacity among them.
async fn watch_members(process: Arc<Process>, mesh: Arc<Mesh>) {
    let mut current = Vec::new();
    loop {
        let members = mesh.members();
        let up = members.iter().filter(|record| record.is_up());
        let mut names: Vec<Arc<str>> = up.map(|record| Arc::clone(&record.name)).collect();
        names.sort_unstable();
        if names != current {
            process.upstreams.with(|table| table.set_nodes(&names));
            process.pool.set_member_count(u32::try_from(names.len()).unwrap_or(u32::MAX));
            current = names;
        }
        // Servers that are withdrawn or return change this node's share, too.
        process.update_limiters();
        tokio::select! {
            () = process.background_tasks.cancelled() => return,
            () = tokio::time::sleep(MEMBERS_INTERVAL) => {}
        }
    }
}

/// Performs the planned stop. Further signals are ignored; past the time limit the
/// process exits without completing it.
async fn run_shutdown(
    mesh: &Mesh,
    handler: &ShutdownHandler,
    terminate: &mut Signal,
    interrupt: &mut Signal,
) {
    let settings = &handler.process.settings;
    let limit = Duration::from_millis(settings.stop_limit_ms + settings.keep_ms);
    let mut shutdown = std::pin::pin!(shutdown_driver::run(mesh, handler));
    let mut timeout = std::pin::pin!(tokio::time::sleep(limit));
    loop {
        tokio::select! {
            () = &mut shutdown => return,
            () = &mut timeout => {
                log::warn!(target: "node", "The planned stop exceeded its time limit; the process exits.");
                return;
            }
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!(target: "node", "A planned stop is in progress; the signal is ignored.");
    }
}
