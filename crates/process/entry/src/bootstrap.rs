//! Start during an outage of the registry: a node fetches the registry's state from
//! other nodes, and each node serves its copy.
//!
//! Invariant: a peer's state is used only until the registry's own is received, which
//! then replaces it.

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

/// The timeout of a fetch from a peer; the network time between regions and the transfer
/// of an answer take a tenth of it.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The maximum number of peers that are asked after one failed call.
const MAX_PEERS_ASKED: usize = 6;

/// A node's copy of the registry's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RegistryState {
    /// The newest configuration.
    pub(crate) config: Config,
    /// The servers that may get requests.
    pub(crate) servers: Vec<Entry>,
}

/// Answers a node that asks for the state.
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

/// Asks peers one after another for the registry's state, and applies the first answer.
pub(crate) async fn fetch_from_peers(process: &Process) {
    let peers: Vec<IpAddr> = process.members.borrow().addresses().to_vec();
    for ip in peers.into_iter().take(MAX_PEERS_ASKED) {
        let address = SocketAddr::new(ip, process.settings.peer_port);
        match timeout(FETCH_TIMEOUT, fetch(address)).await {
            Ok(Ok(state)) => {
                log::info!(target: "members", peer:% = ip, version = state.config.version, servers = state.servers.len(); "The registry's state was received from a peer.");
                return watcher::apply_peer_state(process, state);
            }
            Ok(Err(error)) => {
                log::debug!(target: "members", "Peer {ip} did not send the registry's state: {error}.")
            }
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
