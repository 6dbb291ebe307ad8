//! Callers that open connections to a node until it has stopped.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::deployed::Cluster;
use crate::deployed::request;
use fakes::http;
use fakes::instance::Behavior;
use fakes::wait::with_timeout;

mod deployed;

/// The number of callers, each of which opens a connection for each request.
const CALLERS: usize = 24;
/// How long the servers take, so that requests are in progress whenever the node exits.
const SERVICE_TIME: Duration = Duration::from_millis(30);

/// Guards against requests on connections that are accepted while the node closes the others:
/// it passed them on to a server and exited before the reply.
#[tokio::test(flavor = "multi_thread")]
async fn request_on_a_connection_opened_at_the_end_is_answered_or_not_read() {
    let cluster = Cluster::start();
    let mut node = cluster.start_ready_node().await;
    cluster
        .servers_of("plain")
        .for_each(|server| server.set_behavior(Behavior::Slow(SERVICE_TIME)));
    let answered: Arc<Mutex<HashSet<String>>> = Arc::default();
    let address = node.caller_address;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let answered = Arc::clone(&answered);
            tokio::spawn(async move {
                for number in 0.. {
                    let id = format!("c{caller}-{number}");
                    let result = http::send(address, request(&id, "GET", "/view/x", "")).await;
                    if result.is_ok() {
                        answered.lock().insert(id);
                    } else if tokio::net::TcpStream::connect(address).await.is_err() {
                        return;
                    }
                }
            })
        })
        .collect();
    tokio::time::sleep(SERVICE_TIME * 10).await;
    node.terminate().await;
    assert!(node.wait_for_exit().await);
    for caller in callers {
        with_timeout("a caller ends", caller).await.expect("no panic");
    }
    let answered = answered.lock();
    let ran = cluster.servers_of("plain").flat_map(|server| server.runs());
    let cut: Vec<String> = ran.map(|run| run.id).filter(|id| !answered.contains(id)).collect();
    assert!(cut.is_empty(), "ran and not answered: {cut:?}");
}
