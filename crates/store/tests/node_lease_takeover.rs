//! Takeover by a new tail: it waits for the node leases that earlier tails may have granted.
mod cluster;

use assert_matches::assert_matches;
use cluster::Cluster;
use quincehatch_core::{ChangeNumber, Name, PrimaryAssignment};
use quincehatch_store::timing::NODE_LEASE;
use quincehatch_store::{Answer, Command, Reply, Request};

/// Demotes the group's primary. The write is answered only once it is in force at every node with a lease.
fn demote(cluster: &mut Cluster, token: u64) {
    let head = cluster.head().unwrap();
    let no_primary = PrimaryAssignment { fence: 1, ..Default::default() };
    let command = Command::AssignPrimary { group: "g".into(), primary: no_primary };
    cluster.request(&head, token, Request::Write { key: "close".into(), command });
}

fn is_demoted(cluster: &Cluster, token: u64) -> bool {
    matches!(cluster.reply_to(token), Some(Reply::Answer { answer: Answer::Primary(_), .. }))
}

/// Stops the tail and runs until another keeper serves.
fn replace_tail(cluster: &mut Cluster, old: &Name) {
    cluster.down.push(old.clone());
    while cluster.tail().is_none() {
        cluster.run_for(20);
    }
}

/// A serving chain with one enrolled node.
struct Setup {
    cluster: Cluster,
    /// The entry that enrolled the node `n1`.
    enrolled: ChangeNumber,
    tail: Name,
}

fn setup() -> Setup {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    cluster.run_for(8_000);
    let enrolled = cluster.enroll("n1", 1);
    let tail = cluster.tail().unwrap();
    Setup { cluster, enrolled, tail }
}

/// After the loss of the tail, a demotion once waited four seconds for leases that no node held. Runs that stop keepers
/// found this.
#[test]
fn a_new_tail_waits_only_until_every_enrolled_node_has_polled() {
    let Setup { mut cluster, enrolled, tail } = setup();
    cluster.poll("n1", 2, enrolled, enrolled);
    cluster.run_for(100);
    replace_tail(&mut cluster, &tail);
    demote(&mut cluster, 3);
    cluster.run_for(1_000);
    assert!(!is_demoted(&cluster, 3), "n1 may act on a lease that the old tail granted");
    cluster.poll("n1", 4, enrolled, enrolled + 1);
    cluster.run_for(60);
    assert!(is_demoted(&cluster, 3));
}

#[test]
fn a_new_tail_waits_for_a_whole_term_when_a_node_is_unresponsive() {
    let Setup { mut cluster, enrolled, tail } = setup();
    cluster.poll("n1", 2, enrolled, enrolled);
    cluster.run_for(100);
    replace_tail(&mut cluster, &tail);
    let started_at = cluster.now;
    demote(&mut cluster, 3);
    while !is_demoted(&cluster, 3) {
        cluster.run_for(20);
    }
    assert!(
        (NODE_LEASE..NODE_LEASE + 300).contains(&(cluster.now - started_at)),
        "{}",
        cluster.now - started_at
    );
}

#[test]
fn no_lease_is_granted_when_a_process_is_not_enrolled() {
    let Setup { mut cluster, enrolled, .. } = setup();
    cluster.poll("n2", 2, enrolled, 0);
    cluster.run_for(40);
    assert_matches!(cluster.reply_to(2), Some(Reply::NotEnrolled));
    // The next process of a node has its own enrollment, which invalidates the previous one.
    let next = cluster.enroll("n1", 3);
    cluster.poll("n1", 4, enrolled, next);
    cluster.run_for(40);
    assert_matches!(cluster.reply_to(4), Some(Reply::NotEnrolled));
    cluster.poll("n1", 5, next, 0);
    cluster.run_for(40);
    assert_matches!(cluster.reply_to(5), Some(Reply::Changes { .. } | Reply::PackedSnapshot { .. }));
}

/// A node is dismissed while it holds a lease, and then the tail is lost. The new tail must still wait for the lease.
#[test]
fn a_new_tail_waits_for_a_node_when_it_was_dismissed_recently() {
    for joins in [false, true] {
        let Setup { mut cluster, enrolled, tail } = setup();
        if joins {
            // The next tail has joined the chain and fetched its store from the previous tail.
            cluster.down.push(tail.clone());
            cluster.run_for(4_000);
            cluster.down.clear();
            cluster.run_for(2_000);
        }
        cluster.poll("n1", 2, enrolled, enrolled);
        let head = cluster.head().unwrap();
        let command = Command::DismissNode { node: "n1".into(), enrolled };
        cluster.request(&head, 3, Request::Write { key: "d".into(), command });
        cluster.run_for(100);
        let old = cluster.tail().unwrap();
        replace_tail(&mut cluster, &old);
        demote(&mut cluster, 4);
        cluster.run_for(400);
        assert!(!is_demoted(&cluster, 4), "joins: {joins}");
        cluster.run_for(NODE_LEASE);
        assert!(is_demoted(&cluster, 4));
    }
}

/// A keeper that returns becomes the tail. The previous tail hands over its leases, so that a demotion waits for an
/// unresponsive node no longer than that node's lease.
#[test]
fn a_new_tail_waits_no_longer_than_the_old_tails_leases_when_they_are_handed_over() {
    let Setup { mut cluster, enrolled, tail } = setup();
    replace_tail(&mut cluster, &tail);
    cluster.poll("n1", 2, enrolled, enrolled);
    // The node polls no more.
    cluster.run_for(3_000);
    cluster.down.clear();
    let started_at = cluster.now;
    while cluster.tail() != Some(tail.clone()) {
        cluster.run_for(20);
    }
    assert!(cluster.now - started_at < 2_000);
    demote(&mut cluster, 3);
    while !is_demoted(&cluster, 3) {
        cluster.run_for(20);
    }
    assert!(cluster.now - started_at < 2_500, "{}", cluster.now - started_at);
}

/// The leases that the previous tail hands over do not include those that this tail granted in an earlier process.
/// Simulator seed 7000113.
#[test]
fn a_restarted_tail_waits_for_its_own_leases_when_the_old_tail_hands_over_none() {
    let Setup { mut cluster, enrolled, tail } = setup();
    replace_tail(&mut cluster, &tail);
    cluster.down.clear();
    cluster.run_for(3_000);
    assert_eq!(cluster.tail(), Some(tail.clone()));
    cluster.poll("n1", 2, enrolled, enrolled);
    cluster.run_for(100);
    cluster.keepers.remove(&tail);
    cluster.in_flight.clear();
    cluster.restart(&tail);
    cluster.run_for(400);
    assert_eq!(cluster.tail(), Some(tail.clone()), "it serves at once, because it has served in this view");
    demote(&mut cluster, 3);
    cluster.run_for(1_500);
    assert!(!is_demoted(&cluster, 3), "n1 may act on its lease");
    cluster.run_for(NODE_LEASE);
    assert!(is_demoted(&cluster, 3));
}
