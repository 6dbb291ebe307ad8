//! Messages between nodes of two builds, as a rolling replacement mixes them: what each build
//! writes, the other one reads. A poll or an answer that can't be read leaves a data centre's
//! followers without changes; a heartbeat that can't be read makes its sender silent.

use std::sync::Arc;
use std::time::Duration;

use crate::support::ip;
use crate::support::peer;
use entry::members::Heartbeat;
use entry::message;
use entry::message::CONFIG_FORMAT;
use entry::message::Poll;
use entry::message::State;
use entry::message::Update;
use entry::registry::Batch;
use entry::registry::Event;
use entry::registry::Item;
use entry::registry::Kind;
use entry::revision::Revision;
use share::part::Report;
use site::config::Config;
use site::config::Limits;
use site::config::Route;
use site::config::Service;
use site::config::Shards;
use site::config::Share;
use site::config::Target;
use site::register::Entry;
use site::register::Incarnation;

mod earlier;
mod support;

/// What the build before field names wrote, without them, of [`poll`], [`state`] and
/// [`heartbeat`].
const POLL: &[u8] = include_bytes!("samples/poll.msgpack");
const STATE: &[u8] = include_bytes!("samples/state.msgpack");
const HEARTBEAT: &[u8] = include_bytes!("samples/heartbeat.msgpack");

fn revision(number: u64) -> Revision {
    Revision { era: 3, number }
}

fn poll() -> Poll {
    Poll {
        ip: ip(0, 4),
        config: Some(revision(7)),
        servers: None,
        version: Some(2),
        era: 3,
        is_new: true,
        wait_ms: 700,
        knows_evacuations: false,
        evacuations: None,
    }
}

fn incarnation() -> Incarnation {
    Incarnation { id: Arc::from("server-1"), born: 1_700_000_000_000 }
}

fn state() -> State {
    let entry = Entry {
        incarnation: incarnation(),
        service: Arc::from("shard-1"),
        address: (ip(1, 2), 8080).into(),
        data_centre: Arc::from("hall-b"),
        slots: 4,
        draining: false,
        warmup: Duration::from_millis(1500),
    };
    let route = |name: &str, target| Route {
        name: Arc::from(name),
        host: Arc::from("example.test"),
        prefix: Arc::from("/"),
        target,
        idempotent: true,
        timeout: Duration::from_millis(900),
        objective: Duration::from_millis(80),
        priority: 1,
        attempts: 3,
        homes: vec![Arc::from("north")],
        public: false,
    };
    let shards = Shards { services: vec![Arc::from("shard-1")], top_k: 10, required_coverage: 0.9 };
    let share = Share { service: Arc::from("shard-1"), weight: 1.0 };
    let config = Config {
        version: 2,
        routes: vec![route("a", Target::One(vec![share])), route("b", Target::All(shards))],
        services: vec![Service {
            name: Arc::from("shard-1"),
            connections: 40,
            warmup: Duration::from_secs(20),
            warmup_per_second: 12.5,
        }],
        limits: Limits::default(),
        customers: None,
    };
    let update = |kind, is_list, events| {
        let batch = Batch { events, revision: revision(9) };
        Update { kind, is_list, batch }
    };
    let unreadable = Event::Unreadable { name: Arc::from("x"), reason: "no address".to_owned() };
    let changes =
        vec![Event::Put(Item::Server(entry)), Event::Removed(Arc::from("server-2")), unreadable];
    State {
        updates: vec![
            update(Kind::Config, true, vec![Event::Put(Item::Config(Box::new(config)))]),
            update(Kind::Servers, false, changes),
        ],
        ages_ms: [120, 340],
        outage_age_ms: Some(5000),
        era: 3,
        is_registered: Some(true),
        leaving: vec![incarnation()],
        evacuations_age_ms: None,
        held_evacuations: Vec::new(),
        config_format: 0,
    }
}

fn heartbeat() -> Heartbeat {
    let report = Report { server: 77, per_second: 40.0, demand: 12.5, age_ms: 300 };
    Heartbeat {
        known: vec![peer(1, 3, 250)],
        departures: vec![incarnation()],
        limits: vec![report],
        reach: 90,
        ..support::heartbeat(&peer(0, 4, 500), 99)
    }
}

#[test]
fn earlier_messages_are_read() {
    assert_eq!(message::decode::<Poll>(POLL).expect("poll"), poll());
    assert_eq!(message::decode::<State>(STATE).expect("answer"), state());
    assert_eq!(rmp_serde::from_slice::<Heartbeat>(HEARTBEAT).expect("heartbeat"), heartbeat());
}

/// Heartbeats are still positional: a field more makes them unreadable for the earlier build.
#[test]
fn heartbeat_is_written_as_before() {
    assert_eq!(rmp_serde::to_vec(&heartbeat()).expect("encodes"), HEARTBEAT);
}

/// Compares the debug forms of what the earlier build reads from its own message and from the
/// one with field names.
#[test]
fn earlier_build_reads_field_names() {
    let read = |bytes: &[u8]| format!("{:?}", rmp_serde::from_slice::<earlier::Poll>(bytes));
    let poll = Poll { knows_evacuations: true, evacuations: Some(revision(8)), ..poll() };
    let written = message::encode(&poll).expect("encodes");
    assert!(read(&written).starts_with("Ok("), "{}", read(&written));
    assert_eq!(read(&written), read(POLL));
    let read = |bytes: &[u8]| format!("{:?}", rmp_serde::from_slice::<earlier::State>(bytes));
    let held_evacuations = vec![(Arc::from("hall-a"), 900)];
    let state = State { evacuations_age_ms: Some(40), held_evacuations, ..state() };
    let written = message::encode(&state).expect("encodes");
    assert!(read(&written).starts_with("Ok("), "{}", read(&written));
    assert_eq!(read(&written), read(STATE));
}

/// A configuration that an earlier build passes on lacks the customers: a node that used it would
/// check no keys.
#[test]
fn configuration_of_an_earlier_build_may_lack_fields() {
    let earlier = message::decode::<State>(STATE).expect("answer");
    assert!(earlier.may_lack_fields());
    let written = message::encode(&State { config_format: CONFIG_FORMAT, ..state() });
    let present = message::decode::<State>(&written.expect("encodes")).expect("answer");
    assert!(!present.may_lack_fields());
}

/// An update of a kind that the asking node doesn't know makes its whole answer unreadable.
#[test]
fn evacuations_are_sent_only_to_nodes_that_know_them() {
    let poll = message::decode::<Poll>(POLL).expect("poll");
    assert!(poll.kinds().eq([Kind::Config, Kind::Servers]));
    let poll = Poll { knows_evacuations: true, ..poll };
    assert!(poll.kinds().eq([Kind::Config, Kind::Servers, Kind::Evacuations]));
}
