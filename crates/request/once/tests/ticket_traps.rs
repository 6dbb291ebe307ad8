//! One test for each way in which a request could run twice or its outcome be
//! misreported.

use std::sync::Arc;
use std::time::Duration;

use base::time::Time;
use once::export::Export;
use once::response::Response;
use once::table::Disposition;
use once::table::ImportError;
use once::table::Table;
use wire::caller::Answer;
use wire::caller::Cause;
use wire::caller::Execution;
use wire::caller::Refusal;
use wire::id::Incarnation;
use wire::id::Snapshot;
use wire::id::Ticket;

const RETENTION: Duration = Duration::from_secs(60);
const DEADLINE: Time = Time::from_millis(500);
const NOW: Time = Time::from_millis(1);
const LATE: Time = Time::from_millis(501);
const FINGERPRINT: u64 = 7;

fn table(incarnation: u64) -> Table {
    Table::new(Incarnation(incarnation), 8, RETENTION)
}

fn table_with_ticket() -> (Table, Ticket) {
    let mut table = table(1);
    let ticket = table.mint(1, Time::ZERO)[0];
    (table, ticket)
}

/// A table and a ticket of it, whose request has been sent.
fn table_with_sent_ticket() -> (Table, Ticket) {
    let (mut table, ticket) = table_with_ticket();
    assert_eq!(table.begin(ticket, FINGERPRINT, DEADLINE, NOW), Disposition::Run);
    assert!(table.try_mark_sent(ticket, NOW));
    (table, ticket)
}

fn answer() -> Response {
    Response::Answer(Arc::new(Answer {
        request: "r".into(),
        service: "booking".into(),
        snapshot: Snapshot { version: 1, map: "m".into() },
        covered: vec![0],
        missing: Vec::new(),
        parts: Vec::new(),
        sends: 1,
        arm: None,
    }))
}

fn refusal(outcome: Execution) -> Response {
    Response::Refusal(Refusal {
        request: "r".into(),
        outcome,
        cause: Cause::Refused,
        message: String::new(),
        retry_after_ms: None,
    })
}

fn resend(table: &mut Table, ticket: Ticket) -> Disposition {
    table.begin(ticket, FINGERPRINT, DEADLINE, NOW)
}

#[test]
fn duplicate_in_flight_waits() {
    let (mut table, ticket) = table_with_sent_ticket();
    assert_eq!(resend(&mut table, ticket), Disposition::Running);
    table.finish(ticket, answer(), NOW);
    assert_eq!(resend(&mut table, ticket), Disposition::Done(answer()));
}

#[test]
fn paused_minter_sends_nothing_late() {
    let (mut table, ticket) = table_with_ticket();
    assert_eq!(resend(&mut table, ticket), Disposition::Run);
    assert!(table.may_send(ticket, NOW));
    assert!(!table.may_send(ticket, LATE));
    assert!(!table.try_mark_sent(ticket, LATE));
}

#[test]
fn lost_reply_stays_unknown() {
    let (mut table, ticket) = table_with_sent_ticket();
    let response = table.finish(ticket, refusal(Execution::Unknown), NOW);
    assert_eq!(response, refusal(Execution::Unknown));
    assert_eq!(resend(&mut table, ticket), Disposition::Done(response));
    assert!(!table.may_send(ticket, NOW));
}

#[test]
fn unconfirmed_not_run_becomes_unknown() {
    let (mut table, ticket) = table_with_sent_ticket();
    let response = table.finish(ticket, refusal(Execution::NotRun), NOW);
    assert_eq!(response, refusal(Execution::Unknown));
    assert_eq!(resend(&mut table, ticket), Disposition::Done(response));
}

#[test]
fn confirmed_not_run_allows_another_send() {
    let (mut table, ticket) = table_with_sent_ticket();
    assert!(!table.try_mark_sent(ticket, NOW), "sent twice");
    table.mark_not_run(ticket);
    assert!(table.try_mark_sent(ticket, NOW));
}

/// A delayed copy of the request must not run after "not run" was reported.
#[test]
fn not_run_is_final() {
    let (mut table, ticket) = table_with_sent_ticket();
    table.mark_not_run(ticket);
    let response = table.finish(ticket, refusal(Execution::NotRun), NOW);
    assert_eq!(response, refusal(Execution::NotRun));
    assert_eq!(resend(&mut table, ticket), Disposition::Done(response));
    assert!(!table.try_mark_sent(ticket, NOW));
}

#[test]
fn ticket_is_bound_to_its_request() {
    let (mut table, ticket) = table_with_sent_ticket();
    assert_eq!(table.begin(ticket, FINGERPRINT + 1, DEADLINE, NOW), Disposition::Mismatch);
    let forged = Ticket { number: 99, ..ticket };
    assert_eq!(resend(&mut table, forged), Disposition::Mismatch);
}

#[test]
fn only_the_minter_runs_a_request() {
    let (_, ticket) = table_with_ticket();
    let mut peer = table(2);
    assert_eq!(resend(&mut peer, ticket), Disposition::NotOwner(ticket.minter));
    assert!(!peer.may_send(ticket, NOW) && !peer.try_mark_sent(ticket, NOW));
}

#[test]
fn new_incarnation_on_the_same_address_runs_nothing() {
    let (_, ticket) = table_with_sent_ticket();
    let mut restarted = table(3);
    restarted.mint(1, NOW);
    assert_eq!(resend(&mut restarted, ticket), Disposition::NotOwner(ticket.minter));
    assert!(!restarted.try_mark_sent(ticket, NOW));
}

