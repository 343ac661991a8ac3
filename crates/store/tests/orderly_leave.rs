//! Graceful shutdown: a keeper leaves the chain before its process ends.
mod cluster;

use assert_matches::assert_matches;
use cluster::three_keepers::*;
use quincehatch_store::{Command, Reply, Request, View};

/// A keeper leaves by a view change and not by a time-out, so the new tail does not wait for the old tail's view lease
/// to expire.
#[test]
fn writes_go_on_at_once_when_a_keeper_leaves() {
    for leaver in SEEDS {
        let mut cluster = serving_cluster();
        let enrolled = cluster.enroll("n1", 50);
        cluster.poll("n1", 51, enrolled, enrolled);
        cluster.run_for(100);
        leave(&mut cluster, leaver);
        let elapsed = run_until_left(&mut cluster, leaver);
        assert!(elapsed <= 200, "{leaver}: {elapsed}");
        let started_at = cluster.now;
        while cluster.tail().is_none() {
            cluster.run_for(20);
        }
        assert!(cluster.now - started_at <= 100, "{leaver}: {}", cluster.now - started_at);
        write(&mut cluster, 1);
        cluster.run_for(1_400);
        assert!(is_acknowledged(&cluster, 1), "{leaver}");
        let view = cluster.view(&cluster.tail().unwrap()).clone();
        assert!(view.is_voter(leaver) && !view.is_member(leaver), "{view:?}");
        // After a restart the keeper rejoins the chain.
        cluster.down.clear();
        cluster.start(leaver, leaver, &SEEDS, View::default());
        cluster.run_for(2_000);
        assert!(cluster.view(leaver).is_member(leaver));
        assert_eq!(adopted(&mut cluster, 100).map(|document| document.number), Some(1));
    }
}

/// The new tail still waits for the node leases that the leaving tail granted.
#[test]
fn node_leases_are_handed_over_when_the_tail_leaves() {
    let mut cluster = serving_cluster();
    let enrolled = cluster.enroll("n1", 50);
    cluster.poll("n1", 51, enrolled, enrolled);
    cluster.run_for(100);
    leave(&mut cluster, "c:1");
    run_until_left(&mut cluster, "c:1");
    let head = cluster.view("b:1").head().cloned().unwrap();
    let command = Command::PushConfiguration { base: 0, text: "x".into(), by: "t".into() };
    cluster.request(&head, 60, Request::Write { key: "p".into(), command });
    cluster.run_for(3_000);
    assert_matches!(cluster.reply_to(60), None, "n1 may act on the old configuration");
    cluster.run_for(1_300);
    assert_matches!(cluster.reply_to(60), Some(Reply::Answer { .. }));
}

/// A keeper outside the view replaces the leaving one as a voter, after it has fetched the whole store.
#[test]
fn the_vote_goes_to_a_spare_when_a_keeper_leaves() {
    for leaver in SEEDS {
        let mut cluster = serving_cluster();
        cluster.start("d:1#1", "d:1", &SEEDS, View::default());
        cluster.run_for(1_000);
        write(&mut cluster, 1);
        cluster.run_for(200);
        leave(&mut cluster, leaver);
        let elapsed = run_until_left(&mut cluster, leaver);
        assert!(elapsed <= 600, "{leaver}: {elapsed}");
        cluster.run_for(500);
        let view = cluster.view(&cluster.tail().unwrap()).clone();
        assert!(view.is_member("d:1#1") && !view.is_voter(leaver) && view.voters.len() == 3, "{view:?}");
        assert_eq!(cluster.keepers["d:1#1"].store.adopted.as_ref().map(|document| document.number), Some(1));
    }
}

/// Two keepers leave in turn. The third is the only replica left, so it does not leave before another keeper has the
/// whole store.
#[test]
fn the_last_replica_does_not_leave_until_another_has_the_whole_store() {
    let mut cluster = serving_cluster();
    write(&mut cluster, 1);
    cluster.run_for(200);
    leave(&mut cluster, "a:1");
    run_until_left(&mut cluster, "a:1");
    leave(&mut cluster, "b:1");
    run_until_left(&mut cluster, "b:1");
    assert_eq!(cluster.view("c:1").members, ["c:1"]);
    leave(&mut cluster, "c:1");
    cluster.run_for(500);
    assert!(!cluster.keepers["c:1"].is_ready_to_stop());
    cluster.down.retain(|name| name != "a:1");
    cluster.start("a:1", "a:1", &SEEDS, View::default());
    run_until_left(&mut cluster, "c:1");
    assert_eq!(cluster.keepers["a:1"].store.adopted.as_ref().map(|document| document.number), Some(1));
    assert_eq!(cluster.view("a:1").members, ["a:1"]);
}

/// Without a majority the view cannot change, so a leaving keeper ends when its time limit has passed.
#[test]
fn a_leave_ends_in_time_when_there_is_no_majority() {
    let mut cluster = serving_cluster();
    cluster.down = vec!["a:1".into(), "b:1".into()];
    leave(&mut cluster, "c:1");
    let elapsed = run_until_left(&mut cluster, "c:1");
    assert!((LEAVE_TIMEOUT..=LEAVE_TIMEOUT + 200).contains(&elapsed), "{elapsed}");
}

/// Another voter is lost at the moment when a keeper begins to leave, and there is a spare. A majority remains, because
/// the leaving keeper keeps running until the spare has replaced it as a voter.
#[test]
fn a_majority_is_left_when_a_voter_is_lost_during_a_leave() {
    for leaver in SEEDS {
        for lost in SEEDS.into_iter().filter(|seed| *seed != leaver) {
            let mut cluster = serving_cluster();
            cluster.start("d:1#1", "d:1", &SEEDS, View::default());
            cluster.run_for(1_000);
            write(&mut cluster, 1);
            cluster.run_for(200);
            cluster.down = vec![lost.into()];
            leave(&mut cluster, leaver);
            run_until_left(&mut cluster, leaver);
            cluster.run_for(5_000);
            let view = cluster.view(&cluster.tail().expect("a majority serves")).clone();
            assert!(view.is_member("d:1#1") && !view.is_voter(leaver), "{leaver} {lost}: {view:?}");
            assert_eq!(adopted(&mut cluster, 100).map(|document| document.number), Some(1));
        }
    }
}
