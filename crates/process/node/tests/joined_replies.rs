//! Servers whose answer is cut in its head, and is followed by a late copy of the answer to another
//! request: the head of the reply has parts of both.

use std::sync::Arc;

use serde_json::json;

use crate::deployed::Cluster;
use crate::deployed::Node;
use crate::deployed::config;
use crate::deployed::header;
use crate::deployed::record;
use crate::deployed::request;
use fakes::raw::Server;

mod deployed;

/// The answer to another request that the server copies.
#[derive(Clone, Copy, Debug)]
enum Copied {
    Success,
    Refusal,
    /// One that names no request.
    Anonymous,
}

impl Copied {
    const ALL: [Self; 3] = [Self::Success, Self::Refusal, Self::Anonymous];

    fn bytes(self, server: &str) -> Vec<u8> {
        let not_run = "heatherseam-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
        match self {
            Self::Success => answer(server, "other", 7),
            Self::Refusal => {
                let line = "HTTP/1.1 503 Service Unavailable\r\n";
                format!("{line}heatherseam-request-id: other\r\n{not_run}").into_bytes()
            }
            Self::Anonymous => format!("HTTP/1.1 400 Bad Request\r\n{not_run}").into_bytes(),
        }
    }
}

/// A whole answer.
fn answer(server: &str, id: &str, first_byte: u8) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nheatherseam-request-id: {id}\r\n\
         heatherseam-server-stamp: {server}.{id}\r\nheatherseam-server-load: 1,0,4\r\n\
         content-type: text/plain\r\ncontent-length: 16\r\n\r\n"
    );
    [head.as_bytes(), &record(first_byte, 1)].concat()
}

/// The bytes for a request to `/…/CUT/COPIED`: its answer up to byte `CUT`, and the copy.
fn joined(server: &str, path: &str, id: &str) -> Vec<u8> {
    let whole = answer(server, id, 1);
    let mut parts = path.rsplit('/');
    let copied = parts.next().and_then(|index| index.parse().ok());
    let cut = parts.next().and_then(|cut| cut.parse().ok());
    let (Some(copied), Some(cut)) = (copied.and_then(|index: usize| Copied::ALL.get(index)), cut)
    else {
        return whole;
    };
    let cut: usize = cut;
    [&whole[..cut], &copied.bytes(server)].concat()
}

async fn start() -> (Cluster, Node, Vec<Server>) {
    let cluster = Cluster::start();
    cluster.publish();
    let mut servers = Vec::new();
    for id in ["joined-0", "joined-1"] {
        let answer = Arc::new(move |path: &str, request: &str| joined(id, path, request));
        let server = Server::start(id, "joined", answer).await.expect("a server");
        cluster.store.put("servers", server.id(), &server.entry());
        servers.push(server);
    }
    let route = json!([{
        "name": "joined", "host": deployed::HOST, "path_prefix": "/joined/",
        "route_type": "non_idempotent", "timeout_ms": deployed::TIMEOUT_MS, "objective_ms": 2000,
        "priority": 1, "max_attempts": 2, "service": "joined"
    }]);
    let mut config = config(4, route);
    let services = config["services"].as_array_mut().expect("services");
    services.push(json!({ "name": "joined", "max_conns": 25 }));
    cluster.store.put("config", "main", &config);
    let node = cluster.start_node();
    node.wait_until_ready().await;
    (cluster, node, servers)
}

/// Guards against a reply that is put together from two and is taken for the caller's: it would get
/// another caller's body, or be told that its request has not run (review/7).
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_is_cut_in_its_head_and_followed_by_another_is_no_answer() {
    let (_cluster, node, _servers) = start().await;
    let whole = answer("joined-0", "j-000-0", 1);
    let head = whole.len() - 16;
    let mut taken = Vec::new();
    for cut in 1..head {
        for (index, copied) in Copied::ALL.into_iter().enumerate() {
            let id = format!("j-{cut:03}-{index}");
            let path = format!("/joined/{cut}/{index}");
            let answer = node.send(request(&id, "GET", &path, "")).await;
            if answer.status() != 502 || !header(&answer, "heatherseam-server-stamp").is_empty() {
                taken.push((cut, copied, answer.status()));
            }
        }
        // A sound answer in between, so that the servers are not left out.
        node.send(request(&format!("w-{cut:03}"), "GET", "/joined/x", "")).await;
    }
    assert!(taken.is_empty(), "{} answers: {taken:?}", taken.len());
}
