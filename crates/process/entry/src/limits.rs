//! Limits that servers name: what replies and other nodes say of them, this node's parts, and
//! what it sends meanwhile.

use std::collections::HashSet;
use std::time::Duration;

use crate::process::Process;
use base::entity::Server;
use base::time::Time;
use replica::cold;
use replica::limit::Change;
use replica::limit::Stated;
use replica::record::Record;
use share::limit;
use share::limit::Limit;
use share::limit::Quota;
use share::part;
use share::part::Claim;
use share::part::Report;

/// The number of cold servers that a log line names.
const MAX_LOGGED_SERVERS: usize = 8;

/// Takes note of what the reply to a request that was sent at `sent` says about a limit.
pub(crate) fn on_reply(process: &Process, server: Server, sent: Time, stated: Stated) {
    let now = process.clock.now();
    let change = process.table.borrow_mut().limit_stated(now, server, sent, stated);
    if change == Change::Named {
        divide(process);
    }
    let table = process.table.borrow();
    let record = table.record(server);
    let (id, service) = (record.incarnation.id.as_ref(), table.service_name(record.service));
    match change {
        Change::Same => {}
        Change::Named => {
            let per_second = record.limit().map(|limit| limit.per_second);
            log::info!(target: "servers", server = id, service = service.as_ref(), per_second; "A server names a limit on its requests.");
        }
        Change::Ended => {
            log::info!(target: "servers", server = id, service = service.as_ref(); "A server no longer names a limit.");
        }
        Change::Unreadable => {
            let per_second = record.limit().map(|limit| limit.per_second);
            log::warn!(target: "servers", server = id, service = service.as_ref(), per_second; "A server names a limit that is not a number from zero upwards; the last one that could be read stays in force.");
        }
    }
}

/// Takes note of how much longer a server is cold, as its reply states.
pub(crate) fn on_warmup(process: &Process, server: Server, left: Duration) {
    let now = process.clock.now();
    let mut table = process.table.borrow_mut();
    let before = table.record(server).cold(now).is_some();
    table.set_warmup_left(now, server, left);
    let is_cold = table.record(server).cold(now).is_some();
    if before != is_cold {
        log::info!(target: "servers", server = table.record(server).incarnation.id.as_ref(), is_cold, left_ms = left.as_millis() as u64; "A server is cold, or no longer.");
    }
}

/// The cold servers; none if the deployment bounds no cold servers.
pub(crate) fn cold_servers(process: &Process) -> HashSet<Server> {
    if process.settings.warmup.is_none() {
        return HashSet::new();
    }
    let table = process.table.borrow();
    table.cold(process.clock.now()).map(|(server, _)| server).collect()
}

/// Logs in one line, whatever their number, which servers are cold that are not in `before`.
pub(crate) fn log_new_cold(process: &Process, before: &HashSet<Server>, source: &str) {
    let mut began = cold_servers(process);
    began.retain(|server| !before.contains(server));
    let table = process.table.borrow();
    let mut ids: Vec<&str> =
        began.iter().map(|server| &*table.record(*server).incarnation.id).collect();
    if ids.is_empty() {
        return;
    }
    ids.sort_unstable();
    let count = ids.len();
    ids.truncate(MAX_LOGGED_SERVERS);
    log::info!(target: "servers", count, servers = ids.join(", "), source; "Servers are cold.");
}

/// Logs how many requests this node has sent to each server that names a limit.
pub(crate) fn report(process: &Process) {
    let now = process.clock.now();
    let table = process.table.borrow();
    for (server, limit) in table.limited() {
        let (first, extra) = limit.recent_sends(now);
        if first + extra == 0 {
            continue;
        }
        log::info!(target: "servers", server = table.record(server).incarnation.id.as_ref(), per_second = limit.per_second, first, extra, span_ms = limit::REPORT_SPAN.as_millis() as u64; "Requests were sent to a server that names a limit.");
    }
}

/// Decides again this node's parts of all limits.
pub(crate) fn divide(process: &Process) {
    let now = process.clock.now();
    let members = process.members.borrow();
    let shares = process.shares.get();
    let own = members.own();
    let quota = |server: u32, record: &Record, limit: &Limit| -> Quota {
        if !shares.serving {
            return part::standby(limit.per_second, shares.standby_nodes);
        }
        let claim = Claim {
            ip: own.ip,
            is_near: own.data_centre == record.data_centre,
            is_present: true,
            demand: Some(limit.demand()),
        };
        let others = members.claims(now, server, &record.data_centre);
        part::serving(limit.per_second, server, claim, &others, shares.standby_nodes)
    };
    let cold_quota = |key: u32, record: &Record, limit: &Limit| -> Quota {
        if !shares.serving {
            return Quota::default();
        }
        let claim = Claim {
            ip: own.ip,
            is_near: own.data_centre == record.data_centre,
            is_present: true,
            demand: Some(limit.demand()),
        };
        cold::quota(limit, key, claim, &members.claims(now, key, &record.data_centre))
    };
    let mut table = process.table.borrow_mut();
    table.divide_limits(now, quota);
    table.divide_cold(now, cold_quota);
    if process.settings.warmup.is_some() {
        process.metrics.record_cold(table.cold(now).count());
    }
}

/// What this node reports of limits. If a heartbeat can't hold all, each one begins at a random
/// place among them.
pub(crate) fn reports(process: &Process) -> Vec<Report> {
    let now = process.clock.now();
    let mut table = process.table.borrow_mut();
    let start = table.random_fraction();
    let report = |server: u32, limit: &Limit| Report {
        server,
        per_second: limit.per_second as f32,
        demand: limit.demand() as f32,
        age_ms: limit.age(now).as_millis().try_into().unwrap_or(u32::MAX),
    };
    let limits = table.limited().map(|(server, limit)| report(table.key(server), limit));
    let cold = table.cold(now).map(|(server, limit)| report(table.cold_key(server), limit));
    let mut reports: Vec<Report> = limits.chain(cold).collect();
    if reports.len() > part::MAX_REPORTS {
        reports.sort_by_key(|report| report.server);
        let middle = (start * reports.len() as f64) as usize % reports.len();
        reports.rotate_left(middle);
    }
    reports
}

/// Takes note of the limits that another node reports.
pub(crate) fn on_reports(process: &Process, reports: &[Report]) {
    let now = process.clock.now();
    let mut table = process.table.borrow_mut();
    for report in reports {
        let heard_at = now.before(Duration::from_millis(u64::from(report.age_ms)));
        table.limit_reported(now, report.server, heard_at, f64::from(report.per_second));
    }
}
