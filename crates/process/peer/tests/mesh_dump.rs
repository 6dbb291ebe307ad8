//! The dump of a mesh, taken while it runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::runtime::Builder;
use tokio_util::sync::CancellationToken;

use conf::catalog::Catalog;
use conf::object::Object;
use peer::gossip::Withdrawal;
use peer::mesh::Mesh;
use peer::mesh::Settings;
use peer::protocol::Handler;
use peer::protocol::Response;
use peer::record::Addresses;
use wire::caller::Query;
use wire::id::Incarnation;

/// A node that holds nothing.
struct Empty;

impl Handler for Empty {
    fn catalog(&self) -> Arc<Catalog> {
        Arc::new(Catalog::new())
    }

    fn on_objects(&self, _: Vec<Object>) {}

    fn on_withdrawals(&self, _: Vec<Withdrawal>) {}

    fn run_query(&self, _: Query) -> BoxFuture<'static, Response> {
        Box::pin(std::future::pending())
    }

    fn take_over(&self, _: Vec<u8>) -> bool {
        false
    }

    fn tallies(&self) -> Vec<u8> {
        Vec::new()
    }
}

/// Far more than a dump takes; only a lock that is never freed uses it up.
const HANG: Duration = Duration::from_secs(20);

/// The dump runs on a thread of its own, and the mesh on a runtime that is left
/// behind, so that a lock which is never freed fails the test and doesn't hang it.
#[test]
fn dump_takes_each_lock_once() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let addresses = Addresses { caller: any, peer: any, operator: any };
    let settings = Settings::new("n1".into(), Incarnation(1), addresses, "a".into(), "r".into());
    let stop = CancellationToken::new();
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let started = runtime.block_on(Mesh::start(settings, Arc::new(Empty), stop.clone()));
    let mesh = started.expect("a free port");
    let (told, members) = mpsc::channel();
    std::thread::spawn(move || told.send(mesh.dump().members.len()));
    let members = members.recv_timeout(HANG);
    stop.cancel();
    runtime.shutdown_background();
    assert_eq!(members, Ok(1), "the dump hangs");
}
