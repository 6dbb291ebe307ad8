//! Finds out whether a server has ended after a request to it broke off: then no connection to it
//! is open, and new ones are refused or not accepted.
//!
//! A node that has lost its path to the servers can't tell, and takes no server for ended.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::exchange::CallerRequest;
use crate::process::Process;
use base::entity::Server;
use poison::identity::Identity;

/// The time in which the other connections to a server that has ended are closed too.
const CLOSING_TIME: Duration = Duration::from_millis(10);
/// The maximum number of requests that are kept for one server.
const MAX_REQUESTS: usize = 64;

/// The requests that broke off at servers which may have ended.
pub(crate) type Breaks = HashMap<Server, Vec<Identity>>;

/// Takes note that a request broke off at `server`; checks the server unless that is under way.
pub(crate) fn on_break(process: &Rc<Process>, request: &CallerRequest, server: Server) {
    let identity = request.identity();
    let mut breaks = process.breaks.borrow_mut();
    if let Some(requests) = breaks.get_mut(&server) {
        if requests.len() < MAX_REQUESTS && !requests.contains(&identity) {
            requests.push(identity);
        }
        return;
    }
    breaks.insert(server, vec![identity]);
    spawn_local(check(Rc::clone(process), server));
}

async fn check(process: Rc<Process>, server: Server) {
    sleep(CLOSING_TIME).await;
    let has_ended = process.pool.has_ended(server).await && process.has_path();
    let Some(requests) = process.breaks.borrow_mut().remove(&server) else { return };
    if !has_ended {
        return;
    }
    process.metrics.record_ended_server();
    let names: Vec<String> = requests.iter().map(ToString::to_string).collect();
    log::info!(target: "servers", server = process.server_id(server).as_ref(), requests = names.join(", "); "A server ended while requests ran there.");
}
