//! All upstream servers of one process.
//!
//! Invariant: the names of the servers and the shard maps never change.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::http;
use crate::upstream::Action;
use crate::upstream::Fault;
use crate::upstream::Runs;
use crate::upstream::Settings;
use crate::upstream::Stats;
use crate::upstream::control;
use crate::upstream::endpoint::Endpoint;
use crate::upstream::server::Faults;
use crate::upstream::server::Server;
use conf::object::Group;
use conf::object::Map;
use wire::id::Snapshot;
use wire::upstream::ShardCopy;

/// Running servers, which stop when this is dropped.
#[derive(Debug)]
pub struct Fleet {
    control_address: SocketAddr,
    state: Arc<SharedState>,
    _stop: DropGuard,
}

/// State that the control port and the fleet share.
#[derive(Debug)]
pub(super) struct SharedState {
    endpoints: Vec<Arc<Endpoint>>,
    maps: BTreeMap<Arc<str>, Map>,
    runs: Arc<Mutex<Runs>>,
}

impl Fleet {
    /// Starts all servers as tasks of the current runtime.
    ///
    /// # Errors
    ///
    /// If a port can't be bound.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let state = Arc::new(SharedState::start(&settings)?);
        let listener = http::bind(SocketAddr::new(settings.ip, settings.control_port))?;
        let control_address = listener.local_addr()?;
        let stop = CancellationToken::new();
        tokio::spawn(control::serve(listener, state.clone(), stop.clone()));
        log::info!(target: "fakes", "{} servers, control at {control_address}", state.endpoints.len());
        Ok(Self { control_address, state, _stop: stop.drop_guard() })
    }

    /// The address of the control port.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// The shard maps by name, as at the start.
    pub fn maps(&self) -> &BTreeMap<Arc<str>, Map> {
        &self.state.maps
    }

    /// The counters by server name.
    pub fn stats(&self) -> BTreeMap<Arc<str>, Stats> {
        self.state.stats()
    }

    /// How often each non-idempotent request started to run.
    pub fn runs(&self) -> Runs {
        self.state.runs()
    }

    /// Applies a fault, as `PUT /fault` does, and returns the number of servers
    /// that it matched.
    ///
    /// # Errors
    ///
    /// If a server's port can't be bound again.
    pub async fn inject_fault(&self, fault: Fault) -> io::Result<usize> {
        self.state.inject_fault(&fault).await
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.state.endpoints.iter().for_each(|endpoint| endpoint.stop());
    }
}

impl SharedState {
    fn start(settings: &Settings) -> io::Result<Self> {
        let runs = Arc::new(Mutex::default());
        let mut endpoints = Vec::new();
        let mut maps = BTreeMap::new();
        for service in &settings.services {
            let service = Arc::new(service.clone());
            let mut map = Map { service: service.name.clone(), groups: Vec::new() };
            for shard in service.first_shard..service.first_shard + service.groups {
                let mut group = Group { servers: Vec::new() };
                for replica in 0..service.replicas {
                    let port = next_port(settings.base_port, endpoints.len())?;
                    let listener = http::bind(SocketAddr::new(settings.ip, port))?;
                    let address = listener.local_addr()?;
                    let name: Arc<str> = Arc::from(format!("{}-{shard}-{replica}", service.name));
                    let centres = service.data_centres.len().max(1);
                    let centre = service.data_centres.get(replica as usize % centres);
                    let data_centre = centre.cloned().unwrap_or_else(|| Arc::from("a"));
                    group.servers.push(conf::object::Server {
                        name: name.clone(),
                        address,
                        data_centre,
                    });
                    let server = Server::new(
                        name,
                        address,
                        service.clone(),
                        shard,
                        settings.seed,
                        Arc::clone(&runs),
                    );
                    let endpoint = Arc::new(Endpoint::new(Arc::new(server)));
                    endpoint.serve(listener);
                    endpoints.push(endpoint);
                }
                map.groups.push(group);
            }
            maps.insert(service.map.clone(), map);
        }
        Ok(Self { endpoints, maps, runs })
    }

    pub(super) fn maps(&self) -> &BTreeMap<Arc<str>, Map> {
        &self.maps
    }

    pub(super) fn stats(&self) -> BTreeMap<Arc<str>, Stats> {
        let servers = self.endpoints.iter().map(|endpoint| &endpoint.server);
        servers.map(|server| (server.name.clone(), server.inner.lock().stats.clone())).collect()
    }

    pub(super) fn runs(&self) -> Runs {
        self.runs.lock().clone()
    }

    pub(super) async fn inject_fault(&self, fault: &Fault) -> io::Result<usize> {
        log::info!(target: "fakes", "fault {fault:?}");
        let matching: Vec<_> =
            self.endpoints.iter().filter(|endpoint| fault.matches(&endpoint.server.name)).collect();
        for endpoint in &matching {
            apply(endpoint, &fault.action).await?;
        }
        Ok(matching.len())
    }
}

fn next_port(base: u16, index: usize) -> io::Result<u16> {
    if base == 0 {
        return Ok(0);
    }
    let port = u16::try_from(index).ok().and_then(|index| base.checked_add(index));
    port.ok_or_else(|| io::Error::other("more servers than ports"))
}

async fn apply(endpoint: &Arc<Endpoint>, action: &Action) -> io::Result<()> {
    match action {
        Action::Silent => endpoint.silence_connections(),
        Action::Drop => endpoint.abandon_connections(),
        Action::Freeze => endpoint.set_frozen(true),
        Action::Kill => endpoint.kill().await,
        Action::Restart => return endpoint.restart().await,
        Action::Heal => {
            endpoint.set_frozen(false);
            endpoint.server.inner.lock().faults = Faults::default();
        }
        _ => set_fault(&endpoint.server, action),
    }
    Ok(())
}

fn set_fault(server: &Server, action: &Action) {
    let mut inner = server.inner.lock();
    let faults = &mut inner.faults;
    match action {
        Action::Late { ms, replies } => faults.late = Some((Duration::from_millis(*ms), *replies)),
        Action::Swap { replies } => faults.swap = *replies,
        Action::Cut { replies } => faults.cut = *replies,
        Action::Newer { replies } => faults.newer = *replies,
        Action::Shed { requests } => faults.shed = *requests,
        Action::Lose { replies } => faults.lose = *replies,
        Action::Slow { factor } => faults.slow = Some(*factor),
        Action::Misreport { load } => faults.misreport = Some(*load),
        Action::Lag { ms } => faults.lag = Duration::from_millis(*ms),
        Action::Drain => inner.draining = true,
        Action::Hold { holds } => inner.holds.clone_from(holds),
        Action::AddVersion { version } => {
            let copies = inner.holds.iter().map(|copy| at_version(copy, *version));
            let mut added: Vec<_> = copies.collect();
            added.retain(|copy| !inner.holds.contains(copy));
            added.dedup();
            inner.holds.extend(added);
        }
        Action::DropVersion { version } => {
            inner.holds.retain(|copy| copy.snapshot.version != *version);
        }
        // These act on sockets, see `apply`.
        Action::Heal
        | Action::Silent
        | Action::Drop
        | Action::Freeze
        | Action::Kill
        | Action::Restart => {}
    }
}

fn at_version(copy: &ShardCopy, version: u64) -> ShardCopy {
    let map = copy.snapshot.map.clone();
    ShardCopy { snapshot: Snapshot { version, map }, shard: copy.shard }
}
