//! What callers and servers saw, held against the promises.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;

use crate::caller::Answer;
use crate::caller::Call;
use crate::caller::Kind;
use crate::system::SERVICES;
use crate::system::Span;
use crate::system::System;
use crate::system::TOP_K;
use crate::system::records;
use fakes::instance::Arrival;
use fakes::instance::Instance;

/// How long a node must be undisturbed for bounds to hold.
const STABILITY: Duration = Duration::from_secs(4);
/// The time within which a confirmed version is in force.
const APPLY_BOUND: Duration = Duration::from_secs(5);
/// The time after which a leaving server gets nothing.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// The time that a server asks for in the schedule, and the time that the answer may take.
const TURN_AWAY: Duration = Duration::from_millis(1500);
const TURN_AWAY_SLACK: Duration = Duration::from_millis(500);
/// The maximum number of arrivals within that time.
const MAX_TURNED_AWAY: usize = 2;
/// The limit that servers name in the schedule, and the span over which requests are counted.
const LIMIT: f64 = 3.0;
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// The number of routes of past versions that are certainly present.
const KEPT_ROUTES: u64 = 8;
/// How often a request that ends servers may still reach them.
const MAX_LATE_POISON: usize = 3;
/// The slack for two requests that cross.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// All that a run left behind.
pub struct Evidence {
    pub(crate) calls: Vec<Call>,
    nodes: Vec<Vec<Span>>,
    stops: Vec<Vec<Span>>,
    store: Vec<Span>,
    pub(crate) versions: Vec<(Instant, u64)>,
    pub(crate) instances: Vec<Arc<Instance>>,
    pub(crate) system: Arc<System>,
    /// How often each id was run.
    runs: HashMap<String, usize>,
}

impl Evidence {
    /// The evidence of a run that is over.
    pub fn new(system: &Arc<System>, calls: Vec<Call>) -> Self {
        let instances = system.instances();
        Self {
            calls,
            nodes: system.nodes().iter().map(|node| node.disturbed.lock().clone()).collect(),
            stops: system.nodes().iter().map(|node| node.stops.lock().clone()).collect(),
            store: system.store_disturbed(),
            versions: system.versions(),
            runs: fakes::instance::run_counts(instances.iter().map(Arc::as_ref)),
            instances,
            system: Arc::clone(system),
        }
    }

    /// The number of requests, and of those that were answered with success.
    pub fn counts(&self) -> (usize, usize) {
        (self.calls.len(), self.calls.iter().filter(|call| call.status() == 200).count())
    }

