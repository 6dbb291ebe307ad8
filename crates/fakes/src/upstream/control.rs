//! The control port of a fleet: sets faults, returns counters and shard maps.
//!
//! Invariant: `PUT /fault` is answered after the fault has taken effect.

use std::io;
use std::sync::Arc;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::http;
use crate::http::Reply;
use crate::upstream::Fault;
use crate::upstream::fleet::SharedState;

/// One fault or several.
#[derive(Deserialize)]
#[serde(untagged)]
enum Faults {
    One(Fault),
    Many(Vec<Fault>),
}

pub(super) async fn serve(listener: TcpListener, state: Arc<SharedState>, stop: CancellationToken) {
    http::serve(listener, stop, move |request| answer(state.clone(), request)).await;
}

async fn answer(state: Arc<SharedState>, request: Request<Incoming>) -> io::Result<Reply> {
    Ok(match (request.method(), request.uri().path()) {
        (&Method::GET, "/maps") => http::json(StatusCode::OK, state.maps()),
        (&Method::GET, "/stats") => http::json(StatusCode::OK, &state.stats()),
        (&Method::GET, "/runs") => http::json(StatusCode::OK, &state.runs()),
        (&Method::PUT, "/fault") => put_fault(&state, request).await,
        _ => http::text(StatusCode::NOT_FOUND, "no such path"),
    })
}

async fn put_fault(state: &SharedState, request: Request<Incoming>) -> Reply {
    let faults = match http::read_json(request.into_body()).await {
        Ok(Faults::One(fault)) => vec![fault],
        Ok(Faults::Many(faults)) => faults,
        Err(response) => return *response,
    };
    let mut matched = 0;
    for fault in &faults {
        match state.inject_fault(fault).await {
            Ok(servers) => matched += servers,
            Err(error) => {
                return http::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string());
            }
        }
    }
    let status = if matched == 0 { StatusCode::NOT_FOUND } else { StatusCode::OK };
    http::json(status, &serde_json::json!({ "servers": matched }))
}
