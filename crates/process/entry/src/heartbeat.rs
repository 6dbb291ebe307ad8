//! Tells the other nodes about this one, and hears of them.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::members::Heartbeat;
use crate::members::Standing;
use crate::process::Process;

/// The largest beat, in bytes.
const LARGEST: usize = 1400;

/// Sends a beat to every known node at each interval.
pub(crate) async fn send(process: Rc<Process>, socket: Rc<UdpSocket>) {
    let mut number = 0;
    loop {
        let (known, interval) = {
            let members = process.members.borrow();
            (members.known().to_vec(), members.interval())
        };
        tell(&process, &socket, &known, number).await;
        number += 1;
        tokio::select! {
            () = sleep(interval) => {}
            () = process.stop.notified() => {}
        }
    }
}

/// Sends one beat to `nodes`.
async fn tell(process: &Process, socket: &UdpSocket, nodes: &[IpAddr], number: usize) {
    let settings = &process.settings;
    let beat = Heartbeat {
        name: settings.name.clone(),
        incarnation: process.life,
        caller_address: settings.caller_address,
        data_centre: settings.data_centre.clone(),
        ready: process.is_ready(),
        leaving: process.leaving.get(),
        known: process.members.borrow().named(number),
    };
    let bytes = match rmp_serde::to_vec(&beat) {
        Ok(bytes) => bytes,
        Err(error) => {
            return log::error!(target: "members", error:% = error; "A beat can't be encoded.");
        }
    };
    for ip in nodes {
        let to = SocketAddr::new(*ip, settings.peer_port);
        if let Err(error) = socket.send_to(&bytes, to).await {
            log::debug!(target: "members", "A beat to {to} was not sent: {error}.");
        }
    }
}

/// Takes in the beats of the others.
pub(crate) async fn hear(process: Rc<Process>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; LARGEST];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(target: "members", "A beat was not received: {error}.");
                continue;
            }
        };
        let beat: Heartbeat = match rmp_serde::from_slice(&buffer[..length]) {
            Ok(beat) => beat,
            Err(error) => {
                log::warn!(target: "members", from:% = from, error:% = error; "A beat can't be read.");
                continue;
            }
        };
        let name = beat.name.clone();
        let now = process.clock.now();
        let ip = from.ip();
        let (before, after) = {
            let mut members = process.members.borrow_mut();
            (members.hear(now, ip, beat), members.standing(now, ip))
        };
        if before != after {
            log::info!(target: "members", node = name.as_ref(), before:? = before, now:? = after; "A node's standing changed.");
        }
        if before == Standing::Silent {
            crate::follow::share(&process);
        }
    }
}
