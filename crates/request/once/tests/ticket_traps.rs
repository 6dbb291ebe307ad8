//! Each way to break "at most once" or its true outcome, one by one.

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

const KEEP: Duration = Duration::from_secs(60);
const DEADLINE: Time = Time::from_millis(500);
const NOW: Time = Time::from_millis(1);
const LATE: Time = Time::from_millis(501);
const PRINT: u64 = 7;

fn table(incarnation: u64) -> Table {
    Table::new(Incarnation(incarnation), 8, KEEP)
}

fn minted() -> (Table, Ticket) {
    let mut table = table(1);
    let ticket = table.mint(1, Time::ZERO)[0];
    (table, ticket)
}

/// A table whose ticket's request runs and was sent.
fn sent() -> (Table, Ticket) {
    let (mut table, ticket) = minted();
    assert_eq!(table.begin(ticket, PRINT, DEADLINE, NOW), Disposition::Run);
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
    table.begin(ticket, PRINT, DEADLINE, NOW)
}

#[test]
fn duplicate_in_flight_waits() {
    let (mut table, ticket) = sent();
    assert_eq!(resend(&mut table, ticket), Disposition::Running);
    table.finish(ticket, answer(), NOW);
    assert_eq!(resend(&mut table, ticket), Disposition::Done(answer()));
}

#[test]
fn paused_minter_sends_nothing_late() {
    let (mut table, ticket) = minted();
    assert_eq!(resend(&mut table, ticket), Disposition::Run);
    assert!(table.may_send(ticket, NOW));
    assert!(!table.may_send(ticket, LATE));
    assert!(!table.try_mark_sent(ticket, LATE));
}

#[test]
fn lost_reply_is_unknown_for_ever() {
    let (mut table, ticket) = sent();
    let told = table.finish(ticket, refusal(Execution::Unknown), NOW);
    assert_eq!(told, refusal(Execution::Unknown));
    assert_eq!(resend(&mut table, ticket), Disposition::Done(told));
    assert!(!table.may_send(ticket, NOW));
}

#[test]
fn not_run_without_a_certificate_is_unknown() {
    let (mut table, ticket) = sent();
    let told = table.finish(ticket, refusal(Execution::NotRun), NOW);
    assert_eq!(told, refusal(Execution::Unknown));
    assert_eq!(resend(&mut table, ticket), Disposition::Done(told));
}

#[test]
fn certificate_allows_another_send() {
    let (mut table, ticket) = sent();
    assert!(!table.try_mark_sent(ticket, NOW), "sent twice");
    table.mark_not_run(ticket);
    assert!(table.try_mark_sent(ticket, NOW));
}

/// A copy that was delayed on its way must not run after "not run" was told.
#[test]
fn not_run_is_final() {
    let (mut table, ticket) = sent();
    table.mark_not_run(ticket);
    let told = table.finish(ticket, refusal(Execution::NotRun), NOW);
    assert_eq!(told, refusal(Execution::NotRun));
    assert_eq!(resend(&mut table, ticket), Disposition::Done(told));
    assert!(!table.try_mark_sent(ticket, NOW));
}

#[test]
fn ticket_is_bound_to_its_request() {
    let (mut table, ticket) = sent();
    assert_eq!(table.begin(ticket, PRINT + 1, DEADLINE, NOW), Disposition::Mismatch);
    let forged = Ticket { number: 99, ..ticket };
    assert_eq!(resend(&mut table, forged), Disposition::Mismatch);
}

#[test]
fn only_the_minter_runs_it() {
    let (_, ticket) = minted();
    let mut peer = table(2);
    assert_eq!(resend(&mut peer, ticket), Disposition::NotOwner(ticket.minter));
    assert!(!peer.may_send(ticket, NOW) && !peer.try_mark_sent(ticket, NOW));
}

#[test]
fn new_incarnation_on_the_same_address_runs_nothing() {
    let (_, ticket) = sent();
    let mut restarted = table(3);
    restarted.mint(1, NOW);
    assert_eq!(resend(&mut restarted, ticket), Disposition::NotOwner(ticket.minter));
    assert!(!restarted.try_mark_sent(ticket, NOW));
}

