//! The client against the platform's stand-in, with its faults injected. Every wait
//! is for a condition, with a timeout that is reached only if the test fails.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Policy;
use conf::object::Spec;
use fakes::platform::Delay;
use fakes::platform::Fault;
use fakes::platform::Loss;
use fakes::platform::Outage;
use fakes::platform::Platform;
use store::api::Error;
use store::api::Precondition;
use store::api::Store;
use store::client::Client;
use store::client::Settings;
use store::watch;
use store::watcher;
use store::write;
use store::write::Outcome;
use store::write::Request;
use wire::platform::Vms;

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn platform() -> (Platform, Arc<Client>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::start(any).expect("port 0 is free");
    let timeout = Duration::from_millis(1000);
    let settings = Settings { timeout, calls_per_second: 1000.0, burst: 1000.0 };
    let client = Client::new(vec![platform.address()], settings);
    (platform, Arc::new(client))
}

fn request(expected: Precondition, operation: &str) -> Request {
    let key = Key { kind: Kind::Policy, name: "p".into() };
    let spec = Some(Spec::Policy(Policy::default()));
    Request { key, expected, spec, operation: operation.into() }
}

async fn write(client: &Client, request: Request) -> Outcome {
    write::run(client, request, Duration::from_secs(10), 1).await
}

#[tokio::test]
async fn lost_answers_are_read_back() {
    let (platform, client) = platform();
    for (index, lose_by) in [Loss::Close, Loss::Hang].into_iter().enumerate() {
        let lost = Fault { effect_without_answer: 1, lose_by, ..Fault::default() };
        platform.inject_fault(lost);
        let present = client.get(&request(Precondition::Absent, "").key).await.expect("answered");
        let expected = present
            .map_or(Precondition::Absent, |stored| Precondition::Revision(stored.object.revision));
        let operation = format!("operation-{index}");
        let outcome = write(&client, request(expected, &operation)).await;
        assert_eq!(outcome, Outcome::Accepted(index as u64 + 1));
    }
    let outcome = write(&client, request(Precondition::Absent, "late")).await;
    let Outcome::Conflict(Some(winner)) = outcome else { panic!("{outcome}") };
    assert_eq!(&*winner.operation, "operation-1");
    assert_eq!(platform.stats().calls, client.counters().calls, "each call is counted");
}

#[tokio::test]
async fn late_effect_never_runs_twice() {
    let (platform, client) = platform();
    let late = Some(Delay { writes: 1, ms: 3000 });
    platform.inject_fault(Fault { late_effect: late, ..Fault::default() });
    let outcome = write(&client, request(Precondition::Absent, "a")).await;
    assert_eq!(outcome, Outcome::Accepted(1));
    let conflicts = async {
        while platform.stats().conflicts == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(
        tokio::time::timeout(WAIT_TIMEOUT, conflicts).await.is_ok(),
        "the delayed attempt is refused"
    );
    assert_eq!(platform.stats().revision, 1);
}

#[tokio::test]
async fn outages_give_the_right_outcome() {
    let (platform, client) = platform();
    for outage in [Outage::Refuse, Outage::Close, Outage::Hang] {
        platform.inject_fault(Fault { outage: Some(outage), ..Fault::default() });
        let short = Duration::from_millis(800);
        let outcome = write::run(&*client, request(Precondition::Absent, "a"), short, 1).await;
        assert_eq!(outcome, Outcome::Unknown(None), "{outage:?}");
    }
    let closed = SocketAddr::from(([127, 0, 0, 1], 1));
    let client = Client::new(vec![closed], Settings::default());
    let outcome = write(&client, request(Precondition::Absent, "a")).await;
    let refused = matches!(outcome, Outcome::NotWritten(Error::NotSent(_)));
    assert!(refused, "no server listens on the port: {outcome}");
}

#[derive(Default)]
struct Received {
    highest: Mutex<u64>,
}

impl watcher::Handler for Received {
    fn is_watcher(&self) -> bool {
        true
    }

    fn highest_known_revision(&self) -> u64 {
        0
    }

    fn on_objects(&self, objects: Vec<Object>) {
        let mut highest = self.highest.lock();
        let revisions = objects.iter().map(|object| object.revision);
        *highest = revisions.chain([*highest]).max().unwrap_or(0);
    }

    fn on_synced(&self, _: u64) {}

    fn on_vms(&self, _: Vms) {}

    fn on_outage(&self, _: Duration) {}
}

async fn reaches_revision(received: &Received, revision: u64) -> bool {
    let reached = async {
        while *received.highest.lock() < revision {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, reached).await.is_ok()
}

#[tokio::test]
async fn changes_arrive_though_the_watch_is_silent() {
    let (platform, client) = platform();
    let received = Arc::new(Received::default());
    let stop = CancellationToken::new();
    let settings = watch::Settings {
        max_wait: Duration::from_millis(200),
        check_interval: Duration::from_millis(300),
        max_lag: Duration::from_millis(100),
        ..watch::Settings::default()
    };
    tokio::spawn(watcher::run(client.clone(), received.clone(), settings, 1, stop.clone()));
    assert_eq!(write(&client, request(Precondition::Absent, "a")).await, Outcome::Accepted(1));
    assert!(reaches_revision(&received, 1).await, "the watch delivers the change");
    platform.inject_fault(Fault { silent_watch: true, ..Fault::default() });
    let changed = write(&client, request(Precondition::Revision(1), "b")).await;
    assert_eq!(changed, Outcome::Accepted(2));
    assert!(
        reaches_revision(&received, 2).await,
        "the change arrives although the watch is silent"
    );
    stop.cancel();
}
