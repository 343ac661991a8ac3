//! All nodes that can reach each other agree on which nodes are live: ownership of keys rests on it.
mod network;

use network::Network;
use quincehatch_core::Name;
use quincehatch_gossip::ownership::owner;
use std::collections::BTreeSet;

/// All records of its death were sent while it was suspended, so it never refutes them, and whoever considers it dead takes
/// its own record for an old one. Seed 154 of the simulator: two nodes watched one group.
#[test]
fn a_node_that_was_considered_dead_is_live_everywhere_when_it_comes_back() {
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

/// Neither half has a reason of its own to contact the other.
#[test]
fn halves_that_consider_each_other_dead_are_one_cluster_soon_after_the_partition() {
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

/// Its own last messages do not bring it back.
#[test]
fn a_node_that_left_stays_gone() {
    let mut network = Network::new(4);
    network.run(5_000);
    let actions = network.nodes.get_mut("n3").unwrap().leave();
    network.deliver(&"n3".into(), actions);
    network.run(2_000);
    for name in ["n0", "n1", "n2"] {
        assert!(!network.live(name).contains(&"n3".into()), "{name}: {:?}", network.live(name));
    }
}
