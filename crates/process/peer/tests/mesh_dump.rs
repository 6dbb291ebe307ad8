//! The dump of a mesh, taken while it runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use conf::catalog::Catalog;
use conf::object::Object;
use peer::link::Acted;
use peer::link::Host;
use peer::mesh::Mesh;
use peer::mesh::Settings;
use peer::record::Addresses;
use peer::spread::Mark;
use wire::caller::Query;
use wire::id::Incarnation;

/// A node that holds nothing.
struct Empty;

impl Host for Empty {
    fn catalog(&self) -> Arc<Catalog> {
        Arc::new(Catalog::new())
    }

    fn offer(&self, _: Vec<Object>) {}

    fn marks(&self, _: Vec<Mark>) {}

    fn act(&self, _: Query) -> BoxFuture<'static, Acted> {
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

#[tokio::test]
async fn dump_takes_each_lock_once() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let addresses = Addresses { caller: any, peer: any, operator: any };
    let settings = Settings::new("n1".into(), Incarnation(1), addresses, "a".into(), "r".into());
    let stop = CancellationToken::new();
    let mesh = Mesh::start(settings, Arc::new(Empty), stop.clone()).await.expect("a free port");
    let dumped = tokio::task::spawn_blocking(move || mesh.dump().members.len());
    let members = timeout(HANG, dumped).await;
    stop.cancel();
    match members {
        Ok(members) => assert_eq!(members.expect("no panic"), 1),
        // The hung thread would keep the runtime from ending.
        Err(_) => std::process::abort(),
    }
}
