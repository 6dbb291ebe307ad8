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

use crate::follow;
use crate::process::Process;
use crate::serve;
use crate::serve::Answer;
use crate::upstream;
use site::config::Config;
use site::register::Entry;

/// The longest time that a peer is waited for: ways between regions and the size
/// of an answer take a tenth of it.
const ASK_LIMIT: Duration = Duration::from_millis(500);
/// The largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// Peers that are asked in one round.
const MOST_ASKED: usize = 6;

/// What a node knows of the registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Knowledge {
    /// The newest version.
    pub(crate) config: Config,
    /// The servers that may get work.
    pub(crate) servers: Vec<Entry>,
}

/// Answers a node that asks.
pub(crate) fn answer(process: &Process, _request: &Request<Incoming>) -> Answer {
    let Some(config) = process.config.borrow().clone() else {
        return serve::refusal(StatusCode::SERVICE_UNAVAILABLE, None);
    };
    if !process.servers_known.get() {
        return serve::refusal(StatusCode::SERVICE_UNAVAILABLE, None);
    }
    let servers = process.fleet.borrow().entries().cloned().collect();
    match rmp_serde::to_vec(&Knowledge { config, servers }) {
        Ok(bytes) => Answer::new(Full::new(Bytes::from(bytes))),
        Err(error) => {
            log::error!(target: "members", error:% = error; "The registry's state can't be encoded.");
            serve::refusal(StatusCode::INTERNAL_SERVER_ERROR, None)
        }
    }
}

/// Asks the peers for what the registry does not tell; takes the first answer.
pub(crate) async fn ask(process: &Process) {
    let peers: Vec<IpAddr> = process.members.borrow().known().to_vec();
    for ip in peers.into_iter().take(MOST_ASKED) {
        let address = SocketAddr::new(ip, process.settings.peer_port);
        match timeout(ASK_LIMIT, fetch(address)).await {
            Ok(Ok(knowledge)) => {
                log::info!(target: "members", peer:% = ip, version = knowledge.config.version, servers = knowledge.servers.len(); "A peer told the registry's state.");
                return follow::adopt(process, knowledge);
            }
            Ok(Err(error)) => log::debug!(target: "members", "Peer {ip} told nothing: {error}."),
            Err(_) => log::debug!(target: "members", "Peer {ip} did not answer in time."),
        }
    }
}

async fn fetch(address: SocketAddr) -> Result<Knowledge, Box<dyn std::error::Error>> {
    let (mut sender, connection) = upstream::connect(address).await?;
    let driving = spawn_local(connection);
    let mut request = Request::new(Full::new(Bytes::new()));
    let host = hyper::http::HeaderValue::from_str(&address.to_string())?;
    request.headers_mut().insert(hyper::header::HOST, host);
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(format!("status {}", response.status()).into());
    }
    let body = Limited::new(response.into_body(), ANSWER_LIMIT).collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    driving.abort();
    Ok(rmp_serde::from_slice(&body)?)
}
