//! The ledger of what others make a node hold: its limits under any order of events, and who is given
//! up first.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::time::Time;
use entry::inbound::Body;
use entry::inbound::Connection;
use entry::inbound::Ledger;
use entry::inbound::Limits;
use entry::inbound::Listener;

const BUFFER: usize = 16 << 10;

fn ledger(limits: Limits) -> Rc<Ledger> {
    Rc::new(Ledger::new(limits, Rc::default()))
}

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn is_ended(connection: &Connection) -> bool {
    connection.ended().now_or_never().is_some()
}

fn has_lost_body(connection: &Connection) -> bool {
    connection.body_ended().now_or_never().is_some()
}

/// What a run does with a connection.
struct Peer {
    connection: Connection,
    listener: Listener,
    body: Option<Body>,
    is_running: bool,
}

/// Guards against an account that loses or forgets something: the limits hold after each event, what
/// runs is not given up, and nothing is left at the end.
#[test]
fn limits_hold_for_any_order_of_events() {
    let limits = Limits { descriptors: 340, buffers: 3 << 20, bodies: 1 << 20 };
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ledger = ledger(limits);
        let mut peers: Vec<Peer> = Vec::new();
        let mut now = Time::ZERO;
        for _ in 0..3000 {
            now = now + Duration::from_millis(rng.random_range(0..40));
            peers.retain(|peer| peer.is_running || !is_ended(&peer.connection));
            if peers.is_empty() || rng.random_bool(0.3) {
                let listener = Listener::ALL[rng.random_range(0..Listener::ALL.len())];
                let opened = ledger.open(now, listener, BUFFER);
                peers.extend(opened.map(|connection| Peer {
                    connection,
                    listener,
                    body: None,
                    is_running: false,
                }));
            } else {
                let index = rng.random_range(0..peers.len());
                let peer = &mut peers[index];
                match rng.random_range(0..7) {
                    6 => peer.connection.sent(now, rng.random_range(1..50_000)),
                    0 => peer.connection.received(now, rng.random_range(1..20_000)),
                    1 if !peer.is_running => {
                        peer.connection.begin(now);
                        peer.body = Some(peer.connection.body());
                    }
                    2 if !peer.is_running => {
                        if let Some(body) = &mut peer.body
                            && !body.grow(now, rng.random_range(512..64 << 10))
                        {
                            peer.body = None;
                        }
                    }
                    3 if !has_lost_body(&peer.connection) => {
                        peer.connection.run();
                        peer.is_running = true;
                    }
                    4 if peer.is_running => {
                        peer.connection.answered(now, rng.random_range(0..100_000));
                        peer.body = None;
                        peer.is_running = false;
                    }
                    _ => drop(peers.swap_remove(index)),
                }
            }
            let running = peers.iter().filter(|peer| peer.is_running);
            assert!(running.into_iter().all(|peer| !is_ended(&peer.connection)), "seed {seed}");
            assert!(ledger.buffers() <= limits.buffers, "seed {seed}: {}", ledger.buffers());
            assert!(ledger.bodies().held <= limits.bodies, "seed {seed}: {:?}", ledger.bodies());
            for listener in Listener::ALL {
                let held = ledger.connections(listener).held;
                assert!(held <= limits.connections(listener, 0), "seed {seed}: {held}");
                let open = peers.iter().filter(|peer| peer.listener == listener);
                let open = open.filter(|peer| !is_ended(&peer.connection)).count();
                assert_eq!(held, open, "seed {seed}: {listener:?}");
            }
        }
        drop(peers);
        assert_eq!((ledger.buffers(), ledger.bodies().held), (0, 0), "seed {seed}");
    }
}

/// Room for four connections of callers.
fn small_ledger() -> Rc<Ledger> {
    ledger(Limits { descriptors: 16, buffers: usize::MAX, bodies: 64 << 10 })
}

fn open(ledger: &Rc<Ledger>, ms: u64) -> Connection {
    ledger.open(at(ms), Listener::Callers, BUFFER).expect("room")
}

/// Makes a connection that has brought a request.
fn open_used(ledger: &Rc<Ledger>, ms: u64) -> Connection {
    let connection = open(ledger, ms);
    connection.begin(at(ms));
    connection.run();
    connection.answered(at(ms), 0);
    connection
}

#[test]
fn stranger_without_progress_is_given_up_before_used_connections() {
    let ledger = small_ledger();
    let used = [open_used(&ledger, 0), open_used(&ledger, 0)];
    let strangers = [open(&ledger, 100), open(&ledger, 200)];
    strangers[0].received(at(4000), 10);
    let _next = open(&ledger, 5000);
    assert!(!is_ended(&strangers[0]) && is_ended(&strangers[1]));
    let _next = open(&ledger, 5000);
    assert!(is_ended(&strangers[0]));
    assert!(!used.iter().any(is_ended));
}

