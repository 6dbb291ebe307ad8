//! All servers of one process.
//!
//! Invariant: names and maps never change; only what a server does.

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
use crate::upstream::server::Faults;
use crate::upstream::server::Server;
use crate::upstream::shell::Shell;
use conf::object::Group;
use conf::object::Map;
use wire::id::Snapshot;
use wire::upstream::ShardCopy;

/// Running servers; they stop when dropped.
#[derive(Debug)]
pub struct Fleet {
    control_address: SocketAddr,
    hosts: Arc<Hosts>,
    _stop: DropGuard,
}

/// What the control port and the fleet share.
#[derive(Debug)]
pub(super) struct Hosts {
    shells: Vec<Arc<Shell>>,
    maps: BTreeMap<Arc<str>, Map>,
    runs: Arc<Mutex<Runs>>,
}

impl Fleet {
    /// Starts all servers as tasks of the present runtime.
    ///
    /// # Errors
    ///
    /// If a port can't be bound.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let hosts = Arc::new(Hosts::start(&settings)?);
        let listener = http::bind(SocketAddr::new(settings.ip, settings.control_port))?;
        let control_address = listener.local_addr()?;
        let stop = CancellationToken::new();
        tokio::spawn(control::serve(listener, hosts.clone(), stop.clone()));
        log::info!(target: "fakes", "{} servers, control at {control_address}", hosts.shells.len());
        Ok(Self { control_address, hosts, _stop: stop.drop_guard() })
    }

    /// Where the control port listens.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// The shard maps by name, as they were at the start.
    pub fn maps(&self) -> &BTreeMap<Arc<str>, Map> {
        &self.hosts.maps
    }

    /// The counters by server name.
    pub fn stats(&self) -> BTreeMap<Arc<str>, Stats> {
        self.hosts.stats()
    }

    /// How often each non-idempotent request began to run.
    pub fn runs(&self) -> Runs {
        self.hosts.runs()
    }

    /// Does what `PUT /fault` does; tells how many servers it met.
    ///
    /// # Errors
    ///
    /// If a server's port can't be bound again.
    pub async fn inject_fault(&self, fault: Fault) -> io::Result<usize> {
        self.hosts.inject_fault(&fault).await
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.shells.iter().for_each(|shell| shell.stop());
    }
}

impl Hosts {
    fn start(settings: &Settings) -> io::Result<Self> {
        let runs = Arc::new(Mutex::default());
        let mut shells = Vec::new();
        let mut maps = BTreeMap::new();
        for service in &settings.services {
            let service = Arc::new(service.clone());
            let mut map = Map { service: service.name.clone(), groups: Vec::new() };
            for shard in service.first_shard..service.first_shard + service.groups {
                let mut group = Group { servers: Vec::new() };
                for replica in 0..service.replicas {
                    let port = next_port(settings.base_port, shells.len())?;
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
                    let shell = Arc::new(Shell::new(Arc::new(server)));
                    shell.serve(listener);
                    shells.push(shell);
                }
                map.groups.push(group);
            }
            maps.insert(service.map.clone(), map);
        }
        Ok(Self { shells, maps, runs })
    }

    pub(super) fn maps(&self) -> &BTreeMap<Arc<str>, Map> {
        &self.maps
    }

    pub(super) fn stats(&self) -> BTreeMap<Arc<str>, Stats> {
        let servers = self.shells.iter().map(|shell| &shell.server);
        servers.map(|server| (server.name.clone(), server.inner.lock().stats.clone())).collect()
    }

    pub(super) fn runs(&self) -> Runs {
        self.runs.lock().clone()
    }

    pub(super) async fn inject_fault(&self, fault: &Fault) -> io::Result<usize> {
        log::info!(target: "fakes", "fault {fault:?}");
        let met: Vec<_> =
            self.shells.iter().filter(|shell| fault.names(&shell.server.name)).collect();
        for shell in &met {
            act(shell, &fault.action).await?;
        }
        Ok(met.len())
    }
}

fn next_port(base: u16, index: usize) -> io::Result<u16> {
    if base == 0 {
        return Ok(0);
    }
    let port = u16::try_from(index).ok().and_then(|index| base.checked_add(index));
    port.ok_or_else(|| io::Error::other("more servers than ports"))
}

async fn act(shell: &Arc<Shell>, action: &Action) -> io::Result<()> {
    match action {
        Action::Silent => shell.silence(),
        Action::Drop => shell.forget(),
        Action::Freeze => shell.freeze(true),
        Action::Kill => shell.kill().await,
        Action::Restart => return shell.restart().await,
        Action::Heal => {
            shell.freeze(false);
            shell.server.inner.lock().faults = Faults::default();
        }
        _ => set(&shell.server, action),
    }
    Ok(())
}

fn set(server: &Server, action: &Action) {
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
            let moved = inner.holds.iter().map(|holding| at_version(holding, *version));
            let mut added: Vec<_> = moved.collect();
            added.retain(|holding| !inner.holds.contains(holding));
            added.dedup();
            inner.holds.extend(added);
        }
        Action::DropVersion { version } => {
            inner.holds.retain(|holding| holding.snapshot.version != *version);
        }
        // These reach the sockets, see `act`.
        Action::Heal
        | Action::Silent
        | Action::Drop
        | Action::Freeze
        | Action::Kill
        | Action::Restart => {}
    }
}

fn at_version(holding: &ShardCopy, version: u64) -> ShardCopy {
    let map = holding.snapshot.map.clone();
    ShardCopy { snapshot: Snapshot { version, map }, shard: holding.shard }
}
