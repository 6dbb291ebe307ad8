//! Tells other nodes of requests that may end servers: at once after a change, to all nodes, and
//! again with the heartbeats, since datagrams are lost. Nothing is sent while no request is
//! suspected.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::breaks;
use crate::members::HEARTBEAT_INTERVAL;
use crate::process::Process;
use poison::notice::Notice;

/// Begins a datagram with notices. MessagePack does not use this byte, so no heartbeat begins
/// with it.
const MARK: u8 = 0xc1;
/// The minimum interval between two messages.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// The delay after which a message about a change is repeated, in case it was lost.
const REPEAT_DELAY: Duration = Duration::from_millis(50);
/// The interval between checks while no request is suspected: shorter than the time for which a
/// change that another node reports is repeated.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// Notices without recent changes are repeated once in so many heartbeats.
const STALE_INTERVALS: u64 = 10;

/// Sends notices for as long as the process runs.
pub(crate) async fn send(process: Rc<Process>, socket: Rc<UdpSocket>) {
    let mut repeats = false;
    for number in 0.. {
        let is_empty = process.ledger.borrow().is_empty();
        let wait = match (repeats, is_empty) {
            (true, _) => REPEAT_DELAY,
            (false, false) => HEARTBEAT_INTERVAL,
            (false, true) => IDLE_INTERVAL,
        };
        let is_change = tokio::select! {
            () = process.ledger_changed.notified() => true,
            () = sleep(wait) => false,
        };
        let has_changed = is_change || repeats;
        repeats = is_change;
        if process.ledger.borrow().is_empty() {
            continue;
        }
        send_to_targets(&process, &socket, number, has_changed).await;
        sleep(MIN_INTERVAL).await;
    }
}

async fn send_to_targets(process: &Process, socket: &UdpSocket, number: u64, has_changed: bool) {
    let now = process.clock.now();
    let notices = {
        let mut ledger = process.ledger.borrow_mut();
        ledger.expire(now);
        process.metrics.record_blocked_requests(ledger.blocked(now).count());
        if !has_changed && !ledger.is_fresh(now) && !number.is_multiple_of(STALE_INTERVALS) {
            return;
        }
        ledger.notices(now, number)
    };
    let Some(datagram) = encode(&notices) else { return };
    for ip in targets(process, number, has_changed) {
        send_datagram(process, socket, &datagram, ip).await;
    }
}

/// Tells a node that has just appeared.
pub(crate) async fn send_to_one(process: &Process, socket: &UdpSocket, ip: IpAddr) {
    let notices = process.ledger.borrow().notices(process.clock.now(), 0);
    if let Some(datagram) = encode(&notices) {
        send_datagram(process, socket, &datagram, ip).await;
    }
}

async fn send_datagram(process: &Process, socket: &UdpSocket, datagram: &[u8], ip: IpAddr) {
    let to = SocketAddr::new(ip, process.settings.peer_port);
    if let Err(error) = socket.send_to(datagram, to).await {
        log::debug!(target: "poison", "Notices to {to} were not sent: {error}.");
    }
}

/// A datagram with notices, if there are any.
fn encode(notices: &[Notice]) -> Option<Vec<u8>> {
    if notices.is_empty() {
        return None;
    }
    let mut datagram = vec![MARK];
    match rmp_serde::encode::write(&mut datagram, notices) {
        Ok(()) => Some(datagram),
        Err(error) => {
            log::error!(target: "poison", error:% = error; "Notices can't be encoded.");
            None
        }
    }
}

/// All nodes after a change, else those that get a heartbeat.
fn targets(process: &Process, number: u64, has_changed: bool) -> Vec<IpAddr> {
    let members = process.members.borrow();
    if has_changed {
        return members.addresses();
    }
    let serving = process.role.borrow().is_serving();
    members.targets(process.clock.now(), number, serving, process.leaving.get())
}

/// Handles a datagram of another node; returns whether it holds notices.
pub(crate) fn on_datagram(process: &Process, from: SocketAddr, datagram: &[u8]) -> bool {
    let Some((&MARK, bytes)) = datagram.split_first() else { return false };
    let notices: Vec<Notice> = match rmp_serde::from_slice(bytes) {
        Ok(notices) => notices,
        Err(error) => {
            log::warn!(target: "poison", from:% = from, error:% = error; "Notices can't be decoded.");
            return true;
        }
    };
    for notice in &notices {
        let change = process.ledger.borrow_mut().on_notice(process.clock.now(), notice);
        breaks::report(process, notice.identity, change);
    }
    if process.ledger.borrow_mut().take_cleared() {
        process.ledger_changed.notify_one();
    }
    true
}
