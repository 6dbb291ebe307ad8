//! The exchange of the use of customers' rates, between two nodes over loopback.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::support::heartbeat;
use crate::support::members;
use base::time::Time;
use entry::clock::Clock;
use entry::fairness;
use entry::members::Members;
use entry::members::Peer;
use entry::shares::Shares;
use entry::usage;
use entry::usage::Context;
use entry::usage::Runs;
use entry::usage::State;
use entry::usage::Token;
use share::bound::Bound;
use share::usage::Rate;

mod support;

const BOUND: Bound = Bound { window: Duration::from_secs(5), factor: 1.1, slack: 20.0 };

/// The key of the only customer.
const KEY: u32 = 7;

struct Node {
    clock: Clock,
    /// Time that has passed beside that of the clock.
    passed: Cell<Duration>,
    usage: State,
    members: RefCell<Members>,
    port: u16,
    datagrams: Cell<usize>,
}

impl Context for Node {
    fn now(&self) -> Time {
        self.clock.now() + self.passed.get()
    }

    fn usage(&self) -> &State {
        &self.usage
    }

    fn members(&self) -> &RefCell<Members> {
        &self.members
    }

    fn shares(&self) -> Shares {
        Shares { serving: true, serving_nodes: 2, standby_nodes: 0 }
    }

    fn incarnation(&self) -> u64 {
        u64::from(self.port)
    }

    fn peer_port(&self) -> u16 {
        self.port
    }

    fn sent(&self, datagrams: usize, _bytes: usize) {
        self.datagrams.set(self.datagrams.get() + datagrams);
    }
}

fn peer(last: u8) -> Peer {
    let ip = IpAddr::from([127, 0, 0, last]);
    Peer { ip, data_centre: Arc::from("hall-a"), capacity: 1000 }
}

/// Node `number` and its socket; runs until the test ends.
async fn start(number: usize, port: u16, rates: HashMap<u32, Rate>) -> (Rc<Node>, u16) {
    let peers = [1, 2].map(peer);
    let socket = Rc::new(UdpSocket::bind((peers[number].ip, port)).await.expect("a socket"));
    let port = socket.local_addr().expect("an address").port();
    let mut members = members(&peers[number]);
    let other = &peers[1 - number];
    members.on_heartbeat(Time::from_millis(0), other.ip, heartbeat(other, 1));
    let node = Rc::new(Node {
        clock: Clock::new(),
        passed: Cell::default(),
        usage: State::new(Some(BOUND)),
        members: RefCell::new(members),
        port,
        datagrams: Cell::new(0),
    });
    usage::install(&*node, rates);
    spawn_local(usage::send(Rc::clone(&node), Rc::clone(&socket)));
    let receiver = Rc::clone(&node);
    spawn_local(async move {
        let mut buffer = [0; 1400];
        while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
            assert!(usage::on_datagram(&*receiver, from, &buffer[..length]));
        }
    });
    (node, port)
}

fn rates(per_second: f64) -> HashMap<u32, Rate> {
    HashMap::from([(KEY, Rate { per_second, burst: 5.0 })])
}

fn admitted(node: &Node) -> usize {
    (0..100).filter(|_| usage::take(node, KEY).is_ok()).count()
}

