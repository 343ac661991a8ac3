//! Nodes that gossip in virtual time over a network without delay.
#![allow(dead_code)]

use quincehatch_core::{Millis, Name};
use quincehatch_gossip::{GossipAction, GossipEnvelope, GossipMembership, MemberRecord, MemberStatus};
use std::collections::{BTreeMap, BTreeSet};

/// The time between two ticks of a node.
const TICK: Millis = 50;

/// A message in flight between two nodes.
pub struct Delivery {
    pub from: Name,
    pub to: Name,
    pub envelope: GossipEnvelope,
}

/// A network that delivers messages immediately, except between partitioned nodes. A node's address is its name.
pub struct Network {
    pub now: Millis,
    pub nodes: BTreeMap<Name, GossipMembership>,
    /// Pairs of nodes of which the first cannot reach the second.
    pub partitioned: BTreeSet<(Name, Name)>,
    /// Suspended nodes, which send nothing; messages to them are lost.
    pub suspended: BTreeSet<Name>,
}

impl Network {
    pub fn new(nodes: usize) -> Network {
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

    pub fn run(&mut self, ms: Millis) {
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

    pub fn deliver(&mut self, from: &Name, actions: Vec<GossipAction>) {
        let mut deliveries = deliveries(from, actions);
        while let Some(Delivery { from, to, envelope }) = deliveries.pop() {
            if self.suspended.contains(&to) || self.partitioned.contains(&(from, to.clone())) {
                continue;
            }
            let actions = self.nodes.get_mut(&to).unwrap().handle_message(self.now, envelope);
            deliveries.extend(self::deliveries(&to, actions));
        }
    }

    /// Drops all messages from `from` to `to` from now on.
    pub fn drop_messages(&mut self, from: &str, to: &str) {
        self.partitioned.insert((from.into(), to.into()));
    }

    pub fn partition(&mut self, one: &[&str], other: &[&str]) {
        for (a, b) in one.iter().flat_map(|a| other.iter().map(move |b| (a, b))) {
            self.drop_messages(a, b);
            self.drop_messages(b, a);
        }
    }

    pub fn live(&self, at: &str) -> Vec<Name> {
        self.nodes[at].live_members().into_iter().map(|member| member.name).collect()
    }

    /// Returns the distinct lists of live nodes over all nodes.
    pub fn live_lists(&self) -> BTreeSet<Vec<Name>> {
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
