//! Who is held to be alive comes to the same at every node once all can reach each other (§6.2): duties rest on it.
use quincehatch_core::{Millis, Name};
use quincehatch_gossip::duty::owner;
use quincehatch_gossip::member::GossipAction;
use quincehatch_gossip::{GossipEnvelope, GossipMembership, MemberRecord, MemberStatus};
use std::collections::{BTreeMap, BTreeSet};

const TICK: Millis = 50;

/// Nodes whose letters arrive at once, but for those that are cut off from each other. A node's address is its name.
struct Net {
    now: Millis,
    nodes: BTreeMap<Name, GossipMembership>,
    /// Pairs of which the first does not reach the second.
    cut: BTreeSet<(Name, Name)>,
    /// Nodes that stand still: they send nothing, and what is sent to them is lost.
    paused: BTreeSet<Name>,
}

impl Net {
    fn new(nodes: usize) -> Net {
        let name = |i: usize| Name::from(format!("n{i}"));
        let seeds: Vec<Name> = (0..nodes.min(3)).map(name).collect();
        let one = |i: usize| {
            let me = MemberRecord {
                name: name(i),
                addr: name(i),
                zone: "d".into(),
                incarnation: 1,
                status: MemberStatus::Alive,
            };
            (name(i), GossipMembership::new(me, seeds.clone(), i as u64 + 1, 0))
        };
        Net { now: 0, nodes: (0..nodes).map(one).collect(), cut: BTreeSet::new(), paused: BTreeSet::new() }
    }
    fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK;
            let names: Vec<Name> = self.nodes.keys().cloned().collect();
            for name in names.into_iter().filter(|n| !self.paused.contains(n)).collect::<Vec<_>>() {
                let outs = self.nodes.get_mut(&name).unwrap().tick(self.now);
                self.deliver(&name, outs);
            }
        }
    }
    fn deliver(&mut self, from: &Name, outs: Vec<GossipAction>) {
        let mut letters: Vec<(Name, Name, GossipEnvelope)> = letters_of(from, outs);
        while let Some((from, to, letter)) = letters.pop() {
            if self.paused.contains(&to) || self.cut.contains(&(from, to.clone())) {
                continue;
            }
            let outs = self.nodes.get_mut(&to).unwrap().handle_message(self.now, letter);
            letters.extend(letters_of(&to, outs));
        }
    }
    /// What `a` sends to `b` is lost.
    fn lose(&mut self, a: &str, b: &str) {
        self.cut.insert((a.into(), b.into()));
    }
    fn split(&mut self, one: &[&str], other: &[&str]) {
        for (a, b) in one.iter().flat_map(|a| other.iter().map(move |b| (a, b))) {
            self.lose(a, b);
            self.lose(b, a);
        }
    }
    fn live(&self, at: &str) -> Vec<Name> {
        self.nodes[at].live().into_iter().map(|(n, _)| n).collect()
    }
    fn views(&self) -> BTreeSet<Vec<Name>> {
        self.nodes.keys().map(|n| self.live(n)).collect()
    }
}

fn letters_of(from: &Name, outs: Vec<GossipAction>) -> Vec<(Name, Name, GossipEnvelope)> {
    let letter = |o| match o {
        GossipAction::Send(to, letter) => Some((from.clone(), to, letter)),
        _ => None,
    };
    outs.into_iter().filter_map(letter).collect()
}

/// All rumors of its death were told while it stood still, so it never refutes them, and whoever holds it dead takes its
/// own word for old. Drawn seed 154: two nodes looked after one group so.
#[test]
fn a_node_that_was_held_dead_hears_of_it_and_is_alive_again_everywhere() {
    for nodes in [3, 5, 7] {
        let mut net = Net::new(nodes);
        net.run(5_000);
        let all: Vec<Name> = net.nodes.keys().cloned().collect();
        assert_eq!(net.views(), [all.clone()].into());
        net.paused.insert("n0".into());
        net.run(6_000);
        assert!(!net.live("n1").contains(&"n0".into()));
        net.paused.clear();
        net.run(3_000);
        assert_eq!(net.views(), [all].into(), "{nodes} nodes");
    }
}

/// Two halves that buried each other, neither of which has reason of its own to write to the other.
#[test]
fn halves_that_buried_each_other_are_one_fleet_soon_after_the_cut() {
    let mut net = Net::new(6);
    net.run(5_000);
    net.split(&["n0", "n1", "n2"], &["n3", "n4", "n5"]);
    net.run(9_000);
    assert_eq!(net.views().len(), 2);
    net.cut.clear();
    net.run(3_000);
    assert_eq!(net.views().len(), 1, "{:?}", net.views());
    let duty = "lead/g1";
    let owners: BTreeSet<_> = net.nodes.keys().map(|n| owner(duty, &net.live(n)).cloned()).collect();
    assert_eq!(owners.len(), 1);
}

/// One that said farewell is not called back by its own last letters.
#[test]
fn whoever_left_stays_gone() {
    let mut net = Net::new(4);
    net.run(5_000);
    let outs = net.nodes.get_mut("n3").unwrap().leave();
    net.deliver(&"n3".into(), outs);
    net.run(2_000);
    for n in ["n0", "n1", "n2"] {
        assert!(!net.live(n).contains(&"n3".into()), "{n}: {:?}", net.live(n));
    }
}
