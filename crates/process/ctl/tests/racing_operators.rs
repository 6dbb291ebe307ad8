//! Concurrent operators, failing nodes, and files that are applied again.

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
async fn applying_again_writes_only_what_differs() {
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
            The object is now:
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
            The object is now:
            kind: policy
            name: steady
            revision: 1
            spec: {"admit":{"deadline_aware":true,"learn":true,"most_running":256,"most_waiting":256},"choice":"least_of_two","hedge":{"budget_percent":5.0,"quantile_percent":96.0},"retry":{"attempts":3,"budget_percent":10.0},"slice_percent":60}
        "#]],
    );
    let changed = file("conflict_changed", "kind: policy\nname: steady\nspec: {choice: random}\n");
    node.set_platform(Platform::ConcurrentWriter);
    check(
        &hsctl(&[address], &format!("apply -f {changed}")).await,
        expect![[r#"
            4: hsctl: conflict: policy/steady is at revision 2
            The object is now:
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
            The object is now:
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
async fn revision_in_file_must_match() {
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
async fn write_is_tried_on_the_next_node() {
    let (first, first_address) = Node::start().await;
    let (second, second_address) = Node::start().await;
    let closed = fake::closed_address().await;
    let path = file("next_node", "kind: policy\nname: steady\nspec: {}\n");
    first.set_platform(Platform::Unreachable);
    let nodes = [closed, first_address, second_address];
    check(
        &hsctl(&nodes, &format!("create -f {path}")).await,
        expect![[r#"
        0: policy/steady created at revision 1
    "#]],
    );
    // The first node, which can't reach its platform, refused the same write.
    assert_eq!(first.writes(), second.writes());
    assert_eq!(first.spec(Kind::Policy, "steady"), None);
    assert!(second.spec(Kind::Policy, "steady").is_some());
}

#[tokio::test]
async fn write_of_unknown_outcome_is_not_repeated() {
    let (first, first_address) = Node::start().await;
    let (second, second_address) = Node::start().await;
    let nodes = [first_address, second_address];
    let path = file("ambiguous", "kind: policy\nname: steady\nspec: {}\n");
    first.set_platform(Platform::LosesAnswers);
    assert_eq!(hsctl(&nodes, &format!("create -f {path}")).await.code, 6);
    first.set_platform(Platform::Hangs);
    let run = hsctl(&nodes, "delete policy steady -r 1 --timeout 2").await;
    assert_eq!(run.code, 6, "{}", run.text);
    assert_eq!((first.writes().len(), second.writes().len()), (2, 0));
}

/// Starts a proxy between `hsctl` and a node that closes the connection once the node
/// has received a write.
async fn breaking_proxy(node: Arc<Node>, address: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let proxy_address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((mut client_stream, _)) = listener.accept().await {
            let mut node_stream = TcpStream::connect(address).await.expect("the node accepts");
            let node = node.clone();
            tokio::spawn(async move {
                let write_received = async {
                    while node.writes().is_empty() {
                        tokio::time::sleep(Duration::from_millis(1)).await;
                    }
                };
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut client_stream, &mut node_stream) => {}
                    () = write_received => {}
                }
            });
        }
    });
    proxy_address
}

#[tokio::test]
async fn write_over_broken_connection_is_not_repeated() {
    let (first, first_address) = Node::start().await;
    let (second, second_address) = Node::start().await;
    first.set_platform(Platform::Hangs);
    let proxy_address = breaking_proxy(first.clone(), first_address).await;
    let path = file("broken_connection", "kind: policy\nname: steady\nspec: {}\n");
    let run = hsctl(&[proxy_address, second_address], &format!("create -f {path}")).await;
    assert_eq!(run.code, 6, "{}", run.text);
    assert_eq!((first.writes().len(), second.writes().len()), (1, 0));
}

#[tokio::test]
async fn operation_id_is_the_same_on_all_nodes() {
    let (first, first_address) = Node::start().await;
    let (second, second_address) = Node::start().await;
    first.set_platform(Platform::Unreachable);
    let nodes = [first_address, second_address];
    // A delete at a given revision is sent without a read before it.
    let run = hsctl(&nodes, "delete policy steady -r 3").await;
    assert_eq!(run.code, 4, "{}", run.text);
    assert_eq!(first.writes(), second.writes());
}

#[tokio::test]
async fn experiment_stages() {
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
            The object is now:
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
    // Applying the file again neither stops nor changes the experiment.
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
