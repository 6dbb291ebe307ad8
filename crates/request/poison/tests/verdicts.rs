//! Which requests are suspected and blocked, and when that ends.

use std::time::Duration;

use base::time::Time;
use poison::identity::Identity;
use poison::identity::Parts;
use poison::ledger::Change;
use poison::ledger::Ledger;
use poison::ledger::MAX_NOTICES;
use poison::ledger::Standing;
use poison::notice::End;
use poison::notice::Notice;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn request(number: u32) -> Identity {
    let path = format!("/view/{number}");
    Identity::new(&Parts { method: "GET", host: b"h", path: &path, caller: &[], body: b"" })
}

/// A run of a request that began now is ended by the end of `server` 10 ms later.
fn end(ledger: &mut Ledger, ms: u64, identity: Identity, server: u32) -> Change {
    let known = ledger.ends(identity);
    ledger.broke_off(at(ms + 10), identity, server, known);
    ledger.server_ended(at(ms + 20), identity, server)
}

/// A ledger with a request that three servers have ended under, the last one at 220 ms.
fn blocking() -> (Ledger, Identity) {
    let mut ledger = Ledger::new(0.0);
    let poison = request(0);
    for server in 0..3 {
        end(&mut ledger, u64::from(server) * 100, poison, server);
    }
    (ledger, poison)
}

#[test]
fn request_that_ends_three_servers_in_turn_is_blocked() {
    let mut ledger = Ledger::new(0.0);
    let poison = request(0);
    assert_eq!(ledger.standing(at(0), poison), Standing::Clear);
    assert_eq!(end(&mut ledger, 0, poison, 1), Change::Suspected { ends: 1 });
    assert_eq!(ledger.standing(at(50), poison), Standing::Suspect);
    assert_eq!(end(&mut ledger, 100, poison, 2), Change::Suspected { ends: 2 });
    assert_eq!(end(&mut ledger, 200, poison, 3), Change::Blocked);
    assert_eq!(ledger.standing(at(230), poison), Standing::Held);
    assert!(matches!(ledger.standing(at(500), poison), Standing::Blocked { .. }));
    assert_eq!(ledger.standing(at(500), request(1)), Standing::Clear);
}

/// A search whose ten shard requests began together, and whose servers, from number `first` on, end
/// at `ms`.
fn end_all(ledger: &mut Ledger, ms: u64, identity: Identity, first: u32) {
    for shard in 0..10 {
        ledger.leg_broke_off(at(ms), identity, first + shard, shard, 0);
    }
    for shard in 0..10 {
        ledger.server_ended(at(ms + 12), identity, first + shard);
    }
}

/// Guards against shard requests that are sent again after servers of other shards have ended.
#[test]
fn search_that_ends_servers_of_three_shards_is_stopped_at_once() {
    let mut ledger = Ledger::new(0.0);
    let search = request(0);
    end_all(&mut ledger, 10, search, 0);
    assert_eq!(ledger.ends(search), 3);
    assert_eq!(ledger.standing(at(22), search), Standing::Held);
    assert!(matches!(ledger.standing(at(300), search), Standing::Blocked { .. }));
    // A trial is due soon, since the servers may have ended for another reason.
    assert_eq!(ledger.standing(at(3_100), search), Standing::TrialDue);
    ledger.begin_trial(at(3_100), search);
    ledger.leg_broke_off(at(3_200), search, 20, 0, 3);
    ledger.server_ended(at(3_212), search, 20);
    assert!(matches!(ledger.standing(at(60_000), search), Standing::Blocked { .. }));
}

/// Guards against a search that is blocked, here and at other nodes, since its node lost its path
/// while it was in progress.
#[test]
fn ends_found_just_before_the_path_is_lost_are_withdrawn() {
    let (mut here, mut there) = (Ledger::new(0.0), Ledger::new(0.0));
    let search = request(0);
    end_all(&mut here, 10, search, 0);
    for notice in here.notices(at(22), 0) {
        there.on_notice(at(23), &notice);
    }
    let changes = here.path_lost(at(60), Duration::from_millis(200));
    assert_eq!(changes, [(search, Change::Cleared { was_blocked: true })]);
    for notice in here.notices(at(62), 0) {
        there.on_notice(at(63), &notice);
    }
    for ledger in [&here, &there] {
        assert_eq!(ledger.standing(at(64), search), Standing::Clear);
    }
}

