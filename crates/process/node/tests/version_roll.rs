//! While versions roll and shards are cut anew, each answer stays of one
//! snapshot.

mod support;

use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use serde_json::json;
use support::World;
use support::query;
use support::service;

use conf::object::Group;
use fakes::caller::violations;
use fakes::upstream::Action;
use fakes::wait::eventually;
use wire::id::Snapshot;
use wire::upstream::ShardCopy;

#[tokio::test(flavor = "multi_thread")]
async fn each_answer_is_of_one_version() {
    let world = World::start(2, service()).await;
    let version_of = async |number| {
        let mut versions = BTreeSet::new();
        for node in &world.nodes {
            let answer = node.honest(&query(number), 3).await;
            assert!(answer.missing.is_empty(), "{answer:?}");
            versions.insert(answer.snapshot.version);
        }
        versions
    };
    // Half of the servers have the new version only; each shard still has both.
    for server in ["search-0-0", "search-1-1", "search-2-2"] {
        world.fault(server, Action::AddVersion { version: 2 }).await;
        world.fault(server, Action::DropVersion { version: 1 }).await;
    }
    for number in 1..20 {
        assert!(version_of(number).await.is_subset(&BTreeSet::from([1, 2])));
    }
    // Now with nodes that know both.
    eventually("the new version is known", async || version_of(20).await.contains(&2)).await;
    for number in 21..40 {
        assert!(version_of(number).await.is_subset(&BTreeSet::from([1, 2])));
    }
    world.fault("*", Action::AddVersion { version: 2 }).await;
    world.fault("*", Action::DropVersion { version: 1 }).await;
    eventually("all nodes answer from version 2", async || {
        let mut new = true;
        for node in &world.nodes {
            let last = node.ask(&query(100)).await;
            if let Ok(answer) = &last {
                assert!(violations(&query(100), answer, Some(3)).is_empty(), "{answer:?}");
            }
            new &=
                last.is_ok_and(|answer| answer.snapshot.version == 2 && answer.missing.is_empty());
        }
        new
    })
    .await;
    let mut asked = query(101);
    asked.min_version = Some(2);
    for node in &world.nodes {
        assert_eq!(node.honest(&asked, 3).await.snapshot.version, 2);
    }
}

/// Three shards become two on the same servers while queries run.
#[tokio::test(flavor = "multi_thread")]
async fn answers_keep_to_one_map() {
    let mut world = World::start(2, service()).await;
    let mut map = world.map();
    let spare = map.groups.pop().expect("there are three groups");
    // The third group's servers join the two others.
    for (number, server) in spare.servers.into_iter().enumerate() {
        let group: &mut Group = &mut map.groups[number % 2];
        group.servers.push(server);
    }
    for (shard, group) in map.groups.iter().enumerate() {
        for server in &group.servers {
            let mut holds = vec![ShardCopy {
                snapshot: Snapshot { version: 1, map: "search-2".into() },
                shard: shard as u32,
            }];
            let old = server.name.split('-').nth(1).and_then(|old| old.parse().ok());
            holds.push(ShardCopy {
                snapshot: Snapshot { version: 1, map: "search-1".into() },
                shard: old.expect("names tell the shard"),
            });
            world.fault(&server.name, Action::Hold { holds }).await;
        }
    }
    let nodes = std::mem::take(&mut world.nodes);
    let (over, seen) = (AtomicBool::new(false), parking_lot::Mutex::new(BTreeSet::new()));
    let load = async {
        let mut number = 0;
        while !over.load(Ordering::SeqCst) {
            for node in &nodes {
                number += 1;
                let asked = query(number);
                // A refusal is honest, too; a mixed answer is not.
                let Ok(answer) = node.ask(&asked).await else { continue };
                let shards = if &*answer.snapshot.map == "search-1" { 3 } else { 2 };
                let wrong = violations(&asked, &answer, Some(shards));
                assert!(wrong.is_empty(), "{wrong:?} in {answer:?}");
                seen.lock().insert(answer.snapshot.map.to_string());
            }
        }
    };
    let change = async {
        eventually("answers of the old map", async || seen.lock().contains("search-1")).await;
        world.put("map", "search-2", serde_json::to_value(&map).expect("JSON")).await;
        world.use_map("search-2", &["search-1"]).await;
        eventually("answers of the new map", async || seen.lock().contains("search-2")).await;
        world.use_map("search-2", &[]).await;
        for node in &nodes {
            eventually("only the new map", async || {
                let answer = node.ask(&query(1)).await;
                answer.is_ok_and(|answer| {
                    json!(answer.snapshot.map) == "search-2" && answer.missing.is_empty()
                })
            })
            .await;
        }
        over.store(true, Ordering::SeqCst);
    };
    tokio::join!(load, change);
}
