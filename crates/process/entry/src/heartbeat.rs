//! Sends heartbeats to the other nodes and receives theirs, over UDP.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::limits;
use crate::loans;
use crate::members::HEARTBEAT_INTERVAL;
use crate::members::Heartbeat;
use crate::members::Status;
use crate::members::is_slow;
use crate::notices;
use crate::pace;
use crate::pace::Pace;
use crate::process::Process;
use crate::serving::Own;
use crate::usage;
use crate::watcher;
use base::time::Time;
use share::part;

/// The maximum size of a heartbeat.
const MAX_HEARTBEAT_BYTES: usize = 1400;

/// Sends to servers that name a limit are logged once in so many intervals: once in
/// [`share::limit::REPORT_SPAN`].
const LIMIT_REPORT_INTERVALS: u64 = 10;

/// The weight of the last interval in the rate of sends.
const RATE_WEIGHT: f64 = 0.2;

/// Decides this node's role and sends heartbeats at each interval, and once when shutdown
/// starts.
pub(crate) async fn send(process: Rc<Process>, socket: Rc<UdpSocket>) {
    let mut number = 0;
    let mut rate = Rate::default();
    let mut pace = Pace::default();
    loop {
        let now = process.clock.now();
        process.members.borrow_mut().tick(now);
        rate.update(now, process.sends.get());
        process.sends_per_second.set(rate.per_second as u32);
        pace::work();
        pace.observe(process.clock.now().since(now));
        process.slowness.set((pace.slowness() * 100.0) as u32);
        update_role(&process);
        limits::divide(&process);
        usage::divide(&*process);
        loans::update(&process);
        if number % LIMIT_REPORT_INTERVALS == 0 {
            limits::report(&process);
        }
        send_to_targets(&process, &socket, number).await;
        loans::send(&process, &socket).await;
        number += 1;
        tokio::select! {
            () = sleep(HEARTBEAT_INTERVAL) => {}
            () = process.shutdown_started.notified() => {}
            () = process.reach_changed.notified() => {}
        }
    }
}

/// The rate of a counter, averaged over some seconds.
#[derive(Default)]
struct Rate {
    last: Option<(Time, u64)>,
    per_second: f64,
}

impl Rate {
    fn update(&mut self, now: Time, count: u64) {
        let Some((at, before)) = self.last.replace((now, count)) else { return };
        let seconds = now.since(at).as_secs_f64();
        if seconds > 0.0 {
            let rate = (count - before) as f64 / seconds;
            self.per_second += (rate - self.per_second) * RATE_WEIGHT;
        }
    }
}

/// Decides whether this node serves, and applies its shares of the limits if they changed.
fn update_role(process: &Process) {
    // A node that is leaving keeps its shares for the requests that it still has.
    if process.leaving.get() {
        return;
    }
    let changed = {
        let members = process.members.borrow();
        let own = Own {
            ready: process.is_ready(),
            sends_per_second: process.sends_per_second.get(),
            slow: is_slow(process.slowness.get()),
            reach: process.reach.get(),
            path_proven: process.path_proven.get(),
        };
        process.role.borrow_mut().update(process.clock.now(), &members, &own)
    };
    if changed {
        let serving = process.role.borrow().is_serving();
        log::info!(target: "members", serving; "This node's role changed.");
    }
    watcher::update_shares_if_changed(process);
}

/// Sends heartbeat `number`.
async fn send_to_targets(process: &Process, socket: &UdpSocket, number: u64) {
    let settings = &process.settings;
    let (serving, leaving) = (process.role.borrow().is_serving(), process.leaving.get());
    let limits = limits::reports(process);
    let (heartbeat, targets) = {
        let members = process.members.borrow();
        let heartbeat = Heartbeat {
            name: settings.name.clone(),
            incarnation: process.incarnation,
            caller_address: settings.caller_address,
            data_centre: settings.data_centre.clone(),
            capacity: settings.capacity,
            ready: process.is_ready(),
            leaving,
            serving,
            registry_answers: process.registry_answers.get(),
            sends_per_second: process.sends_per_second.get(),
            slowness: process.slowness.get(),
            known: members.known_to_send(number),
            departures: process.departures.borrow_mut().to_send(process.clock.now(), number),
            reach: process.reach.get(),
            has_all_limits: limits.len() <= part::MAX_REPORTS,
            limits: limits.into_iter().take(part::MAX_REPORTS).collect(),
        };
        (heartbeat, members.targets(process.clock.now(), number, serving, leaving))
    };
    let bytes = match rmp_serde::to_vec(&heartbeat) {
        Ok(bytes) => bytes,
        Err(error) => {
            return log::error!(target: "members", error:% = error; "A heartbeat can't be encoded.");
        }
    };
    for ip in targets {
        let to = SocketAddr::new(ip, settings.peer_port);
        if let Err(error) = socket.send_to(&bytes, to).await {
            log::debug!(target: "members", "A heartbeat to {to} was not sent: {error}.");
        }
    }
}

/// Receives the heartbeats of the other nodes.
pub(crate) async fn receive(process: Rc<Process>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MAX_HEARTBEAT_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(target: "members", "A heartbeat was not received: {error}.");
                continue;
            }
        };
        if usage::on_datagram(&*process, from, &buffer[..length]) {
            continue;
        }
        if loans::on_datagram(&process, from, &buffer[..length]) {
            continue;
        }
        if notices::on_datagram(&process, from, &buffer[..length]) {
            continue;
        }
        let heartbeat: Heartbeat = match rmp_serde::from_slice(&buffer[..length]) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                log::warn!(target: "members", from:% = from, error:% = error; "A heartbeat can't be decoded.");
                continue;
            }
        };
        for server in &heartbeat.departures {
            watcher::server_leaves(&process, server);
        }
        limits::on_reports(&process, &heartbeat.limits);
        let name = heartbeat.name.clone();
        let now = process.clock.now();
        let ip = from.ip();
        let (before, after) = {
            let mut members = process.members.borrow_mut();
            (members.on_heartbeat(now, ip, heartbeat), members.status(now, ip))
        };
        if before == Status::Silent {
            // It may have just started.
            notices::send_to_one(&process, &socket, ip).await;
        }
        if before != after {
            log::info!(target: "members", node = name.as_ref(), before:? = before, now:? = after; "A node's status changed.");
        }
    }
}