    /// All broken promises.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        for call in &self.calls {
            if let Some(answer) = &call.answer {
                found.extend(self.check_answer(call, answer).map(|what| describe(call, &what)));
            }
            if call.kind == Kind::Book && self.ran(&call.id) > 1 {
                found.push(describe(call, "ran more than once"));
            }
            if self.is_cut_by_stop(call) {
                found.push(describe(call, "was cut by a planned stop"));
            }
        }
        self.check_versions(&mut found);
        self.check_departures(&mut found);
        self.check_turned_away(&mut found);
        self.check_limits(&mut found);
        self.check_poison(&mut found);
        self.check_regions(&mut found);
        self.check_customers(&mut found);
        self.check_quotas(&mut found);
        found
    }

    pub(crate) fn ran(&self, id: &str) -> usize {
        self.runs.get(id).copied().unwrap_or(0)
    }

    fn check_answer(&self, call: &Call, answer: &Answer) -> Option<String> {
        match answer.status {
            200 => check_success(call, answer),
            408 | 421 | 429 | 503 if self.ran(&call.id) > 0 => {
                Some(format!("was answered {} and ran", answer.status))
            }
            404 if matches!(call.kind, Kind::Version(_)) => None,
            // `customers` checks which keys are refused.
            401 if matches!(call.kind, Kind::Home | Kind::Member) => None,
            400..500 if !matches!(answer.status, 408 | 421 | 429) => {
                Some(format!("was denied with {}", answer.status))
            }
            _ => None,
        }
    }

    /// Whether a process that was asked to stop ended the connection of a request that a server
    /// ran, with no other fault there.
    fn is_cut_by_stop(&self, call: &Call) -> bool {
        let from = call.sent - Duration::from_secs(1);
        let until = call.ended - Duration::from_millis(50).min(call.ended - call.sent);
        call.answer.is_none()
            && self.ran(&call.id) > 0
            && overlap(&self.stops[call.node], from, call.ended)
            && !overlap(&self.nodes[call.node], from, until)
            && !self.system.nodes()[call.node]
                .kills
                .lock()
                .iter()
                .any(|at| *at >= call.sent && *at <= call.ended)
    }

    /// Whether a process of an earlier build got the request: it supports neither regions nor
    /// evacuations, keys or quotas.
    pub(crate) fn is_of_earlier(&self, call: &Call) -> bool {
        let earlier = &self.system.nodes()[call.node].earlier_lifetimes;
        call.lifetimes.0 <= earlier.load(Ordering::Relaxed)
    }

    pub(crate) fn in_touch(&self, node: usize, at: Instant) -> bool {
        let from = at.checked_sub(STABILITY).unwrap_or(at);
        ![&self.nodes[node], &self.stops[node], &self.store]
            .iter()
            .any(|spans| overlap(spans, from, at))
    }

    /// The version that must be in force at `at`: the lowest that the store had within the
    /// bound before.
    pub(crate) fn due_version(&self, at: Instant) -> u64 {
        let Some(from) = at.checked_sub(APPLY_BOUND) else { return 0 };
        let before = self.versions.iter().rev().find(|(written, _)| *written <= from);
        let within = self.versions.iter().filter(|(written, _)| *written > from && *written <= at);
        let lowest = within.map(|(_, version)| *version).min().unwrap_or(u64::MAX);
        before.map_or(0, |(_, version)| (*version).min(lowest))
    }

    fn check_versions(&self, found: &mut Vec<String>) {
        let mut served: HashMap<(usize, u32), (u64, Instant)> = HashMap::new();
        let mut calls: Vec<&Call> = self.calls.iter().collect();
        calls.sort_by_key(|call| call.sent);
        for call in calls {
            let Kind::Version(version) = call.kind else { continue };
            let lifetime = (call.node, call.lifetimes.0);
            let written = self.versions.iter().filter(|(at, _)| *at <= call.ended);
            let newest = written.map(|(_, version)| *version).max().unwrap_or(0);
            match call.status() {
                200 => {
                    let known = served.entry(lifetime).or_insert((version, call.ended));
                    if version > known.0 {
                        *known = (version, call.ended);
                    }
                }
                404 if call.lifetimes.0 == call.lifetimes.1 && version + KEPT_ROUTES > newest => {
                    let due = self.due_version(call.sent);
                    if version <= due && self.in_touch(call.node, call.sent) {
                        let what = format!("version {version} is not in force, due is {due}");
                        found.push(describe(call, &what));
                    }
                    if served.get(&lifetime).is_some_and(|(known, at)| {
                        version <= *known && call.sent > *at + ROLLBACK_SLACK
                    }) {
                        found.push(describe(call, "the version went back"));
                    }
                }
                _ => {}
            }
        }
    }

    fn check_departures(&self, found: &mut Vec<String>) {
        let by_id: HashMap<&str, &Call> =
            self.calls.iter().map(|call| (call.id.as_str(), call)).collect();
        let lost_paths = self.lost_paths();
        for departure in self.system.departures() {
            let Some(instance) = self.instances.iter().find(|i| i.id == departure.id) else {
                continue;
            };
            let arrived: Vec<&Call> = instance
                .arrivals()
                .iter()
                .filter(|arrival| arrival.at > departure.at)
                .filter_map(|arrival| by_id.get(arrival.id.as_str()).copied())
                .collect();
            for call in &arrived {
                let known_at = if departure.by_notice {
                    let same = |other: &&&Call| {
                        other.node == call.node && other.lifetimes == call.lifetimes
                    };
                    let answered = arrived.iter().filter(same).filter(|c| c.status() == 200);
                    answered.map(|other| other.ended).min()
                } else {
                    let in_touch = self.in_touch(call.node, call.sent)
                        && !self.may_have_been_passed_on(call, &lost_paths);
                    in_touch.then_some(departure.at)
                };
                if known_at.is_some_and(|at| call.sent > at + DRAIN_BOUND) {
                    let what = format!("reached {}, which had left", departure.id);
                    found.push(describe(call, &what));
                }
            }
        }
    }

    /// When each node reached only a part of the services, by its log.
    fn lost_paths(&self) -> Vec<Vec<Span>> {
        let (now, unix_now) = (Instant::now(), SystemTime::now());
        let moment = |line: &Value| {
            let at = UNIX_EPOCH + Duration::from_millis(line["ms"].as_u64()?);
            now.checked_sub(unix_now.duration_since(at).ok()?)
        };
        let spans = |log: String| {
            let mut spans: Vec<Span> = Vec::new();
            for line in log.lines().filter(|line| line.contains("this node reaches changed")) {
                let Ok(line) = serde_json::from_str::<Value>(line) else { continue };
                let Some(at) = moment(&line) else { continue };
                let open = spans.last_mut().filter(|(_, end)| end.is_none());
                match (open, line["percent"].as_u64() == Some(100)) {
                    (Some(span), true) => span.1 = Some(at),
                    (None, false) => spans.push((at, None)),
                    _ => {}
                }
            }
            spans
        };
        self.system.logs().map(spans).collect()
    }

    /// Whether the node of a call, which had lost a part of its path, may have passed it on to one
    /// that was out of touch: the bound on departures holds only if that one is in touch, too.
    fn may_have_been_passed_on(&self, call: &Call, lost_paths: &[Vec<Span>]) -> bool {
        let had_lost =
            lost_paths.get(call.node).is_some_and(|spans| overlap(spans, call.sent, call.ended));
        had_lost && (0..self.nodes.len()).any(|node| !self.in_touch(node, call.sent))
    }

    fn check_turned_away(&self, found: &mut Vec<String>) {
        let by_id: HashMap<&str, &Call> =
            self.calls.iter().map(|call| (call.id.as_str(), call)).collect();
        for instance in &self.instances {
            let arrivals = instance.arrivals();
            let call_of = |arrival: &Arrival| by_id.get(arrival.id.as_str()).copied();
            for first in arrivals.iter().filter(|arrival| arrival.turned_away) {
                let Some(node) = call_of(first).map(|call| call.node) else { continue };
                let (from, until) = (first.at + TURN_AWAY_SLACK, first.at + TURN_AWAY);
                if overlap(&self.nodes[node], first.at, until)
                    || overlap(&self.stops[node], first.at, until)
                {
                    continue;
                }
                let within = |arrival: &&Arrival| {
                    arrival.at > from
                        && arrival.at < until
                        && call_of(arrival).is_some_and(|call| call.node == node)
                };
                let count = arrivals.iter().filter(within).count();
                if count > MAX_TURNED_AWAY {
                    found.push(format!(
                        "{count} requests of node {node} reached {} within the time for which \
                         it wanted none",
                        instance.id
                    ));
                }
            }
        }
    }

    /// The requests that reach a server within any span in which it names a limit, of all nodes
    /// together. A node that was disturbed is not excused.
    fn check_limits(&self, found: &mut Vec<String>) {
        let allowed = (LIMIT * LIMIT_SPAN.as_secs_f64() * 1.5 + 5.0) as usize;
        for instance in &self.instances {
            let arrivals = instance.arrivals();
            let named: Vec<Instant> = arrivals
                .iter()
                .filter(|arrival| arrival.limit.is_some())
                .map(|arrival| arrival.at)
                .collect();
            let Some(first) = named.first() else { continue };
            let from = named.partition_point(|at| *at < *first + STABILITY);
            let within = |start: usize| {
                named[start..].iter().take_while(|at| **at < named[start] + LIMIT_SPAN).count()
            };
            let most = (from..named.len()).map(within).max().unwrap_or(0);
            if most > allowed {
                found.push(format!(
                    "{most} requests reached {} in {LIMIT_SPAN:?}, {allowed} are allowed by the \
                     limit that it named",
                    instance.id
                ));
            }
        }
    }

    /// How often a request reaches servers, through nodes in touch, later than the window after it
    /// has ended the third one; and that no other request is blocked.
    fn check_poison(&self, found: &mut Vec<String>) {
        let by_id: HashMap<&str, &Call> = self
            .calls
            .iter()
            .filter(|call| call.kind == Kind::Poison)
            .map(|call| (call.id.as_str(), call))
            .collect();
        let mut ends: Vec<Instant> = self.instances.iter().filter_map(|i| i.ended_at()).collect();
        ends.sort();
        if let Some(third) = ends.get(2) {
            let arrivals = self.instances.iter().flat_map(|instance| instance.arrivals());
            let is_late = |arrival: &Arrival| {
                let call = by_id.get(arrival.id.as_str());
                arrival.at > *third + STABILITY
                    && call.is_some_and(|call| self.in_touch(call.node, arrival.at))
            };
            let late = arrivals.filter(|arrival| is_late(arrival)).count();
            if late > MAX_LATE_POISON {
                found.push(format!(
                    "a request reached servers {late} times later than {STABILITY:?} after it had \
                     ended the third one; {} ended in all",
                    ends.len()
                ));
            }
        }
        let blocked: HashSet<String> = self
            .system
            .logs()
            .flat_map(|log| {
                let lines = log.lines().filter(|line| line.contains("and is blocked"));
                let request = |line: &str| {
                    let entry: Value = serde_json::from_str(line).ok()?;
                    Some(entry["request"].as_str()?.to_owned())
                };
                lines.filter_map(request).collect::<Vec<_>>()
            })
            .collect();
        if blocked.len() > usize::from(!by_id.is_empty()) {
            found.push(format!("other requests were blocked: {blocked:?}"));
        }
    }

    /// The fraction of the requests sent since `from` that were answered with success.
    pub fn success_since(&self, from: Instant) -> f64 {
        let late: Vec<&Call> =
            self.calls.iter().filter(|call| call.sent >= from && self.is_owed(call)).collect();
        let good = late.iter().filter(|call| call.status() == 200).count();
        good as f64 / late.len().max(1) as f64
    }
}

