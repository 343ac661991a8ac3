//! Replacement of lost voters.
mod cluster;

use cluster::CATCH_UP;
use cluster::three_keepers::*;

/// A lost voter once kept its vote for eight seconds: if the next one was lost in that time, no majority was left.
#[test]
fn a_second_voter_may_be_lost_when_the_replacement_of_the_first_has_caught_up() {
    for start in [300, 1_000, 2_000, 3_500] {
        for lost in [("a:1", "b:1"), ("c:1", "a:1"), ("b:1", "c:1"), ("c:1", "b:1")] {
            let mut cluster = serving_cluster();
            write(&mut cluster, 1);
            cluster.run_for(200);
            replace(&mut cluster, lost.0, "d:1#1", start);
            cluster.run_for(CATCH_UP);
            assert_eq!(
                cluster.keepers["d:1#1"].store.adopted.as_ref().map(|document| document.number),
                Some(1),
                "{lost:?} {start}"
            );
            replace(&mut cluster, lost.1, "e:1#2", start);
            cluster.run_for(CATCH_UP);
            let tail = cluster.tail().expect("a majority is left");
            let view = cluster.view(&tail).clone();
            assert_eq!((view.members.len(), view.voters.len()), (3, 3), "{lost:?} {start}: {view:?}");
            assert_eq!(adopted(&mut cluster, 100).map(|document| document.number), Some(1));
            write(&mut cluster, 2);
            cluster.run_for(2_000);
            assert!(is_acknowledged(&cluster, 2), "{lost:?} {start}");
        }
    }
}

/// All three voters of the first view may be lost, one after the other.
#[test]
fn no_write_is_lost_when_every_voter_is_replaced_in_turn() {
    let mut cluster = serving_cluster();
    for (i, lost) in ["a:1", "b:1", "c:1"].into_iter().enumerate() {
        write(&mut cluster, i as u64 + 1);
        cluster.run_for(100);
        assert!(is_acknowledged(&cluster, i as u64 + 1));
        let seeds = ["d:1", "e:1", "f:1"];
        replace(&mut cluster, lost, &format!("{}#{i}", seeds[i]), 1_000);
        cluster.run_for(CATCH_UP);
    }
    assert_eq!(adopted(&mut cluster, 100).map(|document| document.number), Some(3));
    write(&mut cluster, 9);
    cluster.run_for(1_000);
    assert!(is_acknowledged(&cluster, 9));
}

/// It gets the vote and its place in the chain with one change, after it has fetched the whole store.
#[test]
fn a_spare_votes_only_once_it_holds_everything() {
    let mut cluster = serving_cluster();
    write(&mut cluster, 1);
    cluster.run_for(200);
    replace(&mut cluster, "c:1", "d:1#1", 500);
    let mut versions = Vec::new();
    for _ in 0..200 {
        cluster.run_for(20);
        let view = cluster.view("a:1");
        if view.is_voter("d:1#1") {
            assert!(view.is_member("d:1#1"), "{view:?}");
            assert!(cluster.keepers["d:1#1"].store.adopted.is_some());
        }
        if versions.last() != Some(&view.version) {
            versions.push(view.version);
        }
    }
    assert_eq!(versions.len(), 3, "one change removes c, one adds d: {versions:?}");
}

/// The replacement is lost as soon as it votes: the next spare takes its place.
#[test]
fn a_replacement_is_replaced_when_it_is_lost_itself() {
    let mut cluster = serving_cluster();
    write(&mut cluster, 1);
    cluster.run_for(200);
    replace(&mut cluster, "c:1", "d:1#1", 500);
    while !cluster.view("a:1").is_voter("d:1#1") {
        cluster.run_for(20);
    }
    replace(&mut cluster, "d:1#1", "e:1#2", 500);
    cluster.run_for(CATCH_UP);
    let view = cluster.view("a:1").clone();
    assert!(view.is_member("e:1#2") && view.members.len() == 3, "{view:?}");
    assert_eq!(adopted(&mut cluster, 100).map(|document| document.number), Some(1));
}

/// Without any keeper outside the view no voter loses its vote, however long it is unresponsive.
#[test]
fn a_lost_voter_keeps_its_vote_when_there_is_no_spare() {
    let mut cluster = serving_cluster();
    cluster.down = vec!["c:1".into()];
    cluster.run_for(30_000);
    assert!(cluster.view("a:1").is_voter("c:1"));
    cluster.down.clear();
    cluster.run_for(2_000);
    assert!(cluster.view("a:1").is_member("c:1"));
}

/// Its vote went to a spare while it was away: it is a spare itself now, under its old name, and may vote again.
#[test]
fn a_replaced_voter_is_a_spare_when_it_returns() {
    let mut cluster = serving_cluster();
    write(&mut cluster, 1);
    cluster.run_for(200);
    replace(&mut cluster, "c:1", "d:1#1", 100);
    cluster.run_for(CATCH_UP);
    assert!(!cluster.view("a:1").is_voter("c:1"));
    write(&mut cluster, 2);
    cluster.run_for(200);
    cluster.down.clear();
    cluster.run_for(1_000);
    assert_eq!(cluster.view("c:1"), cluster.view("a:1"));
    cluster.down = vec!["b:1".into()];
    cluster.run_for(CATCH_UP);
    let view = cluster.view("a:1").clone();
    assert!(view.is_member("c:1") && !view.is_voter("b:1"), "{view:?}");
    // Those that hold what was written before it returned are lost in turn.
    cluster.down.push("a:1".into());
    cluster.run_for(2_500);
    assert_eq!(adopted(&mut cluster, 100).map(|document| document.number), Some(2));
}
