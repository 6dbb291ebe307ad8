//! Gives what this node knows of the registry to a node that starts while the
//! registry is away, and asks for it.
//!
//! Invariant: what a peer told is only taken while the registry has told nothing;
//! the registry's own list then replaces it.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::process::Process;
use crate::serve;
use crate::serve::Answer;
use crate::upstream;
use crate::watcher;
use site::config::Config;
use site::register::Entry;

/// The longest time that a peer is waited for: ways between regions and the size
/// of an answer take a tenth of it.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Peers that are asked in one round.
const MAX_PEERS_ASKED: usize = 6;

/// What a node knows of the registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RegistryState {
    /// The newest version.
    pub(crate) config: Config,
    /// The servers that may get work.
    pub(crate) servers: Vec<Entry>,
}

/// Answers a node that asks.
pub(crate) fn handle(process: &Process, _request: &Request<Incoming>) -> Answer {
    let Some(config) = process.config.borrow().clone() else {
        return serve::empty_answer(StatusCode::SERVICE_UNAVAILABLE, None);
    };
    if !process.has_server_list.get() {
        return serve::empty_answer(StatusCode::SERVICE_UNAVAILABLE, None);
    }
    let servers = process.fleet.borrow().entries().cloned().collect();
    match rmp_serde::to_vec(&RegistryState { config, servers }) {
        Ok(bytes) => Answer::new(Full::new(Bytes::from(bytes))),
        Err(error) => {
            log::error!(target: "members", error:% = error; "The registry's state can't be encoded.");
            serve::empty_answer(StatusCode::INTERNAL_SERVER_ERROR, None)
        }
    }
}

/// Asks the peers for what the registry does not tell; takes the first answer.
pub(crate) async fn fetch_from_peers(process: &Process) {
    let peers: Vec<IpAddr> = process.members.borrow().addresses().to_vec();
    for ip in peers.into_iter().take(MAX_PEERS_ASKED) {
        let address = SocketAddr::new(ip, process.settings.peer_port);
        match timeout(FETCH_TIMEOUT, fetch(address)).await {
            Ok(Ok(state)) => {
                log::info!(target: "members", peer:% = ip, version = state.config.version, servers = state.servers.len(); "A peer told the registry's state.");
                return watcher::apply_peer_state(process, state);
            }
            Ok(Err(error)) => log::debug!(target: "members", "Peer {ip} told nothing: {error}."),
            Err(_) => log::debug!(target: "members", "Peer {ip} did not answer in time."),
        }
    }
}

async fn fetch(address: SocketAddr) -> Result<RegistryState, Box<dyn std::error::Error>> {
    let (mut sender, connection) = upstream::connect(address).await?;
    let connection_task = spawn_local(connection);
    let mut request = Request::new(Full::new(Bytes::new()));
    let host = hyper::http::HeaderValue::from_str(&address.to_string())?;
    request.headers_mut().insert(hyper::header::HOST, host);
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(format!("status {}", response.status()).into());
    }
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    connection_task.abort();
    Ok(rmp_serde::from_slice(&body)?)
}
