//! Servers that some requests end, and that are back after a while at the same address.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

use crate::instance::Behavior;
use crate::instance::Instance;
use crate::instance::Poison;
use crate::store::Store;

/// How long a server is down.
pub const DOWN_TIME: Duration = Duration::from_secs(3);
/// The interval between checks of the servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The servers of a service.
pub struct Group {
    service: String,
    records: Vec<u8>,
    poison: Poison,
    run_time: Duration,
    /// The servers at present, those that are down included.
    current: Mutex<Vec<Arc<Instance>>>,
    /// All servers that ever ran.
    all: Mutex<Vec<Arc<Instance>>>,
}

impl Group {
    /// Starts `count` servers of `service` that take `run_time` for a request.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start(
        service: &str,
        records: &[u8],
        count: usize,
        run_time: Duration,
        poison: Poison,
    ) -> io::Result<Self> {
        let group = Self {
            service: service.to_owned(),
            records: records.to_vec(),
            poison,
            run_time,
            current: Mutex::default(),
            all: Mutex::default(),
        };
        for number in 0..count {
            let id = format!("{service}-{number}");
            group.add(Instance::start(&id, service, records)?);
        }
        Ok(group)
    }

    fn add(&self, instance: Instance) -> Arc<Instance> {
        instance.set_poison(self.poison.clone());
        instance.set_behavior(Behavior::Slow(self.run_time));
        let instance = Arc::new(instance);
        self.current.lock().push(Arc::clone(&instance));
        self.all.lock().push(Arc::clone(&instance));
        instance
    }

    /// Writes the entries of all servers.
    pub fn publish(&self, store: &Store) {
        for instance in self.current.lock().iter() {
            store.put("servers", &instance.id, &instance.entry("ready"));
        }
    }

    /// Starts servers again that have been down for [`DOWN_TIME`]; never returns.
    ///
    /// # Errors
    ///
    /// If the address of a server is in use.
    pub async fn keep_running(&self, store: &Store) -> io::Result<()> {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let is_due = |instance: &Arc<Instance>| {
                instance.ended_at().is_some_and(|at| at.elapsed() >= DOWN_TIME)
            };
            let due: Vec<_> = self.current.lock().extract_if(.., |i| is_due(i)).collect();
            for ended in due {
                store.delete("servers", &ended.id);
                let id = format!("{}+", ended.id);
                let (service, records) = (&self.service, &self.records);
                let next = self.add(Instance::start_at(ended.address(), &id, service, records)?);
                store.put("servers", &next.id, &next.entry("ready"));
            }
        }
    }

    /// All servers that ever ran.
    pub fn all(&self) -> Vec<Arc<Instance>> {
        self.all.lock().clone()
    }

    /// When requests ended servers, in order.
    pub fn ends(&self) -> Vec<Instant> {
        let mut ends: Vec<Instant> = self.all.lock().iter().filter_map(|i| i.ended_at()).collect();
        ends.sort();
        ends
    }

    /// The number of arrivals of requests that `is_meant` selects by their ids, later than `from`.
    pub fn arrivals_since(&self, from: Instant, is_meant: impl Fn(&str) -> bool) -> usize {
        let arrivals =
            self.all.lock().iter().map(|instance| instance.arrivals()).collect::<Vec<_>>();
        arrivals.iter().flatten().filter(|a| a.at > from && is_meant(&a.id)).count()
    }
}
