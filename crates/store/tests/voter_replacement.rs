//! Replacement of lost voters by spare keepers.
mod cluster;

use cluster::CATCH_UP_TIME;
use cluster::three_keepers::*;

/// A lost voter once remained a voter for eight seconds; if another voter was lost in that time, no majority was left.
#[test]
fn a_second_voter_may_be_lost_when_the_replacement_of_the_first_has_caught_up() {
    for start in [300, 1_000, 2_000, 3_500] {
        for lost in [("a:1", "b:1"), ("c:1", "a:1"), ("b:1", "c:1"), ("c:1", "b:1")] {
            let mut cluster = serving_cluster();
            write(&mut cluster, 1);
            cluster.run_for(200);
            replace(&mut cluster, lost.0, "d:1#1", start);
            cluster.run_for(CATCH_UP_TIME);
            assert_eq!(
                cluster.keepers["d:1#1"].store.adopted.as_ref().map(|document| document.number),
                Some(1),
                "{lost:?} {start}"
            );
            replace(&mut cluster, lost.1, "e:1#2", start);
            cluster.run_for(CATCH_UP_TIME);
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

/// All three voters of the first view are lost in sequence.
#[test]
fn no_write_is_lost_when_every_voter_is_replaced_in_turn() {
    let mut cluster = serving_cluster();
    for (i, lost) in ["a:1", "b:1", "c:1"].into_iter().enumerate() {
        write(&mut cluster, i as u64 + 1);
        cluster.run_for(100);
        assert!(is_acknowledged(&cluster, i as u64 + 1));
        let seeds = ["d:1", "e:1", "f:1"];
        replace(&mut cluster, lost, &format!("{}#{i}", seeds[i]), 1_000);
        cluster.run_for(CATCH_UP_TIME);
    }
    assert_eq!(adopted(&mut cluster, 100).map(|document| document.number), Some(3));
    write(&mut cluster, 9);
    cluster.run_for(1_000);
    assert!(is_acknowledged(&cluster, 9));
}

/// A spare becomes a voter and a member of the chain in a single view change, after it has fetched the whole store.
#[test]
fn a_spare_becomes_a_voter_only_once_it_has_the_whole_store() {
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
    assert_eq!(versions.len(), 3, "one view change removes c, and one adds d: {versions:?}");
}

/// The replacement is lost as soon as it is a voter, and the next spare replaces it.
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
    cluster.run_for(CATCH_UP_TIME);
    let view = cluster.view("a:1").clone();
    assert!(view.is_member("e:1#2") && view.members.len() == 3, "{view:?}");
    assert_eq!(adopted(&mut cluster, 100).map(|document| document.number), Some(1));
}

/// If there is no keeper outside the view, a voter keeps its vote however long it is unresponsive.
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

/// A voter that was replaced while it was down returns as a spare under the same name, and may become a voter again.
#[test]
fn a_replaced_voter_is_a_spare_when_it_returns() {
    let mut cluster = serving_cluster();
    write(&mut cluster, 1);
    cluster.run_for(200);
    replace(&mut cluster, "c:1", "d:1#1", 100);
    cluster.run_for(CATCH_UP_TIME);
    assert!(!cluster.view("a:1").is_voter("c:1"));
    write(&mut cluster, 2);
    cluster.run_for(200);
    cluster.down.clear();
    cluster.run_for(1_000);
    assert_eq!(cluster.view("c:1"), cluster.view("a:1"));
    cluster.down = vec!["b:1".into()];
    cluster.run_for(CATCH_UP_TIME);
    let view = cluster.view("a:1").clone();
    assert!(view.is_member("c:1") && !view.is_voter("b:1"), "{view:?}");
    // The keepers that have the writes from before its return are lost in turn.
    cluster.down.push("a:1".into());
    cluster.run_for(2_500);
    assert_eq!(adopted(&mut cluster, 100).map(|document| document.number), Some(2));
}
