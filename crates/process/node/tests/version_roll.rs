//! During a version rollout and a change of the shard map, each answer is of one
//! snapshot.

mod support;

use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use serde_json::json;
use support::Cluster;
use support::search_query;
use support::service;

use conf::object::Group;
use fakes::caller::violations;
use fakes::upstream::Action;
use fakes::wait::eventually;
use wire::id::Snapshot;
use wire::upstream::ShardCopy;

#[tokio::test(flavor = "multi_thread")]
async fn each_answer_has_one_version() {
    let cluster = Cluster::start(2, service()).await;
    let versions_of_answers = async |number| {
        let mut versions = BTreeSet::new();
        for node in &cluster.nodes {
            let answer = node.send_checked(&search_query(number), 3).await;
            assert!(answer.missing.is_empty(), "{answer:?}");
            versions.insert(answer.snapshot.version);
        }
        versions
    };
    // One server of each shard has only the new version, so each shard still has
    // both versions.
    for server in ["search-0-0", "search-1-1", "search-2-2"] {
        cluster.inject_fault(server, Action::AddVersion { version: 2 }).await;
        cluster.inject_fault(server, Action::DropVersion { version: 1 }).await;
    }
    for number in 1..20 {
        assert!(versions_of_answers(number).await.is_subset(&BTreeSet::from([1, 2])));
    }
    // The same once the nodes have detected both versions.
    eventually("the new version is in use", async || versions_of_answers(20).await.contains(&2))
        .await;
    for number in 21..40 {
        assert!(versions_of_answers(number).await.is_subset(&BTreeSet::from([1, 2])));
    }
    cluster.inject_fault("*", Action::AddVersion { version: 2 }).await;
    cluster.inject_fault("*", Action::DropVersion { version: 1 }).await;
    eventually("all nodes answer from version 2", async || {
        let mut all_new = true;
        for node in &cluster.nodes {
            let result = node.send(&search_query(100)).await;
            if let Ok(answer) = &result {
                assert!(violations(&search_query(100), answer, Some(3)).is_empty(), "{answer:?}");
            }
            all_new &= result
                .is_ok_and(|answer| answer.snapshot.version == 2 && answer.missing.is_empty());
        }
        all_new
    })
    .await;
    let mut query = search_query(101);
    query.min_version = Some(2);
    for node in &cluster.nodes {
        assert_eq!(node.send_checked(&query, 3).await.snapshot.version, 2);
    }
}

/// The map changes from three shards to two on the same servers while queries run.
#[tokio::test(flavor = "multi_thread")]
async fn each_answer_uses_one_map() {
    let mut cluster = Cluster::start(2, service()).await;
    let mut map = cluster.initial_map();
    let removed = map.groups.pop().expect("the map has three groups");
    // The servers of the third group move to the other two.
    for (number, server) in removed.servers.into_iter().enumerate() {
        let group: &mut Group = &mut map.groups[number % 2];
        group.servers.push(server);
    }
    for (shard, group) in map.groups.iter().enumerate() {
        for server in &group.servers {
            let mut holds = vec![ShardCopy {
                snapshot: Snapshot { version: 1, map: "search-2".into() },
                shard: shard as u32,
            }];
            let old_shard =
                server.name.split('-').nth(1).and_then(|old_shard| old_shard.parse().ok());
            holds.push(ShardCopy {
                snapshot: Snapshot { version: 1, map: "search-1".into() },
                shard: old_shard.expect("server names contain the shard"),
            });
            cluster.inject_fault(&server.name, Action::Hold { holds }).await;
        }
    }
    let nodes = std::mem::take(&mut cluster.nodes);
    let (done, maps_seen) = (AtomicBool::new(false), parking_lot::Mutex::new(BTreeSet::new()));
    let send_queries = async {
        let mut number = 0;
        while !done.load(Ordering::SeqCst) {
            for node in &nodes {
                number += 1;
                let query = search_query(number);
                // A refusal is correct, too; an answer with mixed maps is not.
                let Ok(answer) = node.send(&query).await else { continue };
                let shards = if &*answer.snapshot.map == "search-1" { 3 } else { 2 };
                let violations = violations(&query, &answer, Some(shards));
                assert!(violations.is_empty(), "{violations:?} in {answer:?}");
                maps_seen.lock().insert(answer.snapshot.map.to_string());
            }
        }
    };
    let change_map = async {
        eventually("answers of the old map", async || maps_seen.lock().contains("search-1")).await;
        cluster.put("map", "search-2", serde_json::to_value(&map).expect("JSON")).await;
        cluster.use_map("search-2", &["search-1"]).await;
        eventually("answers of the new map", async || maps_seen.lock().contains("search-2")).await;
        cluster.use_map("search-2", &[]).await;
        for node in &nodes {
            eventually("only the new map", async || {
                let answer = node.send(&search_query(1)).await;
                answer.is_ok_and(|answer| {
                    json!(answer.snapshot.map) == "search-2" && answer.missing.is_empty()
                })
            })
            .await;
        }
        done.store(true, Ordering::SeqCst);
    };
    tokio::join!(send_queries, change_map);
}
