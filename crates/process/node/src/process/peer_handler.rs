//! Handles calls and updates from peers.

use std::sync::Arc;

use futures::future::BoxFuture;

use crate::process::state::Process;
use crate::request::answer;
use conf::catalog::Catalog;
use conf::object::Object;
use once::export::Export;
use peer::gossip::Withdrawal;
use peer::protocol;
use peer::protocol::Response;
use wire::caller::Query;

/// Passes calls and updates from peers to the process.
pub struct PeerHandler(pub Arc<Process>);

impl protocol::Handler for PeerHandler {
    fn catalog(&self) -> Arc<Catalog> {
        self.0.catalog()
    }

    fn on_objects(&self, objects: Vec<Object>) {
        self.0.apply(&objects);
    }

    fn on_withdrawals(&self, withdrawals: Vec<Withdrawal>) {
        for withdrawal in withdrawals {
            let withdrawal = route::withdrawal::Withdrawal {
                server: withdrawal.server,
                incarnation: withdrawal.incarnation,
            };
            // Not through `Upstreams::update`, which would announce it to the peers that
            // it came from.
            self.0.upstreams.with(|table| table.apply_withdrawal(&withdrawal));
        }
    }

    fn run_query(&self, query: Query) -> BoxFuture<'static, Response> {
        let process = Arc::clone(&self.0);
        Box::pin(async move {
            match answer::Request::new(process, query).answer_forwarded().await {
                Ok(answer) => Response::Answer(answer),
                Err(refusal) => Response::Refusal(refusal),
            }
        })
    }

    fn import_tickets(&self, tickets: Vec<u8>) -> bool {
        let export: Export = match rmp_serde::from_slice(&tickets) {
            Ok(export) => export,
            Err(error) => {
                log::warn!(target: "once", "The tickets of a peer can't be deserialized: {error}.");
                return false;
            }
        };
        let now = self.0.clock.now();
        let count = export.len();
        match self.0.tickets.with(|table| table.import(export, now)) {
            Ok(()) => {
                log::info!(target: "once", "Took over {count} tickets.");
                true
            }
            Err(error) => {
                log::warn!(target: "once", "Did not take over {count} tickets: {error}.");
                false
            }
        }
    }

    fn contribution(&self) -> Vec<u8> {
        self.0.tallies.to_bytes()
    }
}
