//! For which node leases a new tail waits.
mod kit;

use assert_matches::assert_matches;
use kit::Net;
use quincehatch_core::{ChangeNumber, Name, PrimaryAssignment};
use quincehatch_store::timing::NODE_LEASE;
use quincehatch_store::{Answer, Command, Reply, Request};

/// Demotes the group's primary: a write that must be in force at every node that may act.
fn demote(net: &mut Net, token: u64) {
    let head = net.head().unwrap();
    let no_primary = PrimaryAssignment { fence: 1, ..Default::default() };
    let command = Command::AssignPrimary { group: "g".into(), primary: no_primary };
    net.ask(&head, token, Request::Write { key: "close".into(), command });
}

fn is_demoted(net: &Net, token: u64) -> bool {
    matches!(net.rep(token), Some(Reply::Answer { answer: Answer::Primary(_), .. }))
}

/// Stops the tail and runs until another keeper serves.
fn replace_tail(net: &mut Net, old: &Name) {
    net.down.push(old.clone());
    while net.tail().is_none() {
        net.run(20);
    }
}

/// A chain that serves, with one node enrolled.
struct Setup {
    net: Net,
    /// The entry that enrolled the node `n1`.
    enrolled: ChangeNumber,
    tail: Name,
}

fn setup() -> Setup {
    let mut net = Net::new(&["a", "b", "c"]);
    net.run(8_000);
    let enrolled = net.enroll("n1", 1);
    let tail = net.tail().unwrap();
    Setup { net, enrolled, tail }
}

/// A demotion after the loss of the tail once waited four seconds for leases that no node held. Found in runs that stop
/// keepers.
#[test]
fn a_new_tail_waits_only_until_every_enrolled_node_has_polled() {
    let Setup { mut net, enrolled, tail } = setup();
    net.poll("n1", 2, enrolled, enrolled);
    net.run(100);
    replace_tail(&mut net, &tail);
    demote(&mut net, 3);
    net.run(1_000);
    assert!(!is_demoted(&net, 3), "n1 may act on a lease that the old tail granted");
    net.poll("n1", 4, enrolled, enrolled + 1);
    net.run(60);
    assert!(is_demoted(&net, 3));
}

#[test]
fn a_new_tail_waits_for_a_whole_term_when_a_node_is_unresponsive() {
    let Setup { mut net, enrolled, tail } = setup();
    net.poll("n1", 2, enrolled, enrolled);
    net.run(100);
    replace_tail(&mut net, &tail);
    let began = net.now;
    demote(&mut net, 3);
    while !is_demoted(&net, 3) {
        net.run(20);
    }
    assert!((NODE_LEASE..NODE_LEASE + 300).contains(&(net.now - began)), "{}", net.now - began);
}

#[test]
fn no_lease_is_granted_when_a_process_is_not_enrolled() {
    let Setup { mut net, enrolled, .. } = setup();
    net.poll("n2", 2, enrolled, 0);
    net.run(40);
    assert_matches!(net.rep(2), Some(Reply::NotEnrolled));
    // The next process of a node has its own enrollment: the old one is not valid any more.
    let next = net.enroll("n1", 3);
    net.poll("n1", 4, enrolled, next);
    net.run(40);
    assert_matches!(net.rep(4), Some(Reply::NotEnrolled));
    net.poll("n1", 5, next, 0);
    net.run(40);
    assert_matches!(net.rep(5), Some(Reply::Changes { .. } | Reply::Snapshot { .. }));
}

/// The node was dismissed while it held a lease, and then the tail was lost: its lease counts all the same.
#[test]
fn a_new_tail_waits_for_a_node_when_it_was_dismissed_recently() {
    for joins in [false, true] {
        let Setup { mut net, enrolled, tail } = setup();
        if joins {
            // The next tail has fetched its store from the one before.
            net.down.push(tail.clone());
            net.run(4_000);
            net.down.clear();
            net.run(2_000);
        }
        net.poll("n1", 2, enrolled, enrolled);
        let head = net.head().unwrap();
        let command = Command::DismissNode { node: "n1".into(), enrolled };
        net.ask(&head, 3, Request::Write { key: "d".into(), command });
        net.run(100);
        let old = net.tail().unwrap();
        replace_tail(&mut net, &old);
        demote(&mut net, 4);
        net.run(400);
        assert!(!is_demoted(&net, 4), "joins: {joins}");
        net.run(NODE_LEASE);
        assert!(is_demoted(&net, 4));
    }
}

/// A keeper that returns becomes the tail. The tail before it hands over its leases, so that a demotion need not wait for
/// an unresponsive node longer than that node's lease.
#[test]
fn a_new_tail_waits_no_longer_than_the_old_tails_leases_when_they_are_handed_over() {
    let Setup { mut net, enrolled, tail } = setup();
    replace_tail(&mut net, &tail);
    net.poll("n1", 2, enrolled, enrolled);
    // The node does not poll any more.
    net.run(3_000);
    net.down.clear();
    let began = net.now;
    while net.tail() != Some(tail.clone()) {
        net.run(20);
    }
    assert!(net.now - began < 2_000);
    demote(&mut net, 3);
    while !is_demoted(&net, 3) {
        net.run(20);
    }
    assert!(net.now - began < 2_500, "{}", net.now - began);
}

/// What the tail before knew says nothing of leases that this one granted itself, in an earlier process. Found by the
/// simulator with seed 7000113.
#[test]
fn a_restarted_tail_waits_for_its_own_leases_when_the_old_tail_hands_over_none() {
    let Setup { mut net, enrolled, tail } = setup();
    replace_tail(&mut net, &tail);
    net.down.clear();
    net.run(3_000);
    assert_eq!(net.tail(), Some(tail.clone()));
    net.poll("n1", 2, enrolled, enrolled);
    net.run(100);
    net.ks.remove(&tail);
    net.wire.clear();
    net.again(&tail);
    net.run(400);
    assert_eq!(net.tail(), Some(tail.clone()), "it serves at once, as it has before");
    demote(&mut net, 3);
    net.run(1_500);
    assert!(!is_demoted(&net, 3), "n1 may act on its lease");
    net.run(NODE_LEASE);
    assert!(is_demoted(&net, 3));
}
