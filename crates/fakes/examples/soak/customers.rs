//! The promises about regions, evacuations, keys and quotas, held against what callers and servers
//! saw.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Call;
use crate::caller::Kind;
use crate::check::Evidence;
use crate::check::describe;
use crate::system::CUSTOMERS;
use crate::system::HOME;
use crate::system::Key;
use crate::system::ZONES;
use fakes::instance::Arrival;
use fakes::instance::Instance;

/// The version that the store has when the nodes start: it is in force at once.
const FIRST_VERSION: u64 = 1;
/// The time after which a confirmed evacuation is in effect (`evacuate_ms`).
const EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// The span over which a customer's requests are counted (`quota_window_s`).
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// What is allowed beyond rate and burst (`quota_overage`, `quota_slack`).
const QUOTA_FACTOR: f64 = 1.1;
const QUOTA_SLACK: f64 = 20.0;

impl Evidence {
    /// What arrived at servers from the present build, with the caller's request.
    fn arrivals(&self) -> Vec<(&Instance, Arrival, &Call)> {
        let by_id: HashMap<&str, &Call> =
            self.calls.iter().map(|call| (call.id.as_str(), call)).collect();
        self.instances
            .iter()
            .flat_map(|instance| instance.arrivals().into_iter().map(move |a| (instance, a)))
            .filter_map(|(instance, arrival)| {
                let call = *by_id.get(arrival.id.as_str())?;
                if self.is_of_earlier(call) {
                    return None;
                }
                Some((instance.as_ref(), arrival, call))
            })
            .collect()
    }

    /// Requests that reach servers abroad, from any node, and servers of evacuated data centres,
    /// from nodes in touch.
    pub(crate) fn check_regions(&self, found: &mut Vec<String>) {
        let evacuations = self.system.evacuations();
        for (instance, arrival, call) in self.arrivals() {
            let (id, zone) = (&instance.id, instance.zone());
            if call.kind == Kind::Home && zone != ZONES[HOME].0 {
                found.push(describe(call, &format!("reached {id} abroad, in {zone}")));
            }
            let is_binding = evacuations.iter().any(|evacuation| {
                let (from, until) = evacuation.span;
                evacuation.zone == zone
                    && arrival.at > from + EVACUATION_BOUND
                    && until.is_none_or(|until| arrival.at < until)
            });
            if is_binding && self.in_touch(call.node, arrival.at) {
                found.push(describe(call, &format!("reached {id} in {zone}, which is evacuated")));
            }
        }
    }

    /// That servers see no keys and the right customer's name, and which keys are refused.
    pub(crate) fn check_customers(&self, found: &mut Vec<String>) {
        let keys = self.system.keys();
        let key_of = |call: &Call| keys.iter().find(|key| Some(&key.text) == call.key.as_ref());
        for (instance, arrival, call) in self.arrivals() {
            if arrival.has_credential {
                found.push(describe(call, &format!("brought a key to {}", instance.id)));
            }
            let expected = key_of(call).map_or("", |key| CUSTOMERS[key.customer].0);
            if arrival.customer != expected {
                let what = format!("was of `{}` instead of `{expected}`", arrival.customer);
                found.push(describe(call, &what));
            }
        }
        let is_checked = |call: &&Call| call.key.is_some() && !self.is_of_earlier(call);
        for call in self.calls.iter().filter(is_checked) {
            let passed = call.status() == 200 || self.ran(&call.id) > 0;
            match key_of(call) {
                None if passed => found.push(describe(call, "had a key that never was valid")),
                Some(key) if passed && self.is_refused(key, call) => {
                    let what = format!("had a key that version {:?} revoked", key.revoked);
                    found.push(describe(call, &what));
                }
                Some(key) if call.status() == 401 && self.is_known(key, call) => {
                    let what = format!("was answered 401, its key is of version {}", key.added);
                    found.push(describe(call, &what));
                }
                _ => {}
            }
        }
    }

    /// Whether a revoked key must be refused: the version that revoked it is in force.
    fn is_refused(&self, key: &Key, call: &Call) -> bool {
        key.revoked.is_some_and(|revoked| self.due_version(call.sent) >= revoked)
            && self.in_touch(call.node, call.sent)
    }

    /// Whether a key must be known, also at a node that was disturbed: the version that added it is
    /// in force, and none that revoked it was written before the answer.
    fn is_known(&self, key: &Key, call: &Call) -> bool {
        let written = self.versions.iter().filter(|(at, _)| *at <= call.ended);
        let newest = written.map(|(_, version)| *version).max().unwrap_or(0);
        let is_in_force = key.added == FIRST_VERSION || self.due_version(call.sent) >= key.added;
        is_in_force && key.revoked.is_none_or(|version| version > newest)
    }

    /// Whether a request should be served: its key, if any, is valid and has no quota.
    pub(crate) fn is_owed(&self, call: &Call) -> bool {
        let Some(text) = &call.key else { return true };
        let keys = self.system.keys();
        keys.iter().any(|key| {
            key.text == *text && CUSTOMERS[key.customer].1 == 0 && self.is_known(key, call)
        })
    }

    /// The requests of each customer with a quota that servers accept within any window, of all
    /// nodes together. A request counts once, and a node that was disturbed is not excused.
    pub(crate) fn check_quotas(&self, found: &mut Vec<String>) {
        for (name, rate, burst) in CUSTOMERS.iter().filter(|(_, rate, _)| *rate > 0) {
            let full = f64::from(*rate) * QUOTA_WINDOW.as_secs_f64() + f64::from(*burst);
            let allowed = (full * QUOTA_FACTOR + QUOTA_SLACK) as usize;
            let keys = self.system.keys();
            let is_of = |call: &Call| {
                keys.iter().any(|key| {
                    CUSTOMERS[key.customer].0 == *name && Some(&key.text) == call.key.as_ref()
                })
            };
            // Refused requests return their tokens.
            let mut accepted: Vec<(Instant, String)> = self
                .arrivals()
                .into_iter()
                .filter(|(_, arrival, call)| !arrival.refused && is_of(call))
                .map(|(_, arrival, _)| (arrival.at, arrival.id))
                .collect();
            accepted.sort();
            let mut seen = HashSet::new();
            accepted.retain(|(_, id)| seen.insert(id.clone()));
            let within = |start: usize| {
                let end = accepted[start].0 + QUOTA_WINDOW;
                accepted[start..].iter().take_while(|(at, _)| *at < end).count()
            };
            let most = (0..accepted.len()).map(within).max().unwrap_or(0);
            if most > allowed {
                found.push(format!(
                    "{most} requests of {name} in {QUOTA_WINDOW:?}, its quota allows {allowed}"
                ));
            }
        }
    }
}
