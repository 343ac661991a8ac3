//! Keepers that are told to stop leave the chain first.
mod kit;

use assert_matches::assert_matches;
use kit::fleet::*;
use quincehatch_store::{Command, Reply, Request, View};

/// A leave is a change of the view and no time-out, and the new tail need not wait for the old one's lease to end.
#[test]
fn writes_go_on_at_once_when_a_keeper_leaves() {
    for leaver in SEEDS {
        let mut net = net();
        let enrolled = net.enroll("n1", 50);
        net.poll("n1", 51, enrolled, enrolled);
        net.run(100);
        leave(&mut net, leaver);
        let took = until_left(&mut net, leaver);
        assert!(took <= 200, "{leaver}: {took}");
        let began = net.now;
        while net.tail().is_none() {
            net.run(20);
        }
        assert!(net.now - began <= 100, "{leaver}: {}", net.now - began);
        write(&mut net, 1);
        net.run(1_400);
        assert!(is_acknowledged(&net, 1), "{leaver}");
        let view = net.view(&net.tail().unwrap()).clone();
        assert!(view.is_voter(leaver) && !view.is_member(leaver), "{view:?}");
        // After a restart it returns to the chain.
        net.down.clear();
        net.seeker(leaver, leaver, &SEEDS, View::default());
        net.run(2_000);
        assert!(net.view(leaver).is_member(leaver));
        assert_eq!(adopted(&mut net, 100).map(|document| document.number), Some(1));
    }
}

/// The new tail still waits for the node leases that the leaving tail granted.
#[test]
fn node_leases_are_handed_over_when_the_tail_leaves() {
    let mut net = net();
    let enrolled = net.enroll("n1", 50);
    net.poll("n1", 51, enrolled, enrolled);
    net.run(100);
    leave(&mut net, "c:1");
    until_left(&mut net, "c:1");
    let head = net.view("b:1").head().cloned().unwrap();
    let command = Command::PushConfiguration { base: 0, text: "x".into(), by: "t".into() };
    net.ask(&head, 60, Request::Write { key: "p".into(), command });
    net.run(3_000);
    assert_matches!(net.rep(60), None, "n1 may act on the old configuration");
    net.run(1_300);
    assert_matches!(net.rep(60), Some(Reply::Answer { .. }));
}

/// A keeper outside the view takes over the vote of the one that leaves, and holds everything that one held.
#[test]
fn the_vote_goes_to_a_spare_when_a_keeper_leaves() {
    for leaver in SEEDS {
        let mut net = net();
        net.seeker("d:1#1", "d:1", &SEEDS, View::default());
        net.run(1_000);
        write(&mut net, 1);
        net.run(200);
        leave(&mut net, leaver);
        let took = until_left(&mut net, leaver);
        assert!(took <= 600, "{leaver}: {took}");
        net.run(500);
        let view = net.view(&net.tail().unwrap()).clone();
        assert!(view.is_member("d:1#1") && !view.is_voter(leaver) && view.voters.len() == 3, "{view:?}");
        assert_eq!(net.ks["d:1#1"].store.adopted.as_ref().map(|document| document.number), Some(1));
    }
}

/// Two keepers leave in turn, and the third holds everything: it does not leave before another one holds it too.
#[test]
fn the_last_replica_stays_until_another_holds_everything() {
    let mut net = net();
    write(&mut net, 1);
    net.run(200);
    leave(&mut net, "a:1");
    until_left(&mut net, "a:1");
    leave(&mut net, "b:1");
    until_left(&mut net, "b:1");
    assert_eq!(net.view("c:1").members, ["c:1"]);
    leave(&mut net, "c:1");
    net.run(500);
    assert!(!net.ks["c:1"].has_left());
    net.down.retain(|name| name != "a:1");
    net.seeker("a:1", "a:1", &SEEDS, View::default());
    until_left(&mut net, "c:1");
    assert_eq!(net.ks["a:1"].store.adopted.as_ref().map(|document| document.number), Some(1));
    assert_eq!(net.view("a:1").members, ["a:1"]);
}

/// A keeper that leaves without a majority ends all the same when its time is over.
#[test]
fn a_leave_ends_in_time_when_there_is_no_majority() {
    let mut net = net();
    net.down = vec!["a:1".into(), "b:1".into()];
    leave(&mut net, "c:1");
    let took = until_left(&mut net, "c:1");
    assert!((LEAVE_WITHIN..=LEAVE_WITHIN + 200).contains(&took), "{took}");
}

/// Another voter is lost at the moment in which one is told to stop, and there is a spare. A majority is left, as the
/// keeper that leaves stays until its vote is handed over.
#[test]
fn a_majority_is_left_when_a_voter_is_lost_during_a_leave() {
    for leaver in SEEDS {
        for lost in SEEDS.into_iter().filter(|seed| *seed != leaver) {
            let mut net = net();
            net.seeker("d:1#1", "d:1", &SEEDS, View::default());
            net.run(1_000);
            write(&mut net, 1);
            net.run(200);
            net.down = vec![lost.into()];
            leave(&mut net, leaver);
            until_left(&mut net, leaver);
            net.run(5_000);
            let view = net.view(&net.tail().expect("a majority serves")).clone();
            assert!(view.is_member("d:1#1") && !view.is_voter(leaver), "{leaver} {lost}: {view:?}");
            assert_eq!(adopted(&mut net, 100).map(|document| document.number), Some(1));
        }
    }
}
