//! Parses the HTTP requests of callers and builds the replies.

use std::sync::Arc;

use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;

use crate::connection::http_server::BoxReply;
use crate::connection::http_server::Handler;
use crate::connection::http_server::Reply;
use crate::connection::respond;
use crate::process::dump;
use crate::process::state::Process;
use crate::request::answer;
use wire::caller;
use wire::caller::EntryNodes;
use wire::caller::Query;
use wire::caller::TicketBlock;

/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

impl Handler for Process {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxReply {
        Box::pin(async move {
            let mut reply = dispatch(&self, request).await;
            if self.closes_after_answer() {
                let close = header::HeaderValue::from_static("close");
                reply.headers_mut().insert(header::CONNECTION, close);
            }
            reply
        })
    }
}

async fn dispatch(process: &Arc<Process>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, caller::QUERY_PATH) => query(process, request).await,
        (&Method::GET, caller::ENTRIES_PATH) => entries(process, request.uri().query()),
        (&Method::GET, caller::HEALTH_PATH) => health(process),
        (&Method::GET, caller::METRICS_PATH) => {
            respond::text(StatusCode::OK, process.metrics.scrape())
        }
        (&Method::GET, caller::DUMP_PATH) => respond::json(StatusCode::OK, &dump::state(process)),
        (&Method::GET, caller::EXPLAIN_PATH) => explain(process, request.uri().query()),
        _ => respond::text(StatusCode::NOT_FOUND, format!("there is no {path}\n")),
    }
}

async fn query(process: &Arc<Process>, request: Request<Incoming>) -> Reply {
    let body = match Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return respond::refusal(&process.invalid(&format!("body: {error}"))),
    };
    let query: Query = match serde_json::from_slice(&body) {
        Ok(query) => query,
        // The message has the line and column of the error.
        Err(error) => return respond::refusal(&process.invalid(&format!("body: {error}"))),
    };
    match answer::Request::new(Arc::clone(process), query).answer().await {
        Ok(answer) => respond::json(StatusCode::OK, &answer),
        Err(refusal) => respond::refusal(&refusal),
    }
}

/// Returns the value of `key` in a query string. No value that is used here needs
/// percent-decoding.
fn parameter<'a>(query: Option<&'a str>, key: &str) -> Option<&'a str> {
    let pairs = query?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(name, _)| *name == key).map(|p| p.1)
}

fn entries(process: &Arc<Process>, query: Option<&str>) -> Reply {
    let locality = parameter(query, "data_centre").map(|data_centre| {
        let region = parameter(query, "region").unwrap_or_default();
        peer::lookup::Locality { data_centre, region }
    });
    let Some(mesh) = process.mesh() else {
        let refusal = process.not_ready("this node has not joined yet");
        return respond::refusal(&refusal);
    };
    let mut entries: EntryNodes = mesh.lookup(locality);
    if let Some(count) = parameter(query, "tickets").and_then(|count| count.parse().ok()) {
        entries.block = Some(mint_block(process, count));
    }
    respond::json(StatusCode::OK, &entries)
}

fn mint_block(process: &Process, count: usize) -> TicketBlock {
    let count = count.min(process.settings.ticket_block as usize);
    let now = process.clock.now();
    let minted = process.tickets.with(|table| table.mint(count, now));
    let keep_ms = u32::try_from(process.settings.ticket_keep_ms).unwrap_or(u32::MAX);
    TicketBlock { tickets: minted.iter().map(ToString::to_string).collect(), keep_ms }
}

fn health(process: &Process) -> Reply {
    let state = if process.is_synced() { "fresh" } else { "not fresh" };
    respond::text(StatusCode::OK, format!("{state}\n"))
}

fn explain(process: &Process, query: Option<&str>) -> Reply {
    let Some(id) = parameter(query, "request") else {
        return respond::text(StatusCode::BAD_REQUEST, "name a request: ?request=ID\n".to_owned());
    };
    match process.traces.get(id) {
        Some(trace) => respond::text(StatusCode::OK, trace),
        None => respond::text(StatusCode::NOT_FOUND, format!("request {id} is not known here\n")),
    }
}
