//! Operators who race, nodes that fail, and files that are applied again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use expect_test::Expect;
use expect_test::expect;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::fake::Node;
use crate::fake::Platform;
use crate::fake::file;
use crate::fake::hsctl;
use conf::object::Kind;
use conf::object::Spec;

mod fake;

fn check(run: &fake::Run, expected: Expect) {
    expected.assert_eq(&format!("{}: {}", run.code, run.text));
}

#[tokio::test]
async fn applied_again() {
    let (node, address) = Node::start().await;
    let apply = format!("apply -f {}", file("applied_again", fake::OBJECTS));
    check(
        &hsctl(&[address], &apply).await,
        expect![[r#"
        0: policy/steady created at revision 1
        policy/quick created at revision 2
        map/desk-1 created at revision 3
        service/desk created at revision 4
        experiment/trial created at revision 5
    "#]],
    );
    check(
        &hsctl(&[address], &apply).await,
        expect![[r#"
        0: policy/steady unchanged at revision 1
        policy/quick unchanged at revision 2
        map/desk-1 unchanged at revision 3
        service/desk unchanged at revision 4
        experiment/trial unchanged at revision 5
    "#]],
    );
    assert_eq!(node.writes().len(), 5);
    let changed = fake::OBJECTS.replace("deadline_ms: 50", "deadline_ms: 60");
    let apply = format!("apply -f {}", file("applied_again", &changed));
    check(
        &hsctl(&[address], &apply).await,
        expect![[r#"
        0: policy/steady unchanged at revision 1
        policy/quick unchanged at revision 2
        map/desk-1 unchanged at revision 3
        service/desk updated at revision 6
        experiment/trial unchanged at revision 5
    "#]],
    );
}

#[tokio::test]
async fn conflict_shows_winner() {
    let (node, address) = Node::start().await;
    let path = file("conflict", "kind: policy\nname: steady\nspec: {}\n");
    assert_eq!(hsctl(&[address], &format!("apply -f {path}")).await.code, 0);
    check(
        &hsctl(&[address], &format!("create -f {path}")).await,
        expect![[r#"
            4: hsctl: conflict: policy/steady is at revision 1
            It now says:
            kind: policy
            name: steady
            revision: 1
            spec: {"admit":{"deadline_aware":true,"learn":true,"most_running":256,"most_waiting":256},"choice":"least_of_two","hedge":{"budget_percent":5.0,"quantile_percent":96.0},"retry":{"attempts":3,"budget_percent":10.0},"slice_percent":60}
        "#]],
    );
    check(
        &hsctl(&[address], "delete policy steady -r 9").await,
        expect![[r#"
            4: hsctl: conflict: policy/steady is at revision 1
            It now says:
            kind: policy
            name: steady
            revision: 1
            spec: {"admit":{"deadline_aware":true,"learn":true,"most_running":256,"most_waiting":256},"choice":"least_of_two","hedge":{"budget_percent":5.0,"quantile_percent":96.0},"retry":{"attempts":3,"budget_percent":10.0},"slice_percent":60}
        "#]],
    );
    let changed = file("conflict_changed", "kind: policy\nname: steady\nspec: {choice: random}\n");
    node.set_platform(Platform::Raced);
    check(
        &hsctl(&[address], &format!("apply -f {changed}")).await,
        expect![[r#"
            4: hsctl: conflict: policy/steady is at revision 2
            It now says:
            kind: policy
            name: steady
            revision: 2
            spec: {"admit":{"deadline_aware":true,"learn":true,"most_running":256,"most_waiting":256},"choice":"least_of_two","hedge":{"budget_percent":5.0,"quantile_percent":96.0},"retry":{"attempts":3,"budget_percent":10.0},"slice_percent":60}
        "#]],
    );
    check(
        &hsctl(&[address], &format!("apply -f {changed} -o json")).await,
        expect![[r#"
            4: {"failure":"conflict","message":"conflict: policy/steady is at revision 3","winner":{"kind":"policy","name":"steady","revision":3,"spec":{"admit":{"deadline_aware":true,"learn":true,"most_running":256,"most_waiting":256},"choice":"least_of_two","hedge":{"budget_percent":5.0,"quantile_percent":96.0},"retry":{"attempts":3,"budget_percent":10.0},"slice_percent":60}}}
            hsctl: conflict: policy/steady is at revision 3
            It now says:
            kind: policy
            name: steady
            revision: 3
            spec: {"admit":{"deadline_aware":true,"learn":true,"most_running":256,"most_waiting":256},"choice":"least_of_two","hedge":{"budget_percent":5.0,"quantile_percent":96.0},"retry":{"attempts":3,"budget_percent":10.0},"slice_percent":60}
        "#]],
    );
    let Some(Spec::Policy(policy)) = node.spec(Kind::Policy, "steady") else { panic!("gone") };
    assert_eq!(policy, conf::object::Policy::default());
}

#[tokio::test]
async fn meant_revision() {
    let (node, address) = Node::start().await;
    let text = "kind: policy\nname: steady\nrevision: 7\nspec: {}\n";
    let run = hsctl(&[address], &format!("apply -f {}", file("meant_revision", text))).await;
    check(
        &run,
        expect![[r#"
        4: hsctl: conflict: the object does not exist
    "#]],
    );
    assert_eq!(node.writes(), []);
}

#[tokio::test]
async fn next_node() {
    let (first, first_address) = Node::start().await;
    let (second, second_address) = Node::start().await;
    let closed = fake::closed_address().await;
    let path = file("next_node", "kind: policy\nname: steady\nspec: {}\n");
    first.set_platform(Platform::Down);
    let nodes = [closed, first_address, second_address];
    check(
        &hsctl(&nodes, &format!("create -f {path}")).await,
        expect![[r#"
        0: policy/steady created at revision 1
    "#]],
    );
    // The node that has no platform refused the same write before.
    assert_eq!(first.writes(), second.writes());
    assert_eq!(first.spec(Kind::Policy, "steady"), None);
    assert!(second.spec(Kind::Policy, "steady").is_some());
}

#[tokio::test]
async fn ambiguous_write_stays() {
    let (first, first_address) = Node::start().await;
    let (second, second_address) = Node::start().await;
    let nodes = [first_address, second_address];
    let path = file("ambiguous", "kind: policy\nname: steady\nspec: {}\n");
    first.set_platform(Platform::Lost);
    assert_eq!(hsctl(&nodes, &format!("create -f {path}")).await.code, 6);
    first.set_platform(Platform::Silent);
    let run = hsctl(&nodes, "delete policy steady -r 1 --timeout 2").await;
    assert_eq!(run.code, 6, "{}", run.text);
    assert_eq!((first.writes().len(), second.writes().len()), (2, 0));
}

/// Passes bytes between `hsctl` and a node, and breaks the connection once a
/// write has reached the node.
async fn breaking_proxy(node: Arc<Node>, address: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let front = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let mut far = TcpStream::connect(address).await.expect("the node");
            let node = node.clone();
            tokio::spawn(async move {
                let written = async {
                    while node.writes().is_empty() {
                        tokio::time::sleep(Duration::from_millis(1)).await;
                    }
                };
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
                    () = written => {}
                }
            });
        }
    });
    front
}

#[tokio::test]
async fn broken_connection() {
    let (first, first_address) = Node::start().await;
    let (second, second_address) = Node::start().await;
    first.set_platform(Platform::Silent);
    let front = breaking_proxy(first.clone(), first_address).await;
    let path = file("broken_connection", "kind: policy\nname: steady\nspec: {}\n");
    let run = hsctl(&[front, second_address], &format!("create -f {path}")).await;
    assert_eq!(run.code, 6, "{}", run.text);
    assert_eq!((first.writes().len(), second.writes().len()), (1, 0));
}

#[tokio::test]
async fn one_operation_over_nodes() {
    let (first, first_address) = Node::start().await;
    let (second, second_address) = Node::start().await;
    first.set_platform(Platform::Down);
    let nodes = [first_address, second_address];
    // The delete at a given revision is sent without a read before it.
    let run = hsctl(&nodes, "delete policy steady -r 3").await;
    assert_eq!(run.code, 4, "{}", run.text);
    assert_eq!(first.writes(), second.writes());
}

#[tokio::test]
async fn stages() {
    let (node, address) = Node::start().await;
    let apply = format!("apply -f {}", file("stages", fake::OBJECTS));
    assert_eq!(hsctl(&[address], &apply).await.code, 0);
    check(
        &hsctl(&[address], "experiment conclude trial --winner new").await,
        expect![[r#"
        3: hsctl: invalid: stage: can't go from draft to concluded
    "#]],
    );
    check(
        &hsctl(&[address], "experiment start trial -r 2").await,
        expect![[r#"
            4: hsctl: conflict: experiment/trial is at revision 5
            It now says:
            kind: experiment
            name: trial
            revision: 5
            spec: {"arms":[{"name":"old","policy":"steady","weight":1},{"name":"new","policy":"quick","weight":1}],"guard":{"coverage_loss_points":2.0,"least_requests":1000,"p99_ratio":2.0},"service":"desk","stage":"draft","unit":"request"}
        "#]],
    );
    check(
        &hsctl(&[address], "experiment start trial").await,
        expect![[r#"
        0: experiment/trial updated at revision 6
    "#]],
    );
    // Applied again, the file neither stops the experiment nor changes it.
    assert_eq!(hsctl(&[address], &apply).await.code, 0);
    check(
        &hsctl(&[address], "experiment stop trial -r 6").await,
        expect![[r#"
        0: experiment/trial updated at revision 7
    "#]],
    );
    check(
        &hsctl(&[address], "experiment conclude trial --winner new").await,
        expect![[r#"
        0: experiment/trial updated at revision 8
    "#]],
    );
    check(
        &hsctl(&[address], "experiment start trial").await,
        expect![[r#"
            3: hsctl: invalid: stage: can't go from concluded to running
        "#]],
    );
    let Some(Spec::Experiment(trial)) = node.spec(Kind::Experiment, "trial") else {
        panic!("gone")
    };
    assert_eq!(trial.winner.as_deref(), Some("new"));
}
