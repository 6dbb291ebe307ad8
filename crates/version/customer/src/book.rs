//! The customers of one version of the configuration, found by their keys.
//!
//! Invariants: a key identifies at most one customer. Two customers never have the same number, so
//! that none uses the quota of another one.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::hash_map::Entry;
use std::fmt;
use std::sync::Arc;

use crate::config;
use crate::config::Customers;
use crate::key::Hash;
use crate::key::Salt;
use base::hash;
use base::region;

/// A customer, ready to admit its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Its name.
    pub name: Arc<str>,
    /// Its priority, which goes before that of a route; zero is the most urgent.
    pub priority: Option<u32>,
    /// The regions in which its requests may be served.
    pub homes: region::Set,
    /// The requests per second that it may send to all nodes together; zero if there is no limit.
    pub rate: f64,
    /// The requests that it may send at once beyond the rate.
    pub burst: f64,
    /// A stable hash of its name, the same on all nodes.
    pub key: u32,
}

/// Two customers that have the same key; it identifies only the first one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The name of the customer that the key identifies.
    pub holder: Arc<str>,
    /// The name of the other one.
    pub other: Arc<str>,
}

/// All customers of one version.
#[derive(Clone)]
pub struct Book {
    salt: Salt,
    by_prefix: HashMap<u64, Vec<(Hash, Arc<Customer>)>>,
    customers: Vec<Arc<Customer>>,
    conflicts: Vec<Conflict>,
}

impl Book {
    /// Compiles the customers of a configuration; `regions` has those of the deployment.
    pub fn new(config: &Customers, regions: &region::Index) -> Self {
        let keys = numbers(config);
        let mut by_name: HashMap<&str, Arc<Customer>> = HashMap::new();
        let mut book = Self {
            salt: config.salt.clone(),
            by_prefix: HashMap::new(),
            customers: Vec::new(),
            conflicts: Vec::new(),
        };
        for entry in &config.customers {
            let customer = match by_name.entry(&entry.name) {
                Entry::Occupied(known) => Arc::clone(known.get()),
                Entry::Vacant(vacant) => {
                    let key = keys.get(&*entry.name).copied().unwrap_or_default();
                    let customer = Arc::new(compile(entry, key, regions));
                    book.customers.push(Arc::clone(&customer));
                    Arc::clone(vacant.insert(customer))
                }
            };
            entry.keys.iter().for_each(|hash| book.insert(*hash, &customer));
        }
        book
    }

    fn insert(&mut self, hash: Hash, customer: &Arc<Customer>) {
        let same_prefix = self.by_prefix.entry(hash.prefix()).or_default();
        match same_prefix.iter().find(|(known, _)| *known == hash) {
            None => same_prefix.push((hash, Arc::clone(customer))),
            Some((_, holder)) if holder.name != customer.name => {
                let (holder, other) = (Arc::clone(&holder.name), Arc::clone(&customer.name));
                self.conflicts.push(Conflict { holder, other });
            }
            Some(_) => {}
        }
    }

    /// The customer that a key identifies. Hashes are compared in constant time; which of them are
    /// compared depends on the salted hash only.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Customer>> {
        if key.is_empty() {
            return None;
        }
        let hash = Hash::new(&self.salt, key);
        let same_prefix = self.by_prefix.get(&hash.prefix())?;
        same_prefix.iter().find(|(known, _)| *known == hash).map(|(_, customer)| customer)
    }

    /// All customers, in the order of the configuration.
    pub fn customers(&self) -> &[Arc<Customer>] {
        &self.customers
    }

    /// The customers that have the same keys as others.
    pub fn conflicts(&self) -> &[Conflict] {
        &self.conflicts
    }

    /// The regions that all customers allow.
    pub fn common_homes(&self) -> region::Set {
        let homes = self.customers.iter().map(|customer| customer.homes);
        homes.fold(region::Set::ANY, region::Set::intersect)
    }

    /// The highest priority, that is the lowest number, of any customer.
    pub fn highest_priority(&self) -> Option<u32> {
        self.customers.iter().filter_map(|customer| customer.priority).min()
    }
}

impl fmt::Debug for Book {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Book")
            .field("customers", &self.customers)
            .field("conflicts", &self.conflicts)
            .finish_non_exhaustive()
    }
}

fn compile(entry: &config::Customer, key: u32, regions: &region::Index) -> Customer {
    Customer {
        name: Arc::clone(&entry.name),
        priority: entry.priority,
        homes: regions.homes(&entry.homes),
        rate: entry.rate_per_second,
        burst: entry.burst,
        key,
    }
}

/// The number of each name: its hash under the first seed that no earlier name has. Among 10,000
/// names, two have the same 32-bit hash with a probability of 1 %.
fn numbers(config: &Customers) -> HashMap<&str, u32> {
    let mut names: Vec<&str> = config.customers.iter().map(|entry| &*entry.name).collect();
    names.sort_unstable();
    names.dedup();
    let mut taken = HashSet::new();
    let number = |name| {
        let hashes = (0..).map(|seed| hash::stable(seed, &[name]) as u32);
        let number = hashes.into_iter().find(|hash| taken.insert(*hash));
        (name, number.unwrap_or_default())
    };
    names.into_iter().map(number).collect()
}
