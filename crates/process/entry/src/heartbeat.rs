//! Sends heartbeats to the other nodes and receives theirs, over UDP.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::members::Heartbeat;
use crate::members::Status;
use crate::process::Process;

/// The maximum size of a heartbeat.
const MAX_HEARTBEAT_BYTES: usize = 1400;

/// Sends heartbeats to all nodes at each interval, and once when shutdown starts.
pub(crate) async fn send(process: Rc<Process>, socket: Rc<UdpSocket>) {
    let mut number = 0;
    loop {
        let (addresses, interval) = {
            let members = process.members.borrow();
            (members.addresses().to_vec(), members.heartbeat_interval())
        };
        send_to(&process, &socket, &addresses, number).await;
        number += 1;
        tokio::select! {
            () = sleep(interval) => {}
            () = process.shutdown_started.notified() => {}
        }
    }
}

/// Sends heartbeat `number` to `nodes`.
async fn send_to(process: &Process, socket: &UdpSocket, nodes: &[IpAddr], number: usize) {
    let settings = &process.settings;
    let heartbeat = Heartbeat {
        name: settings.name.clone(),
        incarnation: process.incarnation,
        caller_address: settings.caller_address,
        data_centre: settings.data_centre.clone(),
        ready: process.is_ready(),
        leaving: process.leaving.get(),
        known: process.members.borrow().addresses_to_send(number),
    };
    let bytes = match rmp_serde::to_vec(&heartbeat) {
        Ok(bytes) => bytes,
        Err(error) => {
            return log::error!(target: "members", error:% = error; "A heartbeat can't be encoded.");
        }
    };
    for ip in nodes {
        let to = SocketAddr::new(*ip, settings.peer_port);
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
        let heartbeat: Heartbeat = match rmp_serde::from_slice(&buffer[..length]) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                log::warn!(target: "members", from:% = from, error:% = error; "A heartbeat can't be decoded.");
                continue;
            }
        };
        let name = heartbeat.name.clone();
        let now = process.clock.now();
        let ip = from.ip();
        let (before, after) = {
            let mut members = process.members.borrow_mut();
            (members.on_heartbeat(now, ip, heartbeat), members.status(now, ip))
        };
        if before != after {
            log::info!(target: "members", node = name.as_ref(), before:? = before, now:? = after; "A node's status changed.");
        }
        if before == Status::Silent {
            crate::watcher::update_shares(&process);
        }
    }
}
