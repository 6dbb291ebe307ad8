//! The dump of a running mesh.

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

/// A node without objects.
struct EmptyNode;

impl Handler for EmptyNode {
    fn catalog(&self) -> Arc<Catalog> {
        Arc::new(Catalog::new())
    }

    fn on_objects(&self, _: Vec<Object>) {}

    fn on_withdrawals(&self, _: Vec<Withdrawal>) {}

    fn run_query(&self, _: Query) -> BoxFuture<'static, Response> {
        Box::pin(std::future::pending())
    }

    fn import_tickets(&self, _: Vec<u8>) -> bool {
        false
    }

    fn contribution(&self) -> Vec<u8> {
        Vec::new()
    }
}

/// Far longer than a dump takes; reached only in a deadlock.
const DEADLOCK_TIMEOUT: Duration = Duration::from_secs(20);

/// The dump runs on a separate thread, and the runtime is shut down without waiting for
/// it, so that a deadlock fails the test instead of hanging it.
#[test]
fn dump_takes_each_lock_once() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let addresses = Addresses { caller: any, peer: any, operator: any };
    let settings = Settings::new("n1".into(), Incarnation(1), addresses, "a".into(), "r".into());
    let stop = CancellationToken::new();
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let started = runtime.block_on(Mesh::start(settings, Arc::new(EmptyNode), stop.clone()));
    let mesh = started.expect("a free port");
    let (sender, members) = mpsc::channel();
    std::thread::spawn(move || sender.send(mesh.dump().members.len()));
    let members = members.recv_timeout(DEADLOCK_TIMEOUT);
    stop.cancel();
    runtime.shutdown_background();
    assert_eq!(members, Ok(1), "the dump deadlocks");
}