/// Guards against nodes that don't hear of each other's use: without it, both admit the burst.
#[tokio::test]
async fn shared_level() {
    let run = async {
        let (first, port) = start(0, 0, rates(0.5)).await;
        let (second, _) = start(1, port, rates(0.5)).await;
        let before = admitted(&first);
        assert!(before >= 5, "{before}");
        sleep(Duration::from_millis(200)).await;
        let after = admitted(&second);
        assert!(after < before, "{before} {after}");
        assert!(first.datagrams.get() > 0);
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against nodes without use being taken for ones of an earlier build, whose share is
/// reserved since they report nothing, and against the opposite.
#[tokio::test]
async fn silence_of_idle_nodes() {
    let run = async {
        for hears in [true, false] {
            let (first, port) = start(0, 0, rates(100.0)).await;
            let second_rates = if hears { rates(100.0) } else { HashMap::new() };
            let (second, _) = start(1, port, second_rates).await;
            let mut count = 0;
            for step in 0..160 {
                // 16 s in which each node sends heartbeats, and the first one has requests.
                for node in [&first, &second] {
                    node.passed.set(Duration::from_millis(100 * step));
                    let other = peer(1 + u8::from(Rc::ptr_eq(node, &first)));
                    let beat = heartbeat(&other, 1);
                    node.members.borrow_mut().on_heartbeat(node.now(), other.ip, beat);
                    usage::divide(&**node);
                }
                let admitted = admitted(&first);
                count += if step < 100 { 0 } else { admitted };
                sleep(Duration::from_millis(10)).await;
            }
            assert_eq!(count > 400, hears, "{count} in 6 s");
        }
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against datagrams and limits in a deployment whose customers have no rates.
#[tokio::test]
async fn customers_without_rates() {
    let run = async {
        for rates in [HashMap::new(), rates(0.0)] {
            let (node, _) = start(0, 0, rates).await;
            assert_eq!(admitted(&node), 100);
            sleep(Duration::from_millis(100)).await;
            assert_eq!(node.datagrams.get(), 0);
        }
    };
    LocalSet::new().run_until(run).await;
}

/// The attempts of a request that may have run.
struct Attempts(Cell<u32>);

impl Runs for Attempts {
    fn may_have_run(&self) -> bool {
        self.0.get() > 0
    }
}

/// Guards against tokens that are lost with requests that have not run, so that a customer is
/// refused below its quota, and against tokens of requests that have run and are used twice.
#[tokio::test]
async fn returned_tokens() {
    let run = async {
        // Nothing is added to the bucket in the time of the test.
        let (node, _) = start(0, 0, rates(0.001)).await;
        let token = |runs: u32| {
            let request = Rc::new(Attempts(Cell::new(runs)));
            let context = Rc::clone(&node) as Rc<dyn Context>;
            (Token::new(context, Rc::clone(&request) as Rc<dyn Runs>, KEY), request)
        };
        while usage::take(&*node, KEY).is_ok() {}
        let is_returned = || usage::take(&*node, KEY).is_ok();
        assert!(!is_returned());
        // The caller disconnects before a send, or the request is passed on.
        drop(token(0).0);
        assert!(is_returned());
        // The only attempt is refused by the server, which certifies that it did not run it.
        let (refused, request) = token(1);
        request.0.set(0);
        drop(refused);
        assert!(is_returned());
        // All attempts together count as not run.
        token(1).0.give_back();
        assert!(is_returned());
        // An attempt runs when the caller disconnects.
        drop(token(1).0);
        assert!(!is_returned());
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a customer with many requests that takes the capacity of the others, against
/// requests that are refused without a lack of capacity, and those of customers without a rate.
#[tokio::test]
async fn trimmed_customer() {
    const SMALL: u32 = 8;
    const UNLIMITED: u32 = 9;
    let run = async {
        let rate = Rate { per_second: 1000.0, burst: 1000.0 };
        let (node, _) = start(0, 0, HashMap::from([(KEY, rate), (SMALL, rate)])).await;
        sleep(Duration::from_millis(200)).await;
        (0..60).for_each(|_| assert_eq!(usage::take(&*node, KEY), Ok(())));
        (0..10).for_each(|_| assert_eq!(usage::take(&*node, SMALL), Ok(())));
        usage::divide(&*node);
        let state = fairness::State::default();
        let admit = |key, random: f64| fairness::admit(&state, &*node, key, || random);
        state.record(false);
        assert_eq!(admit(KEY, 0.99), Ok(()));
        (0..20).for_each(|_| state.record(true));
        let retry_after = admit(KEY, 0.99).expect_err("trimmed");
        assert!(retry_after >= Duration::from_millis(500), "{retry_after:?}");
        assert_eq!(admit(KEY, 0.01), Ok(()));
        assert_eq!((admit(SMALL, 0.99), admit(UNLIMITED, 0.99)), (Ok(()), Ok(())));
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a heartbeat or a notice being taken for usage, and usage for either of them.
#[test]
fn distinct_marks() {
    let node = Node {
        clock: Clock::new(),
        passed: Cell::default(),
        usage: State::new(Some(BOUND)),
        members: RefCell::new(members(&support::peer(0, 0, 1000))),
        port: 1,
        datagrams: Cell::new(0),
    };
    let from = ([127, 0, 0, 1], 1).into();
    let beat = rmp_serde::to_vec(&heartbeat(&support::peer(0, 1, 1000), 1)).expect("a heartbeat");
    assert!(!usage::on_datagram(&node, from, &beat));
    assert!(!usage::on_datagram(&node, from, &[0xc1, 0x90]));
    assert!(usage::on_datagram(&node, from, &[0xc1, 0xc1, 0x92, 0x01, 0x90]));
    assert!(rmp_serde::from_slice::<Vec<u8>>(&[0xc1, 0x92]).is_err());
}