/// Guards against a request that ends servers and is cleared of all by a path that is lost later.
#[test]
fn ends_long_before_the_path_is_lost_stay() {
    let (mut ledger, poison) = blocking();
    assert_eq!(ledger.path_lost(at(500), Duration::from_millis(200)), []);
    assert!(matches!(ledger.standing(at(500), poison), Standing::Blocked { .. }));
}

/// Guards against a node that takes part in a search that another one has seen end servers.
#[test]
fn notice_of_ends_at_one_moment_blocks_at_other_nodes() {
    let (mut here, mut there) = (Ledger::new(0.0), Ledger::new(0.0));
    let search = request(0);
    end_all(&mut here, 10, search, 0);
    for notice in here.notices(at(22), 0) {
        there.on_notice(at(30), &notice);
    }
    assert_eq!(there.standing(at(30), search), Standing::Held);
    assert!(matches!(there.standing(at(300), search), Standing::Blocked { .. }));
    there.answered(at(310), search);
    for notice in there.notices(at(311), 0) {
        here.on_notice(at(320), &notice);
    }
    assert_eq!(here.standing(at(320), search), Standing::Clear);
}

/// Guards against a repeat while the check of a server of another shard is under way.
#[test]
fn search_waits_until_it_is_known_whether_servers_ended() {
    let mut ledger = Ledger::new(0.0);
    let search = request(0);
    ledger.leg_broke_off(at(10), search, 1, 1, 0);
    ledger.leg_broke_off(at(10), search, 2, 2, 0);
    assert_eq!(ledger.standing(at(11), search), Standing::Held);
    ledger.server_runs(search, 1);
    ledger.server_runs(search, 2);
    assert_eq!(ledger.standing(at(22), search), Standing::Clear);
}

/// Guards against searches that are refused since all their servers ended for another reason.
#[test]
fn searches_that_lose_their_servers_together_are_not_blocked() {
    let mut ledger = Ledger::new(0.0);
    end_all(&mut ledger, 10, request(0), 0);
    end_all(&mut ledger, 40, request(1), 10);
    assert_eq!(ledger.standing(at(300), request(0)), Standing::Suspect);
    assert_eq!(ledger.standing(at(300), request(1)), Standing::Suspect);
}

/// Guards against a search that is refused since a whole service ended, where the others that ran
/// there lost fewer servers: their other shard requests were answered.
#[test]
fn search_that_loses_servers_beside_others_is_not_blocked() {
    let mut ledger = Ledger::new(0.0);
    for number in 1..4 {
        ledger.leg_broke_off(at(10), request(number), 0, 0, 0);
        ledger.server_ended(at(22), request(number), 0);
    }
    end_all(&mut ledger, 10, request(0), 0);
    assert_eq!(ledger.standing(at(300), request(0)), Standing::Suspect);
    // It does end servers: the next end that follows blocks it.
    ledger.leg_broke_off(at(400), request(0), 20, 0, 3);
    ledger.server_ended(at(412), request(0), 20);
    assert!(matches!(ledger.standing(at(700), request(0)), Standing::Blocked { .. }));
}

/// Guards against a search that is refused since a whole service ended, where all others that ran
/// there had been answered by some servers; and against a search that ends servers being cleared
/// since others ran at the same ones.
#[test]
fn outage_beside_answered_searches_clears_a_search() {
    for (first, is_outage) in [(20, true), (0, false)] {
        let mut ledger = Ledger::new(0.0);
        for shard in 0..10 {
            ledger.leg_broke_off(at(10), request(0), shard, shard, 0);
            ledger.answered_broke_off(at(10), request(1), first + shard);
        }
        for shard in 0..10 {
            ledger.server_ended(at(22), request(0), shard);
            ledger.server_ended(at(22), request(1), first + shard);
        }
        let is_blocked = matches!(ledger.standing(at(300), request(0)), Standing::Blocked { .. });
        assert_eq!(is_blocked, !is_outage, "from {first} on");
        assert_eq!(ledger.take_cleared(), is_outage);
        assert_eq!(ledger.standing(at(300), request(1)), Standing::Clear);
    }
}

/// Guards against a request that is blocked since several of its runs overlap when servers of one
/// group end at the same moment for another reason.
#[test]
fn ends_of_one_shard_at_the_same_moment_count_once() {
    let mut ledger = Ledger::new(0.0);
    for server in 0..10 {
        ledger.leg_broke_off(at(10), request(0), server, 7, 0);
    }
    for server in 0..10 {
        ledger.server_ended(at(20), request(0), server);
    }
    assert_eq!(ledger.ends(request(0)), 1);
}

