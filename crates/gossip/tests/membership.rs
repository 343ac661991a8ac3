//! Checks that all nodes that can reach each other agree on which nodes are live, as the ownership of keys depends on
//! it.
mod network;

use network::Network;
use quincehatch_core::Name;
use quincehatch_gossip::ownership::owner;
use std::collections::BTreeSet;

/// Guards against a fault that seed 154 of the simulator found: two nodes owned the promotion duty of one group. All
/// records that a suspended node is dead were sent during its suspension, so it could not refute them, and nodes that
/// considered it dead ignored its own record as stale.
#[test]
fn a_suspended_node_that_was_considered_dead_is_live_at_all_nodes_after_it_resumes() {
    for nodes in [3, 5, 7] {
        let mut network = Network::new(nodes);
        network.run(5_000);
        let all: Vec<Name> = network.nodes.keys().cloned().collect();
        assert_eq!(network.live_lists(), [all.clone()].into());
        network.suspended.insert("n0".into());
        network.run(6_000);
        assert!(!network.live("n1").contains(&"n0".into()));
        network.suspended.clear();
        network.run(3_000);
        assert_eq!(network.live_lists(), [all].into(), "{nodes} nodes");
    }
}

/// Neither half would contact the other without pings to dead members and shuffles with seeds.
#[test]
fn halves_that_consider_each_other_dead_merge_within_three_seconds_after_the_partition() {
    let mut network = Network::new(6);
    network.run(5_000);
    network.partition(&["n0", "n1", "n2"], &["n3", "n4", "n5"]);
    network.run(9_000);
    assert_eq!(network.live_lists().len(), 2);
    network.partitioned.clear();
    network.run(3_000);
    assert_eq!(network.live_lists().len(), 1, "{:?}", network.live_lists());
    let key = "lead/g1";
    let owners: BTreeSet<_> =
        network.nodes.keys().map(|name| owner(key, &network.live(name)).cloned()).collect();
    assert_eq!(owners.len(), 1);
}

/// The last messages that a leaving node sent must not make it live again.
#[test]
fn a_node_that_left_is_not_live_again() {
    let mut network = Network::new(4);
    network.run(5_000);
    let actions = network.nodes.get_mut("n3").unwrap().leave();
    network.deliver(&"n3".into(), actions);
    network.run(2_000);
    for name in ["n0", "n1", "n2"] {
        assert!(!network.live(name).contains(&"n3".into()), "{name}: {:?}", network.live(name));
    }
}