#[test]
fn full_table_mints_and_removes_nothing() {
    let mut table = table(1);
    let tickets = table.mint(100, Time::ZERO);
    assert_eq!(tickets.len(), 8);
    assert!(table.mint(1, NOW).is_empty());
    for ticket in tickets {
        assert_eq!(resend(&mut table, ticket), Disposition::Run);
    }
    assert_eq!(table.to_string(), "8 of 8 tickets\n");
}

#[test]
fn expired_ticket_never_runs() {
    let (mut table, ticket) = table_with_ticket();
    let late = Time::ZERO + RETENTION;
    let expired = table.begin(ticket, FINGERPRINT, Time::NEVER, late);
    assert_eq!(expired, Disposition::Expired(Execution::NotRun));
    let expired = table.begin(ticket, FINGERPRINT, Time::NEVER, late + RETENTION);
    assert_eq!(expired, Disposition::Expired(Execution::Unknown));
    assert!(table.is_empty());
}

#[test]
fn running_ticket_is_kept_until_after_its_deadline() {
    let (mut table, ticket) = table_with_ticket();
    let before = Time::from_micros(RETENTION.as_micros() as u64 - 1);
    let deadline = before + RETENTION;
    assert_eq!(table.begin(ticket, FINGERPRINT, deadline, before), Disposition::Run);
    assert!(table.try_mark_sent(ticket, before));
    let kept = deadline + RETENTION / 2;
    assert_eq!(table.begin(ticket, FINGERPRINT, deadline, kept), Disposition::Running);
    let removed = deadline + RETENTION;
    let expired = table.begin(ticket, FINGERPRINT, deadline, removed);
    assert_eq!(expired, Disposition::Expired(Execution::Unknown));
}

/// The disposition of a resend at a peer that imported the serialized export of
/// `table`.
fn resend_after_import(table: &mut Table, ticket: Ticket) -> Disposition {
    let text = serde_json::to_string(&table.export()).expect("the encoded form");
    let export: Export = serde_json::from_str(&text).expect("the decoded form");
    let mut peer = self::table(2);
    peer.import(export, NOW).expect("room");
    let disposition = resend(&mut peer, ticket);
    assert!(!peer.try_mark_sent(ticket, NOW));
    disposition
}

#[test]
fn import_reports_the_true_outcome() {
    let (mut unused, ticket) = table_with_ticket();
    assert_eq!(
        resend_after_import(&mut unused, ticket),
        Disposition::OwnerStopped(Execution::NotRun)
    );

    let (mut unsent, ticket) = table_with_ticket();
    assert_eq!(resend(&mut unsent, ticket), Disposition::Run);
    assert_eq!(
        resend_after_import(&mut unsent, ticket),
        Disposition::OwnerStopped(Execution::NotRun)
    );
    assert!(!unsent.try_mark_sent(ticket, NOW), "sent after the export");

    let (mut running, ticket) = table_with_sent_ticket();
    assert_eq!(
        resend_after_import(&mut running, ticket),
        Disposition::OwnerStopped(Execution::Unknown)
    );

    let (mut done, ticket) = table_with_sent_ticket();
    done.finish(ticket, answer(), NOW);
    assert_eq!(resend_after_import(&mut done, ticket), Disposition::Done(answer()));
}

#[test]
fn sealed_table_mints_runs_and_imports_nothing() {
    let (mut table, ticket) = table_with_ticket();
    table.export();
    assert!(table.mint(1, NOW).is_empty());
    assert_eq!(resend(&mut table, ticket), Disposition::OwnerStopped(Execution::NotRun));
    let (mut other, _) = table_with_ticket();
    assert_eq!(table.import(other.export(), NOW), Err(ImportError::Sealed));
}

#[test]
fn later_export_replaces_unknown_outcome() {
    let (mut table, ticket) = table_with_sent_ticket();
    let mut peer = self::table(2);
    peer.import(table.export(), NOW).expect("room");
    assert_eq!(resend(&mut peer, ticket), Disposition::OwnerStopped(Execution::Unknown));
    let early = table.export();
    table.finish(ticket, answer(), NOW);
    peer.import(table.export(), NOW).expect("room");
    peer.import(early, NOW).expect("room");
    assert_eq!(resend(&mut peer, ticket), Disposition::Done(answer()));
}

#[test]
fn outcome_survives_two_exports() {
    let (mut table, ticket) = table_with_sent_ticket();
    table.finish(ticket, answer(), NOW);
    let mut second = self::table(2);
    second.import(table.export(), NOW).expect("room");
    let mut third = self::table(3);
    third.import(second.export(), NOW).expect("room");
    assert_eq!(resend(&mut third, ticket), Disposition::Done(answer()));
}

#[test]
fn full_table_rejects_new_imports_but_accepts_a_repeat() {
    let mut table = table(1);
    table.mint(5, Time::ZERO);
    let export = table.export();
    let mut peer = self::table(2);
    peer.import(export.clone(), NOW).expect("room");
    peer.import(export, NOW).expect("nothing new");
    let mut other = self::table(3);
    other.mint(5, Time::ZERO);
    assert_eq!(peer.import(other.export(), NOW), Err(ImportError::Full));
}