/// Guards against a request that is blocked since many of its servers end at the same moment for
/// another reason.
#[test]
fn ends_at_the_same_moment_count_once() {
    let mut ledger = Ledger::new(0.0);
    for server in 0..10 {
        ledger.broke_off(at(10), request(0), server, 0);
    }
    for server in 0..10 {
        ledger.server_ended(at(20), request(0), server);
    }
    assert_eq!(ledger.ends(request(0)), 1);
}

/// Guards against connections that break while their servers run on.
#[test]
fn broken_connections_to_running_servers_do_not_count() {
    let mut ledger = Ledger::new(0.0);
    for server in 0..10 {
        let known = ledger.ends(request(0));
        ledger.broke_off(at(10), request(0), server, known);
        ledger.server_runs(request(0), server);
    }
    assert_eq!(ledger.standing(at(20), request(0)), Standing::Clear);
    assert!(ledger.is_empty());
}

/// Guards against a popular request that is refused for ends beside it: it is answered in between,
/// here or at another node.
#[test]
fn answered_request_is_not_blocked() {
    let mut here = Ledger::new(0.0);
    let mut there = Ledger::new(0.0);
    let popular = request(0);
    for server in 0..20 {
        let ms = u64::from(server) * 100;
        end(&mut here, ms, popular, server);
        for notice in here.notices(at(ms + 21), 0) {
            there.on_notice(at(ms + 22), &notice);
        }
        there.answered(at(ms + 50), popular);
        for notice in there.notices(at(ms + 51), 0) {
            here.on_notice(at(ms + 52), &notice);
        }
        assert_eq!(here.standing(at(ms + 60), popular), Standing::Clear, "after end {server}");
    }
}

/// Guards against a block by an answer that is on its way when the third server ends.
#[test]
fn answer_after_the_third_end_prevents_the_block() {
    let (mut ledger, request) = blocking();
    assert_eq!(ledger.answered(at(300), request), Change::Cleared { was_blocked: true });
    assert_eq!(ledger.standing(at(500), request), Standing::Clear);
}

/// Guards against a cleared request that a late or doubled datagram blocks again.
#[test]
fn late_notice_does_not_revive_refuted_ends() {
    let (mut ledger, request) = blocking();
    let old = ledger.notices(at(230), 0);
    ledger.answered(at(300), request);
    for notice in &old {
        assert_eq!(ledger.on_notice(at(400), notice), Change::Nothing);
    }
    assert_eq!(ledger.standing(at(500), request), Standing::Clear);
}

/// Guards against requests that are refused since they ran beside one that ends servers.
#[test]
fn ends_that_a_blocked_request_explains_do_not_count_for_others() {
    let mut ledger = Ledger::new(0.0);
    let (poison, beside) = (request(0), request(1));
    for server in 0..2 {
        end(&mut ledger, u64::from(server) * 100, beside, server);
    }
    for server in 0..3 {
        end(&mut ledger, u64::from(server) * 100, poison, server);
    }
    assert_eq!(ledger.standing(at(500), beside), Standing::Clear);
    // It ran at the third one too, which is found out later.
    ledger.broke_off(at(500), beside, 2, 0);
    ledger.server_ended(at(510), beside, 2);
    assert_eq!(ledger.standing(at(520), beside), Standing::Clear);
}

/// Guards against nodes that try a blocked request all together, and against a block for good.
#[test]
fn one_node_tries_a_blocked_request_after_a_while() {
    let (mut first, poison) = blocking();
    let mut second = Ledger::new(0.5);
    for notice in first.notices(at(230), 0) {
        second.on_notice(at(230), &notice);
    }
    assert!(matches!(first.standing(at(59_000), poison), Standing::Blocked { .. }));
    let due = at(60_300);
    assert_eq!(first.standing(due, poison), Standing::TrialDue);
    assert!(matches!(second.standing(due, poison), Standing::Blocked { .. }));
    first.begin_trial(due, poison);
    for notice in first.notices(due, 0) {
        second.on_notice(due, &notice);
    }
    let later = due + Duration::from_secs(30);
    assert!(matches!(first.standing(later, poison), Standing::Blocked { .. }));
    assert!(matches!(second.standing(later, poison), Standing::Blocked { .. }));
    // The trial is answered: the servers can run it now.
    first.answered(later, poison);
    for notice in first.notices(later, 0) {
        let change = second.on_notice(later, &notice);
        assert_eq!(change, Change::Cleared { was_blocked: true });
    }
    assert_eq!(second.standing(later, poison), Standing::Clear);
}

