//! Lookups of the entry nodes that a caller uses.
//!
//! Invariant: a lookup's answer is cached for exactly as long as it allows; a
//! ticket is used once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

use crate::caller::client::Client;
use wire::caller::ENTRIES_PATH;
use wire::caller::EntryNodes;

/// The number of tickets requested with a lookup.
const TICKETS_PER_LOOKUP: u32 = 16;
/// The timeout of a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// The cached answer of one caller's last lookup.
#[derive(Clone, Debug)]
struct CachedLookup {
    addresses: Arc<[SocketAddr]>,
    valid_until: Instant,
    tickets: Vec<String>,
    tickets_valid_until: Instant,
}

/// The lookups of all callers of one target.
#[derive(Debug)]
pub(super) struct Lookup {
    seeds: Vec<SocketAddr>,
    needs_tickets: bool,
    cache: Mutex<HashMap<Arc<str>, CachedLookup>>,
}

impl Lookup {
    pub(super) fn new(seeds: Vec<SocketAddr>, needs_tickets: bool) -> Self {
        Self { seeds, needs_tickets, cache: Mutex::default() }
    }

    /// The addresses for a caller, best first; empty if no node answers.
    pub(super) async fn addresses(&self, client: &Client, caller: &Arc<str>) -> Arc<[SocketAddr]> {
        if let Some(cached) = self.cache.lock().get(caller)
            && Instant::now() < cached.valid_until
        {
            return cached.addresses.clone();
        }
        self.refresh(client, caller).await;
        let cache = self.cache.lock();
        cache.get(caller).map_or_else(|| Arc::from([]), |cached| cached.addresses.clone())
    }

    /// A ticket for a caller; `None` if no node gives one.
    pub(super) async fn ticket(&self, client: &Client, caller: &Arc<str>) -> Option<String> {
        if let Some(ticket) = self.take_ticket(caller) {
            return Some(ticket);
        }
        self.refresh(client, caller).await;
        self.take_ticket(caller)
    }

    /// Makes a caller look up its nodes again, after one did not answer.
    pub(super) fn expire(&self, caller: &Arc<str>) {
        if let Some(cached) = self.cache.lock().get_mut(caller) {
            cached.valid_until = Instant::now();
        }
    }

    fn take_ticket(&self, caller: &Arc<str>) -> Option<String> {
        let mut cache = self.cache.lock();
        let cached =
            cache.get_mut(caller).filter(|cached| Instant::now() < cached.tickets_valid_until)?;
        cached.tickets.pop()
    }

    /// Asks the cached nodes, then the seeds, until one answers.
    async fn refresh(&self, client: &Client, caller: &Arc<str>) {
        let cached = self.cache.lock().get(caller).map(|cached| cached.addresses.clone());
        let nodes = cached.iter().flat_map(|cached| cached.iter()).chain(&self.seeds);
        let count = if self.needs_tickets { TICKETS_PER_LOOKUP } else { 0 };
        let path = format!("{ENTRIES_PATH}?tickets={count}");
        for node in nodes {
            let requested_at = Instant::now();
            let Ok((status, body)) = client.get(*node, &path, LOOKUP_TIMEOUT).await else {
                continue;
            };
            if !status.is_success() {
                continue;
            }
            if let Ok(entries) = serde_json::from_slice::<EntryNodes>(&body) {
                self.store(caller, entries, requested_at);
                return;
            }
        }
    }

    fn store(&self, caller: &Arc<str>, entries: EntryNodes, requested_at: Instant) {
        let addresses = entries.entries.iter().filter_map(|entry| entry.address.parse().ok());
        let after = |ms: u32| requested_at + Duration::from_millis(u64::from(ms));
        let (tickets, tickets_valid_until) = match entries.block {
            Some(block) => (block.tickets, after(block.keep_ms)),
            None => (Vec::new(), requested_at),
        };
        let valid_until = after(entries.keep_ms);
        let cached = CachedLookup {
            addresses: addresses.collect(),
            valid_until,
            tickets,
            tickets_valid_until,
        };
        self.cache.lock().insert(caller.clone(), cached);
    }
}
