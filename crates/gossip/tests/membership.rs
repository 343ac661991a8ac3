//! All nodes that can reach each other agree on which nodes are live: ownership of keys rests on it.
use quincehatch_core::{Millis, Name};
use quincehatch_gossip::ownership::owner;
use quincehatch_gossip::{GossipAction, GossipEnvelope, GossipMembership, MemberRecord, MemberStatus};
use std::collections::{BTreeMap, BTreeSet};

/// Time between two ticks of a node.
const TICK: Millis = 50;

/// A message on its way between two nodes.
struct Delivery {
    from: Name,
    to: Name,
    envelope: GossipEnvelope,
}

/// Nodes whose messages arrive at once, except between nodes that are partitioned. A node's address is its name.
struct Network {
    now: Millis,
    nodes: BTreeMap<Name, GossipMembership>,
    /// Pairs of which the first does not reach the second.
    partitioned: BTreeSet<(Name, Name)>,
    /// Nodes that are suspended: they send nothing, and what is sent to them is lost.
    suspended: BTreeSet<Name>,
}

impl Network {
    fn new(nodes: usize) -> Network {
        let name = |i: usize| Name::from(format!("n{i}"));
        let seeds: Vec<Name> = (0..nodes.min(3)).map(name).collect();
        let node = |i: usize| {
            let record = MemberRecord {
                name: name(i),
                addr: name(i),
                zone: "d".into(),
                incarnation: 1,
                status: MemberStatus::Alive,
            };
            (name(i), GossipMembership::new(record, seeds.clone(), i as u64 + 1, 0))
        };
        Network {
            now: 0,
            nodes: (0..nodes).map(node).collect(),
            partitioned: BTreeSet::new(),
            suspended: BTreeSet::new(),
        }
    }

    fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK;
            let names: Vec<Name> = self.nodes.keys().cloned().collect();
            for name in names.into_iter().filter(|name| !self.suspended.contains(name)).collect::<Vec<_>>() {
                let actions = self.nodes.get_mut(&name).unwrap().tick(self.now);
                self.deliver(&name, actions);
            }
        }
    }

    fn deliver(&mut self, from: &Name, actions: Vec<GossipAction>) {
        let mut deliveries = deliveries(from, actions);
        while let Some(Delivery { from, to, envelope }) = deliveries.pop() {
            if self.suspended.contains(&to) || self.partitioned.contains(&(from, to.clone())) {
                continue;
            }
            let actions = self.nodes.get_mut(&to).unwrap().handle_message(self.now, envelope);
            deliveries.extend(self::deliveries(&to, actions));
        }
    }

    /// What `from` sends to `to` is lost.
    fn lose(&mut self, from: &str, to: &str) {
        self.partitioned.insert((from.into(), to.into()));
    }

    fn partition(&mut self, one: &[&str], other: &[&str]) {
        for (a, b) in one.iter().flat_map(|a| other.iter().map(move |b| (a, b))) {
            self.lose(a, b);
            self.lose(b, a);
        }
    }

    fn live(&self, at: &str) -> Vec<Name> {
        self.nodes[at].live().into_iter().map(|member| member.name).collect()
    }

    /// The different lists of live nodes that nodes have.
    fn live_lists(&self) -> BTreeSet<Vec<Name>> {
        self.nodes.keys().map(|name| self.live(name)).collect()
    }
}

fn deliveries(from: &Name, actions: Vec<GossipAction>) -> Vec<Delivery> {
    let delivery = |action| match action {
        GossipAction::Send(to, envelope) => Some(Delivery { from: from.clone(), to, envelope }),
        _ => None,
    };
    actions.into_iter().filter_map(delivery).collect()
}

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