#[test]
fn trial_that_ends_a_server_doubles_the_block() {
    let (mut ledger, poison) = blocking();
    ledger.begin_trial(at(61_000), poison);
    end(&mut ledger, 61_000, poison, 9);
    assert!(matches!(ledger.standing(at(180_000), poison), Standing::Blocked { .. }));
    assert_eq!(ledger.standing(at(181_100), poison), Standing::TrialDue);
}

/// Guards against a node that counts the trial's end although it knows of no end before it.
#[test]
fn nodes_agree_whatever_order_notices_arrive_in() {
    let (ledger, poison) = blocking();
    let notice = ledger.notices(at(230), 0).remove(0);
    let mut part = notice.clone();
    part.ends.truncate(1);
    for order in [[&part, &notice, &part], [&notice, &part, &notice]] {
        let mut other = Ledger::new(0.0);
        for notice in order {
            other.on_notice(at(300), notice);
        }
        assert_eq!(other.ends(poison), 3);
        assert!(matches!(other.standing(at(800), poison), Standing::Blocked { .. }));
    }
}

/// Guards against memory and messages that grow with what callers make up.
#[test]
fn ten_thousand_such_requests_need_bounded_memory_and_messages() {
    const MAX_BYTES: usize = 1400;
    let mut ledger = Ledger::new(0.0);
    for number in 0..10_000 {
        let ms = 100 * u64::from(number);
        for server in 0..6 {
            end(
                &mut ledger,
                ms + u64::from(server),
                request(number),
                u32::MAX - 6 * number - server,
            );
        }
        let notices = ledger.notices(at(ms + 50), u64::from(number));
        assert!(notices.len() <= MAX_NOTICES);
        let bytes = rmp_serde::to_vec(&notices).expect("they can be encoded").len() + 1;
        assert!(bytes <= MAX_BYTES, "{bytes} bytes");
    }
    assert!(ledger.blocked(at(1_000_000)).count() <= 256);
}

/// Guards against a message of another node that makes a node's record grow without a bound.
#[test]
fn oversized_notices_are_cut() {
    let mut ledger = Ledger::new(0.0);
    let ends = (0..1000).map(|server| End { server, age_ms: 0 }).collect();
    let refuted = (2000..3000).collect();
    let notice = Notice { identity: request(0), ends, refuted, trial_age_ms: Some(u32::MAX) };
    ledger.on_notice(at(0), &notice);
    assert!(ledger.ends(request(0)) < 10);
    assert!(ledger.notices(at(0), 0)[0].refuted.len() < 10);
}

/// Guards against a node that runs out of room for requests that end servers since others were
/// suspected once.
#[test]
fn blocked_requests_are_kept_when_room_is_short() {
    let (mut ledger, poison) = blocking();
    for number in 1..1000 {
        end(&mut ledger, 1000 + u64::from(number), request(number), 100 + number);
    }
    assert!(matches!(ledger.standing(at(5_000), poison), Standing::Blocked { .. }));
}

#[test]
fn suspicion_and_block_are_forgotten() {
    let (mut ledger, poison) = blocking();
    end(&mut ledger, 300, request(1), 9);
    ledger.expire(at(61_000));
    assert_eq!(ledger.standing(at(61_000), request(1)), Standing::Clear);
    let late = at(60_000 + 10_000 + 600_000 + 1000);
    ledger.expire(late);
    assert_eq!(ledger.standing(late, poison), Standing::Clear);
    assert!(ledger.is_empty());
}

/// Guards against callers of a popular request who wait for one that runs at a silent server.
#[test]
fn run_of_a_suspect_holds_others_for_a_moment_only() {
    let mut ledger = Ledger::new(0.0);
    let popular = request(0);
    end(&mut ledger, 0, popular, 1);
    assert!(ledger.run_begins(at(100), popular));
    assert_eq!(ledger.standing(at(200), popular), Standing::Held);
    assert_eq!(ledger.standing(at(500), popular), Standing::Suspect);
    ledger.run_ends(popular);
    assert!(ledger.run_begins(at(600), popular));
    ledger.run_ends(popular);
    assert_eq!(ledger.standing(at(601), popular), Standing::Suspect);
}