impl Call {
    /// The status of the answer; zero if there is none.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, |answer| answer.status)
    }
}

/// Whether a span overlaps the time from `from` to `until`.
fn overlap(spans: &[Span], from: Instant, until: Instant) -> bool {
    spans.iter().any(|(start, end)| *start <= until && end.is_none_or(|end| end >= from))
}

/// What is wrong with a success.
fn check_success(call: &Call, answer: &Answer) -> Option<String> {
    let stamps: Vec<(usize, &str)> = answer
        .stamps
        .iter()
        .filter_map(|stamp| {
            let (server, id) = stamp.split_once('.')?;
            let (service, _) = server.rsplit_once('-')?;
            Some((SERVICES.iter().position(|(name, _)| *name == service)?, id))
        })
        .collect();
    if stamps.len() != answer.stamps.len() || stamps.iter().any(|(_, id)| *id != call.id) {
        return Some(format!("has stamps of other requests: {:?}", answer.stamps));
    }
    let services: HashSet<usize> = stamps.iter().map(|(service, _)| *service).collect();
    if services.len() != stamps.len() {
        return Some("has two parts of one shard".to_owned());
    }
    if call.kind != Kind::Search {
        let is_whole = answer.body == records(3) && stamps.len() == 1;
        return (!is_whole).then(|| "has a body that is not its server's".to_owned());
    }
    if stamps.len() + answer.missing != 3 || stamps.len() < 2 {
        return Some(format!("has {} parts, {} are missing", stamps.len(), answer.missing));
    }
    let parts: Vec<Vec<u8>> = services.iter().map(|service| records(*service)).collect();
    let mut merged: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks(16)).collect();
    merged.sort_by(|a, b| b.cmp(a));
    merged.truncate(TOP_K);
    (answer.body != merged.concat()).then(|| "is not the merge of its parts".to_owned())
}

pub(crate) fn describe(call: &Call, what: &str) -> String {
    format!(
        "{} ({:?} at node {}, process {}): {what}",
        call.id, call.kind, call.node, call.lifetimes.0
    )
}
