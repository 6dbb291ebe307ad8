//! What each command prints, as a table and as JSON.

use expect_test::Expect;
use expect_test::expect;

use crate::fake::Node;
use crate::fake::Platform;
use crate::fake::file;
use crate::fake::hsctl;

mod fake;

async fn check(address: std::net::SocketAddr, line: &str, table: Expect, json: Expect) {
    let run = hsctl(&[address], line).await;
    assert_eq!(run.code, 0, "{}", run.text);
    table.assert_eq(&run.text);
    let run = hsctl(&[address], &format!("{line} --output json")).await;
    assert_eq!(run.code, 0, "{}", run.text);
    json.assert_eq(&run.text);
}

#[tokio::test]
async fn objects() {
    let (_node, address) = Node::start().await;
    let apply = format!("apply -f {}", file("output_objects", fake::OBJECTS));
    assert_eq!(hsctl(&[address], &apply).await.code, 0);
    check(address, "get map desk-1", expect![[r#"
        kind: map
        name: desk-1
        revision: 3
        spec: {"groups":[{"servers":[{"address":"10.0.0.1:80","data_centre":"west","name":"a1"}]}],"service":"desk"}
    "#]], expect![[r#"
        {"kind":"map","name":"desk-1","revision":3,"spec":{"groups":[{"servers":[{"address":"10.0.0.1:80","data_centre":"west","name":"a1"}]}],"service":"desk"}}
    "#]]).await;
    check(address, "list policy", expect![[r#"
        KIND    NAME    REVISION
        policy  quick   2
        policy  steady  1
    "#]], expect![[r#"
        [{"kind":"policy","name":"quick","revision":2,"spec":{"admit":{"deadline_aware":true,"learn":true,"most_running":256,"most_waiting":256},"choice":"home","hedge":{"budget_percent":5.0,"quantile_percent":95.0},"retry":{"attempts":3,"budget_percent":10.0},"slice_percent":60}},{"kind":"policy","name":"steady","revision":1,"spec":{"admit":{"deadline_aware":true,"learn":true,"most_running":256,"most_waiting":256},"choice":"least_of_two","hedge":{"budget_percent":5.0,"quantile_percent":95.0},"retry":{"attempts":3,"budget_percent":10.0},"slice_percent":60}}]
    "#]]).await;
    let written = hsctl(&[address], "get service desk").await.text;
    let again = format!("apply -f {}", file("output_again", &written));
    expect![[r#"
        service/desk unchanged at revision 4
    "#]]
    .assert_eq(&hsctl(&[address], &again).await.text);
}

#[tokio::test]
async fn status() {
    let (node, address) = Node::start().await;
    check(address, "status", expect![[r#"
        asked node: first
        platform: answers
        lowest applied revision: 9
        leaving servers: a1

        NODE    DATA CENTRE  LIVENESS  REVISION  FRESH  LEAVING  AGE MS
        first   west         alive     12        yes    no       40
        second  west         alive     9         yes    yes      40
    "#]], expect![[r#"
        {"leaving_servers":["a1"],"lowest_applied_revision":9,"members":[{"age_ms":40,"applied_revision":12,"data_centre":"west","fresh":true,"incarnation":"00000000000000a1","leaving":false,"liveness":"alive","name":"first","peer_address":"10.0.0.1:7001"},{"age_ms":40,"applied_revision":9,"data_centre":"west","fresh":true,"incarnation":"00000000000000a1","leaving":true,"liveness":"alive","name":"second","peer_address":"10.0.0.1:7001"}],"node":"first","platform_reachable":true,"platform_silent_ms":3}
    "#]]).await;
    node.set_platform(Platform::Down);
    let run = hsctl(&[address], "status").await;
    expect!["platform: has not answered for 4000 ms"]
        .assert_eq(run.text.lines().nth(1).unwrap_or_default());
}

#[tokio::test]
async fn requests_and_state() {
    let (_node, address) = Node::start().await;
    check(
        address,
        "explain a1-1",
        expect![[r#"
        0.000ms pinned desk-1@4
        0.120ms sent to a1
    "#]],
        expect![[r#"
        {"trace":["0.000ms pinned desk-1@4","0.120ms sent to a1"]}
    "#]],
    )
    .await;
    check(
        address,
        "dump",
        expect![[r#"
        node: first
        {
          "requests": 3
        }
    "#]],
        expect![[r#"
        {"node":"first","state":{"requests":3}}
    "#]],
    )
    .await;
    check(
        address,
        "drain node first",
        expect![[r#"
        first stops
    "#]],
        expect![[r#"
        {"message":"first stops"}
    "#]],
    )
    .await;
    check(
        address,
        "drain server a1",
        expect![[r#"
        a1 is leaving
    "#]],
        expect![[r#"
        {"message":"a1 is leaving"}
    "#]],
    )
    .await;
}

#[tokio::test]
async fn report() {
    let (_node, address) = Node::start().await;
    check(address, "experiment report trial", expect![[r#"
        experiment: trial (running) on service desk, which values tail
        from nodes: first
        without nodes: second

        ARM  POLICY  REQUESTS  P50 MS  P99 MS  COVERAGE  SENDS/SHARD  P99 RATIO             COVERAGE DIFF  LOAD RATIO  STOPPED
        old  old     5000      4.00    20.00   0.9999    1.0200       -                     -              -           -
        new  new     5000      4.00    16.00   0.9999    1.0200       0.800 [0.750, 0.860]  -              -           -

        verdict: new wins on the tail
    "#]], expect![[r#"
        {"arms":[{"coverage":0.9999,"coverage_difference":null,"extra_load_ratio":null,"name":"old","p50_ms":4.0,"p99_ms":20.0,"p99_ratio":null,"policy":"old","requests":5000,"sends_per_shard":1.02,"stopped":null},{"coverage":0.9999,"coverage_difference":null,"extra_load_ratio":null,"name":"new","p50_ms":4.0,"p99_ms":16.0,"p99_ratio":{"estimate":0.8,"high":0.86,"low":0.75},"policy":"new","requests":5000,"sends_per_shard":1.02,"stopped":null}],"experiment":"trial","nodes":["first"],"nodes_missing":["second"],"service":"desk","stage":"running","value":"tail","verdict":"new wins on the tail","winner":"new"}
    "#]]).await;
}

#[tokio::test]
async fn without_node() {
    let path = file("checked", fake::OBJECTS);
    expect![[r#"
        5 objects and 0 settings files are valid
    "#]]
    .assert_eq(&hsctl(&[], &format!("check {path}")).await.text);
    let broken = file("broken", &fake::OBJECTS.replace("name: quick", "name: slow"));
    let run = hsctl(&[], &format!("check {broken}")).await;
    assert_eq!(run.code, 3);
    expect![[r#"
        hsctl: FILE:7:27: experiment/trial: arms[1].policy: there is no policy `quick`
    "#]]
    .assert_eq(&run.text.replace(&broken, "FILE"));
    let settings = hsctl(&[], "settings").await;
    assert_eq!(settings.text.trim_end(), conf::settings::reference().trim_end());
}