/// Guards against a new connection that ends one which a caller has just used.
#[test]
fn connection_that_was_just_used_is_not_given_up_for_a_new_one() {
    let ledger = small_ledger();
    let used: Vec<Connection> = (0..4).map(|_| open_used(&ledger, 0)).collect();
    assert!(ledger.open(at(500), Listener::Callers, BUFFER).is_none());
    assert!(!used.iter().any(is_ended));
    let _next = open(&ledger, 1500);
    assert_eq!(used.iter().filter(|connection| is_ended(connection)).count(), 1);
}

#[test]
fn crowd_at_one_listener_takes_no_room_from_the_others() {
    let ledger = ledger(Limits { descriptors: 340, buffers: usize::MAX, bodies: 0 });
    let crowd: Vec<_> =
        (0..1000).filter_map(|ms| ledger.open(at(ms), Listener::Lookups, BUFFER)).collect();
    assert_eq!(crowd.iter().filter(|connection| !is_ended(connection)).count(), 42);
    let caller = ledger.open(at(2000), Listener::Callers, BUFFER);
    assert!(caller.is_some());
}

#[test]
fn body_without_progress_is_given_up_first_then_the_largest() {
    let ledger = ledger(Limits { descriptors: 1000, buffers: usize::MAX, bodies: 100 << 10 });
    let start = |ms: u64, bytes: usize| {
        let connection = open(&ledger, ms);
        connection.begin(at(ms));
        let mut body = connection.body();
        assert!(body.grow(at(ms), bytes));
        (connection, body)
    };
    let stalled = start(0, 10 << 10);
    let large = start(3000, 60 << 10);
    let mut small = start(3000, 20 << 10);
    assert!(small.1.grow(at(3100), 15 << 10));
    assert!(has_lost_body(&stalled.0) && !has_lost_body(&large.0));
    assert!(small.1.grow(at(3200), 10 << 10));
    assert!(has_lost_body(&large.0) && !has_lost_body(&small.0));
}

/// Guards against a body that was given up and whose connection refuses all later requests.
#[test]
fn next_body_on_a_connection_is_not_given_up_with_the_last_one() {
    let ledger = ledger(Limits { descriptors: 1000, buffers: usize::MAX, bodies: 20 << 10 });
    let (connection, other) = (open(&ledger, 0), open(&ledger, 0));
    [&connection, &other].into_iter().for_each(|connection| connection.begin(at(0)));
    let (mut lost, mut kept) = (connection.body(), other.body());
    assert!(lost.grow(at(0), 15 << 10) && kept.grow(at(0), 10 << 10));
    assert!(has_lost_body(&connection));
    drop((lost, kept));
    connection.answered(at(10), 0);
    connection.begin(at(20));
    let _next = connection.body();
    assert!(!has_lost_body(&connection));
}

/// Guards against answers that callers don't read and that take all memory.
#[test]
fn unsent_answers_count_until_they_are_taken() {
    let ledger = ledger(Limits { descriptors: 1000, buffers: 200 << 10, bodies: 0 });
    let answer = |ms: u64| {
        let connection = open(&ledger, ms);
        connection.begin(at(ms));
        connection.run();
        connection.answered(at(ms), 80 << 10);
        connection
    };
    let (deaf, reading) = (answer(0), answer(100));
    reading.sent(at(1900), 80 << 10);
    assert_eq!(ledger.buffers(), (2 * 12 + 80) << 10);
    let third = answer(2000);
    let fourth = answer(2000);
    assert!(is_ended(&deaf) && ![&reading, &third, &fourth].into_iter().any(is_ended));
}

/// Guards against a body within the limits of the configuration that is refused in calm.
#[test]
fn single_body_may_have_any_size() {
    let ledger = ledger(Limits { descriptors: 1000, buffers: usize::MAX, bodies: 1000 });
    let connection = open(&ledger, 0);
    connection.begin(at(0));
    let mut body = connection.body();
    assert!((0..64).all(|ms| body.grow(at(ms), 16 << 10)));
}

/// The limits of the users' machines, with the connections to servers that the largest site needs.
#[test]
fn usual_machine_has_room_for_usual_callers() {
    let limits = Limits::new(Some(260_000_000), Some(4100));
    let callers = limits.connections(Listener::Callers, 440);
    assert!(callers > 1800, "{callers}");
    assert!(limits.buffers / (12 << 10) > callers);
    assert!(limits.bodies / (256 << 10) > 100);
    let upstreams = Rc::new(Cell::new(0));
    let ledger = Rc::new(Ledger::new(limits, Rc::clone(&upstreams)));
    let connections: Vec<_> =
        (0..1800).filter_map(|_| ledger.open(at(0), Listener::Callers, BUFFER)).collect();
    assert!(connections.len() == 1800 && !connections.iter().any(is_ended));
    upstreams.set(5000);
    assert!(limits.connections(Listener::Callers, upstreams.get()) > 800);
}
