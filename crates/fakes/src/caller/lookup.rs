//! Which entry nodes a caller uses, as the tier told it.
//!
//! Invariant: an answer is kept for as long as it says and no longer; a ticket
//! is handed out once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

use crate::caller::client::Client;
use wire::caller::ENTRIES_PATH;
use wire::caller::EntryNodes;

/// Tickets that are asked for at once.
const TICKETS: u32 = 16;
/// How long a lookup's answer is waited for.
const PATIENCE: Duration = Duration::from_secs(1);

/// What one caller keeps.
#[derive(Clone, Debug)]
struct Kept {
    addresses: Arc<[SocketAddr]>,
    until: Instant,
    tickets: Vec<String>,
    tickets_until: Instant,
}

/// What all callers of one target keep.
#[derive(Debug)]
pub(super) struct Lookup {
    seeds: Vec<SocketAddr>,
    wants_tickets: bool,
    kept: Mutex<HashMap<Arc<str>, Kept>>,
}

impl Lookup {
    pub(super) fn new(seeds: Vec<SocketAddr>, wants_tickets: bool) -> Self {
        Self { seeds, wants_tickets, kept: Mutex::default() }
    }

    /// The addresses for a caller, best first; empty if nobody answers.
    pub(super) async fn addresses(&self, client: &Client, caller: &Arc<str>) -> Arc<[SocketAddr]> {
        if let Some(kept) = self.kept.lock().get(caller)
            && Instant::now() < kept.until
        {
            return kept.addresses.clone();
        }
        self.refresh(client, caller).await;
        let kept = self.kept.lock();
        kept.get(caller).map_or_else(|| Arc::from([]), |kept| kept.addresses.clone())
    }

    /// A ticket for a caller; `None` if nobody gives one.
    pub(super) async fn ticket(&self, client: &Client, caller: &Arc<str>) -> Option<String> {
        if let Some(ticket) = self.take_ticket(caller) {
            return Some(ticket);
        }
        self.refresh(client, caller).await;
        self.take_ticket(caller)
    }

    /// Forgets what a caller keeps, after a node did not answer.
    pub(super) fn forget(&self, caller: &Arc<str>) {
        if let Some(kept) = self.kept.lock().get_mut(caller) {
            kept.until = Instant::now();
        }
    }

    fn take_ticket(&self, caller: &Arc<str>) -> Option<String> {
        let mut kept = self.kept.lock();
        let kept = kept.get_mut(caller).filter(|kept| Instant::now() < kept.tickets_until)?;
        kept.tickets.pop()
    }

    /// Asks the known nodes, then the seeds, until one answers.
    async fn refresh(&self, client: &Client, caller: &Arc<str>) {
        let known = self.kept.lock().get(caller).map(|kept| kept.addresses.clone());
        let nodes = known.iter().flat_map(|known| known.iter()).chain(&self.seeds);
        let wanted = if self.wants_tickets { TICKETS } else { 0 };
        let path = format!("{ENTRIES_PATH}?tickets={wanted}");
        for node in nodes {
            let asked = Instant::now();
            let Ok((status, body)) = client.get(*node, &path, PATIENCE).await else { continue };
            if !status.is_success() {
                continue;
            }
            if let Ok(entries) = serde_json::from_slice::<EntryNodes>(&body) {
                self.keep(caller, entries, asked);
                return;
            }
        }
    }

    fn keep(&self, caller: &Arc<str>, entries: EntryNodes, asked: Instant) {
        let addresses = entries.entries.iter().filter_map(|entry| entry.address.parse().ok());
        let after = |ms: u32| asked + Duration::from_millis(u64::from(ms));
        let (tickets, tickets_until) = match entries.block {
            Some(block) => (block.tickets, after(block.keep_ms)),
            None => (Vec::new(), asked),
        };
        let until = after(entries.keep_ms);
        let kept = Kept { addresses: addresses.collect(), until, tickets, tickets_until };
        self.kept.lock().insert(caller.clone(), kept);
    }
}