#[test]
fn full_table_mints_no_more_and_forgets_nothing() {
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
fn forgotten_ticket_never_runs() {
    let (mut table, ticket) = minted();
    let late = Time::ZERO + KEEP;
    let expired = table.begin(ticket, PRINT, Time::NEVER, late);
    assert_eq!(expired, Disposition::Expired(Execution::NotRun));
    let expired = table.begin(ticket, PRINT, Time::NEVER, late + KEEP);
    assert_eq!(expired, Disposition::Expired(Execution::Unknown));
    assert!(table.is_empty());
}

#[test]
fn running_ticket_outlives_its_use() {
    let (mut table, ticket) = minted();
    let before = Time(KEEP.as_micros() as u64 - 1);
    let deadline = before + KEEP;
    assert_eq!(table.begin(ticket, PRINT, deadline, before), Disposition::Run);
    assert!(table.try_mark_sent(ticket, before));
    let remembered = deadline + KEEP / 2;
    assert_eq!(table.begin(ticket, PRINT, deadline, remembered), Disposition::Running);
    let forgotten = deadline + KEEP;
    let expired = table.begin(ticket, PRINT, deadline, forgotten);
    assert_eq!(expired, Disposition::Expired(Execution::Unknown));
}

/// What a peer says after it adopted `table`, by way of the encoded form.
fn after_hand_over(table: &mut Table, ticket: Ticket) -> Disposition {
    let text = serde_json::to_string(&table.export()).expect("the encoded form");
    let sealed: Export = serde_json::from_str(&text).expect("the decoded form");
    let mut peer = self::table(2);
    peer.import(sealed, NOW).expect("room");
    let told = resend(&mut peer, ticket);
    assert!(!peer.try_mark_sent(ticket, NOW));
    told
}

#[test]
fn hand_over_tells_the_true_outcome() {
    let (mut unused, ticket) = minted();
    assert_eq!(after_hand_over(&mut unused, ticket), Disposition::OwnerStopped(Execution::NotRun));

    let (mut unsent, ticket) = minted();
    assert_eq!(resend(&mut unsent, ticket), Disposition::Run);
    assert_eq!(after_hand_over(&mut unsent, ticket), Disposition::OwnerStopped(Execution::NotRun));
    assert!(!unsent.try_mark_sent(ticket, NOW), "sent after the seal");

    let (mut running, ticket) = sent();
    assert_eq!(
        after_hand_over(&mut running, ticket),
        Disposition::OwnerStopped(Execution::Unknown)
    );

    let (mut done, ticket) = sent();
    done.finish(ticket, answer(), NOW);
    assert_eq!(after_hand_over(&mut done, ticket), Disposition::Done(answer()));
}

#[test]
fn sealed_table_does_nothing_more() {
    let (mut table, ticket) = minted();
    table.export();
    assert!(table.mint(1, NOW).is_empty());
    assert_eq!(resend(&mut table, ticket), Disposition::OwnerStopped(Execution::NotRun));
    let (mut other, _) = minted();
    assert_eq!(table.import(other.export(), NOW), Err(ImportError::Sealed));
}

#[test]
fn second_hand_over_knows_better() {
    let (mut table, ticket) = sent();
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
fn hand_over_passes_through_two_stops() {
    let (mut table, ticket) = sent();
    table.finish(ticket, answer(), NOW);
    let mut second = self::table(2);
    second.import(table.export(), NOW).expect("room");
    let mut third = self::table(3);
    third.import(second.export(), NOW).expect("room");
    assert_eq!(resend(&mut third, ticket), Disposition::Done(answer()));
}

#[test]
fn full_peer_refuses_but_takes_a_repeat() {
    let mut table = table(1);
    table.mint(5, Time::ZERO);
    let sealed = table.export();
    let mut peer = self::table(2);
    peer.import(sealed.clone(), NOW).expect("room");
    peer.import(sealed, NOW).expect("nothing new");
    let mut other = self::table(3);
    other.mint(5, Time::ZERO);
    assert_eq!(peer.import(other.export(), NOW), Err(ImportError::Full));
}
