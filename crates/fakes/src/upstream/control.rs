//! The control port of a fleet: faults in, counters out.
//!
//! Invariant: the answer to `PUT /fault` comes after the fault is in force.

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
use crate::upstream::fleet::Hosts;

/// One fault or several.
#[derive(Deserialize)]
#[serde(untagged)]
enum Faults {
    One(Fault),
    Many(Vec<Fault>),
}

pub(super) async fn serve(listener: TcpListener, hosts: Arc<Hosts>, stop: CancellationToken) {
    http::serve(listener, stop, move |request| answer(hosts.clone(), request)).await;
}

async fn answer(hosts: Arc<Hosts>, request: Request<Incoming>) -> io::Result<Reply> {
    Ok(match (request.method(), request.uri().path()) {
        (&Method::GET, "/maps") => http::json(StatusCode::OK, hosts.maps()),
        (&Method::GET, "/stats") => http::json(StatusCode::OK, &hosts.stats()),
        (&Method::GET, "/runs") => http::json(StatusCode::OK, &hosts.runs()),
        (&Method::PUT, "/fault") => put_fault(&hosts, request).await,
        _ => http::text(StatusCode::NOT_FOUND, "no such path"),
    })
}

async fn put_fault(hosts: &Hosts, request: Request<Incoming>) -> Reply {
    let faults = match http::read_json(request.into_body()).await {
        Ok(Faults::One(fault)) => vec![fault],
        Ok(Faults::Many(faults)) => faults,
        Err(refusal) => return *refusal,
    };
    let mut met = 0;
    for fault in &faults {
        match hosts.inject_fault(fault).await {
            Ok(servers) => met += servers,
            Err(error) => {
                return http::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string());
            }
        }
    }
    let status = if met == 0 { StatusCode::NOT_FOUND } else { StatusCode::OK };
    http::json(status, &serde_json::json!({ "servers": met }))
}
