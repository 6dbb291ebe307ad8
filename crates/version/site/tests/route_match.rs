//! Which route matches a request, and which services the request goes to.

use std::sync::Arc;
use std::time::Duration;

use base::entity::Service;
use base::region;
use customer::config::Customer;
use customer::config::Customers;
use customer::key::Hash;
use customer::key::Salt;
use site::config::Config;
use site::config::Limits;
use site::config::Route;
use site::config::Shards;
use site::config::Share;
use site::config::Target;
use site::router::Fanout;
use site::router::Router;

fn route(name: &str, host: &str, prefix: &str, target: Target) -> Route {
    Route {
        name: Arc::from(name),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        target,
        idempotent: true,
        timeout: Duration::from_millis(800),
        objective: Duration::from_millis(100),
        priority: 1,
        attempts: 2,
        homes: Vec::new(),
        public: false,
    }
}

fn one(service: &str) -> Target {
    Target::One(vec![Share { service: Arc::from(service), weight: 1.0 }])
}

fn router(routes: Vec<Route>) -> Router {
    router_in(&region::Index::default(), routes)
}

fn router_in(regions: &region::Index, routes: Vec<Route>) -> Router {
    router_with(regions, routes, None)
}

fn router_with(
    regions: &region::Index,
    routes: Vec<Route>,
    customers: Option<Customers>,
) -> Router {
    let config =
        Config { version: 1, routes, services: Vec::new(), limits: Limits::default(), customers };
    let mut names: Vec<Arc<str>> = Vec::new();
    Router::new(&config, regions, |name| {
        let known = names.iter().position(|other| other == name);
        let index = known.unwrap_or_else(|| {
            names.push(Arc::clone(name));
            names.len() - 1
        });
        Service::from_u32(index as u32)
    })
}

fn route_name(router: &Router, host: &str, path: &str) -> Option<String> {
    router.route(host, path).map(|route| route.name.to_string())
}

#[test]
fn longest_prefix_wins() {
    let router = router(vec![
        route("all", "a.example", "/", one("x")),
        route("deep", "a.example", "/one/two/", one("y")),
        route("shallow", "a.example", "/one/", one("z")),
    ]);
    assert_eq!(route_name(&router, "a.example", "/one/two/three").as_deref(), Some("deep"));
    assert_eq!(route_name(&router, "a.example", "/one/twofold").as_deref(), Some("shallow"));
    assert_eq!(route_name(&router, "a.example", "/one").as_deref(), Some("all"));
    assert_eq!(route_name(&router, "b.example", "/one/two/").as_deref(), None);
}

#[test]
fn prefix_ends_at_a_slash() {
    let router = router(vec![route("r", "a.example", "/one/", one("x"))]);
    assert_eq!(route_name(&router, "a.example", "/one/").as_deref(), Some("r"));
    assert_eq!(route_name(&router, "a.example", "/onerous/").as_deref(), None);
    assert_eq!(route_name(&router, "a.example", "").as_deref(), None);
}

/// Guards against lookups that name nodes which only some routes of the host may use.
#[test]
fn common_homes_are_those_of_all_routes_with_homes() {
    let names = ["north", "south", "west"].map(Arc::from);
    let index = region::Index::new(&names);
    let with = |host: &str, prefix: &str, homes: &[usize]| {
        let homes = homes.iter().map(|at| Arc::clone(&names[*at])).collect();
        Route { homes, ..route(prefix, host, prefix, one("x")) }
    };
    let routes = vec![
        with("a.example", "/", &[]),
        with("a.example", "/one/", &[0, 1]),
        with("a.example", "/two/", &[1, 2]),
        with("b.example", "/", &[]),
        with("c.example", "/one/", &[0]),
        with("c.example", "/two/", &[1]),
    ];
    let router = router_in(&index, routes);
    assert_eq!(router.common_homes("a.example"), index.region("south"));
    assert_eq!(router.common_homes("b.example"), region::Set::ANY);
    assert_eq!(router.common_homes("c.example"), region::Set::NONE);
    assert_eq!(router.common_homes("d.example"), region::Set::ANY);
}

#[test]
fn split_follows_the_weights() {
    let shares = vec![
        Share { service: Arc::from("x"), weight: 30.0 },
        Share { service: Arc::from("y"), weight: 70.0 },
    ];
    let router = router(vec![route("r", "a.example", "/", Target::One(shares))]);
    let fanout = &router.route("a.example", "/").expect("the route is there").fanout;
    let first = (0..1000).filter(|n| fanout.services(f64::from(*n) / 1000.0)[0].as_u32() == 0);
    assert_eq!(first.count(), 300);
    assert_eq!(fanout.services(0.999_999).len(), 1);
}

#[test]
fn required_coverage_is_rounded_up() {
    for (count, required_coverage, expected) in
        [(10, 0.89, 9), (10, 0.75, 8), (4, 0.75, 3), (3, 0.0, 1)]
    {
        let services = (0..count).map(|n| Arc::from(format!("s{n}").as_str())).collect();
        let target = Target::All(Shards { services, top_k: 5, required_coverage });
        let router = router(vec![route("r", "a.example", "/", target)]);
        let Fanout::All { shards, min_shards, .. } =
            &router.route("a.example", "/").expect("found").fanout
        else {
            panic!("a route over shards");
        };
        assert_eq!((shards.len(), *min_shards), (count, expected));
    }
}

/// Guards against a route's priority that goes before that of a customer, and against a request
/// that leaves no reserve to customers of a higher priority than any route has.
#[test]
fn priority_of_the_customer() {
    let salt = Salt::random();
    let customer = |name: &str, priority| Customer {
        name: Arc::from(name),
        keys: vec![Hash::new(&salt, name.as_bytes())],
        priority,
        rate_per_second: 0.0,
        burst: 0.0,
        homes: Vec::new(),
    };
    let customers =
        vec![customer("urgent", Some(0)), customer("usual", None), customer("late", Some(5))];
    let customers = Customers { salt: salt.clone(), customers };
    let routes = vec![route("open", "h", "/", one("s"))];
    let router = router_with(&region::Index::default(), routes, Some(customers));
    let route = router.route("h", "/x").expect("a route");
    let book = router.customers.as_ref().expect("customers");
    let of = |key: &str| book.find(key.as_bytes()).map(|customer| &**customer);
    let priorities = ["urgent", "usual", "late", "unknown"].map(|key| route.priority_of(of(key)));
    assert_eq!(priorities, [0, 1, 5, 1]);
    let most_urgent =
        ["urgent", "usual", "late", "unknown"].map(|key| route.is_most_urgent(of(key)));
    assert_eq!(most_urgent, [true, false, false, false]);
}
