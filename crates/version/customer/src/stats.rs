//! The customers with the most requests and refusals, in bounded memory.
//!
//! Invariant: a count is never below the true one, and above it by at most its stated error
//! (space-saving sketch: Metwally, Agrawal, El Abbadi, 2005).

use std::collections::HashMap;
use std::sync::Arc;

use serde::Serialize;

/// The number of customers that one sketch follows. A customer with more than this fraction of all
/// events is always among them.
const FOLLOWED: usize = 128;
/// The number of customers that are shown.
pub const SHOWN: usize = 20;

/// A count of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Count {
    /// The name of the customer.
    pub customer: Arc<str>,
    /// The number of events, at most `error` too high.
    pub count: u64,
    /// The greatest number of events that may be another customer's.
    pub error: u64,
}

/// The most frequent customers of one kind of event.
#[derive(Clone, Debug, Default)]
struct Sketch {
    /// The count and error by the customer's name.
    counts: HashMap<Arc<str>, (u64, u64)>,
}

impl Sketch {
    fn add(&mut self, name: &Arc<str>) {
        if let Some((count, _)) = self.counts.get_mut(name) {
            *count += 1;
            return;
        }
        let mut floor = 0;
        if self.counts.len() >= FOLLOWED {
            let least = self.counts.iter().min_by_key(|(_, (count, _))| *count);
            let least = least.map(|(name, (count, _))| (Arc::clone(name), *count));
            if let Some((replaced, count)) = least {
                self.counts.remove(&replaced);
                floor = count;
            }
        }
        self.counts.insert(Arc::clone(name), (floor + 1, floor));
    }

    fn top(&self) -> Vec<Count> {
        let count = |(name, (count, error)): (&Arc<str>, &(u64, u64))| Count {
            customer: Arc::clone(name),
            count: *count,
            error: *error,
        };
        let mut counts: Vec<Count> = self.counts.iter().map(count).collect();
        counts.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.customer.cmp(&b.customer)));
        counts.truncate(SHOWN);
        counts
    }
}

/// What customers have used and been refused at this node since its start.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    used: Sketch,
    refused: Sketch,
    refused_below: Sketch,
}

/// The customers with the highest counts, [`SHOWN`] of each kind at most.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Top {
    /// Requests that were admitted and not refused afterwards.
    pub used: Vec<Count>,
    /// Requests that were refused as not run, for any reason.
    pub refused: Vec<Count>,
    /// Those of them that were below the quota.
    pub refused_below_quota: Vec<Count>,
}

impl Stats {
    /// Counts a request that was admitted.
    pub fn used(&mut self, name: &Arc<str>) {
        self.used.add(name);
    }

    /// Counts a request that was refused before it had a token.
    pub fn refused(&mut self, name: &Arc<str>) {
        self.refused.add(name);
    }

    /// Counts a request that was below the quota and was refused for another reason.
    pub fn refused_below(&mut self, name: &Arc<str>) {
        self.refused.add(name);
        self.refused_below.add(name);
    }

    /// The customers with the highest counts.
    pub fn top(&self) -> Top {
        Top {
            used: self.used.top(),
            refused: self.refused.top(),
            refused_below_quota: self.refused_below.top(),
        }
    }
}
