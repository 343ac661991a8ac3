//! Whose leases a new tail waits for (§5.6).
mod kit;

use assert_matches::assert_matches;
use kit::Net;
use quincehatch_core::{Millis, Name, PrimaryAssignment};
use quincehatch_store::terms::NODE_LEASE;
use quincehatch_store::{Answer, Command, Reply, Request};

fn close(net: &mut Net, token: u64) {
    let head = net.tail().and_then(|t| net.view(&t).head().cloned()).unwrap();
    let cmd = Command::AssignPrimary {
        group: "g".into(),
        primary: PrimaryAssignment { fence: 1, ..Default::default() },
    };
    net.ask(&head, token, Request::Write { key: "close".into(), command: cmd });
}
fn closed(net: &Net, token: u64) -> bool {
    matches!(net.rep(token), Some(Reply::Answer { answer: Answer::Lead(_), .. }))
}
/// Runs until another keeper than `old` is the tail.
fn new_tail(net: &mut Net, old: &Name) -> Millis {
    let began = net.now;
    net.down.push(old.clone());
    while net.tail().is_none() {
        net.run(20);
    }
    net.now - began
}
fn begun() -> (Net, u64, Name) {
    let mut net = Net::new(&["a", "b", "c"]);
    net.run(8_000);
    let n1 = net.enroll("n1", 1);
    let tail = net.tail().unwrap();
    (net, n1, tail)
}

/// A close after the tail's death waited four seconds for leases that nobody knew (found on days when the core lost
/// machines).
#[test]
fn a_new_tail_waits_for_those_on_the_roll_and_no_longer() {
    let (mut net, n1, tail) = begun();
    net.poll("n1", 2, n1, n1);
    net.run(100);
    new_tail(&mut net, &tail);
    close(&mut net, 3);
    net.run(1_000);
    assert!(!closed(&net, 3), "n1 may act on a lease of the old tail's");
    net.poll("n1", 4, n1, n1 + 1);
    net.run(60);
    assert!(closed(&net, 3));
}

#[test]
fn whoever_is_dark_is_waited_for_a_whole_term() {
    let (mut net, n1, tail) = begun();
    net.poll("n1", 2, n1, n1);
    net.run(100);
    new_tail(&mut net, &tail);
    let began = net.now;
    close(&mut net, 3);
    while !closed(&net, 3) {
        net.run(20);
    }
    assert!((NODE_LEASE..NODE_LEASE + 300).contains(&(net.now - began)), "{}", net.now - began);
}

#[test]
fn nobody_has_a_lease_who_is_not_on_the_roll() {
    let (mut net, n1, _) = begun();
    net.poll("n2", 2, n1, 0);
    net.run(40);
    assert_matches!(net.rep(2), Some(Reply::NotEnrolled));
    // The next process of a node is another: what enrolled the last one does not do.
    let next = net.enroll("n1", 3);
    net.poll("n1", 4, n1, next);
    net.run(40);
    assert_matches!(net.rep(4), Some(Reply::NotEnrolled));
    net.poll("n1", 5, next, 0);
    net.run(40);
    assert_matches!(net.rep(5), Some(Reply::Changes { .. } | Reply::Snapshot { .. }));
}

/// It was struck off while it held a lease, and then the tail died: its lease counts all the same.
#[test]
fn one_struck_off_lately_is_waited_for_by_a_new_tail() {
    for joins in [false, true] {
        let (mut net, n1, tail) = begun();
        if joins {
            // The next tail has its store whole from the one before.
            net.down.push(tail.clone());
            net.run(4_000);
            net.down.clear();
            net.run(2_000);
        }
        net.poll("n1", 2, n1, n1);
        let head = net.tail().and_then(|t| net.view(&t).head().cloned()).unwrap();
        let cmd = Command::DismissNode { node: "n1".into(), enrolled: n1 };
        net.ask(&head, 3, Request::Write { key: "d".into(), command: cmd });
        net.run(100);
        let old = net.tail().unwrap();
        new_tail(&mut net, &old);
        close(&mut net, 4);
        net.run(400);
        assert!(!closed(&net, 4), "joins: {joins}");
        net.run(NODE_LEASE);
        assert!(closed(&net, 4));
    }
}

/// A keeper that comes back becomes the tail: the one before it tells whose leases are out, so that a close need not
/// wait for a dark node longer than its lease lasts.
#[test]
fn a_tail_that_comes_after_another_knows_what_that_one_granted() {
    let (mut net, n1, tail) = begun();
    new_tail(&mut net, &tail);
    net.poll("n1", 2, n1, n1);
    // Nothing is heard of the node from here on.
    net.run(3_000);
    net.down.clear();
    let began = net.now;
    while net.tail() != Some(tail.clone()) {
        net.run(20);
    }
    assert!(net.now - began < 2_000);
    close(&mut net, 3);
    while !closed(&net, 3) {
        net.run(20);
    }
    assert!(net.now - began < 2_500, "{}", net.now - began);
}

/// What the tail before knew says nothing of leases that this one granted itself, in a life that is over (drawn seed
/// 7000113).
#[test]
fn a_tail_started_anew_is_not_told_that_nobody_holds_a_lease_of_its_own() {
    let (mut net, n1, tail) = begun();
    new_tail(&mut net, &tail);
    net.down.clear();
    net.run(3_000);
    assert_eq!(net.tail(), Some(tail.clone()));
    net.poll("n1", 2, n1, n1);
    net.run(100);
    net.ks.remove(&tail);
    net.wire.clear();
    net.again(&tail);
    net.run(400);
    assert_eq!(net.tail(), Some(tail.clone()), "it serves at once, as it has before");
    close(&mut net, 3);
    net.run(1_500);
    assert!(!closed(&net, 3), "n1 may act on its lease");
    net.run(NODE_LEASE);
    assert!(closed(&net, 3));
}
