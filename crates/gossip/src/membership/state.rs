//! The state of the membership protocol.
use crate::messages::{GossipEnvelope, MemberRecord, MemberStatus};
use quincehatch_core::{Millis, Name, ServerHeartbeat};
use quincehatch_runtime::rng::Rng;
use std::collections::BTreeMap;

/// Members in a partial view.
pub const VIEW_SIZE: usize = 6;

/// A node that counts as live.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LiveMember {
    /// The node's name.
    pub name: Name,
    /// The zone the node runs in.
    pub zone: Name,
}

impl AsRef<str> for LiveMember {
    fn as_ref(&self) -> &str {
        &self.name
    }
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipAction {
    /// Send a message to an address.
    Send(Name, GossipEnvelope),
    /// Servers' heartbeats that came from other nodes.
    Heartbeats(Vec<ServerHeartbeat>),
    /// A member's status changed.
    StatusChanged(Name, MemberStatus),
}

/// Another node.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub record: MemberRecord,
    /// Since when it has had this status.
    pub since: Millis,
    /// Messages that carried the record since it last changed.
    pub times_sent: u32,
}

/// A probe that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub target: Name,
    pub expires_at: Millis,
    /// The target did not answer, and others were asked to probe it.
    pub indirect: bool,
}

/// A probe of `target` on behalf of another node.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub target: Name,
    pub asker_addr: Name,
    /// The asking node's number of the probe.
    pub asker_seq: u64,
    pub expires_at: Millis,
}

/// A server's heartbeat that is passed on.
#[derive(Clone, Debug)]
pub(super) struct PendingHeartbeat {
    pub heartbeat: ServerHeartbeat,
    pub times_sent: u32,
}

/// When the periodic work is due next.
pub(super) struct Schedule {
    pub probe_at: Millis,
    pub shuffle_at: Millis,
    pub comparison_at: Millis,
    pub heartbeats_at: Millis,
}

/// What one node knows of the others, and the protocol that keeps it up to date.
pub struct GossipMembership {
    /// This node's own record.
    pub local: MemberRecord,
    /// Messages sent so far.
    pub messages_sent: u64,
    pub(super) rng: Rng,
    pub(super) members: BTreeMap<Name, Member>,
    /// Names of the members in the partial view.
    pub(super) view: Vec<Name>,
    /// Addresses that are contacted while no member is known, and now and then later.
    pub(super) seeds: Vec<Name>,
    /// Probes of this node, by their number.
    pub(super) probes: BTreeMap<u64, Probe>,
    /// Probes on behalf of others, by this node's number.
    pub(super) relays: BTreeMap<u64, Relay>,
    /// The number of the last probe.
    pub(super) last_seq: u64,
    pub(super) schedule: Schedule,
    /// The newest heartbeat of each server.
    pub(super) heartbeats: BTreeMap<Name, PendingHeartbeat>,
    pub(super) actions: Vec<GossipAction>,
}

impl GossipMembership {
    /// A node that knows only the addresses of its seeds. `seed` initializes its random generator.
    pub fn new(local: MemberRecord, seeds: Vec<Name>, seed: u64, now: Millis) -> Self {
        let mut membership = Self {
            local,
            messages_sent: 0,
            rng: Rng::new(seed),
            members: BTreeMap::new(),
            view: Vec::new(),
            seeds: Vec::new(),
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            // At random, so that an answer to a probe of an earlier incarnation matches none of this one.
            last_seq: seed >> 1,
            schedule: Schedule { probe_at: now, shuffle_at: now, comparison_at: now, heartbeats_at: now },
            heartbeats: BTreeMap::new(),
            actions: Vec::new(),
        };
        membership.set_seeds(seeds);
        membership
    }

    /// Replaces the seeds, as after a change of the settings. This node's own address is left out.
    pub fn set_seeds(&mut self, mut seeds: Vec<Name>) {
        seeds.retain(|addr| *addr != self.local.addr);
        self.seeds = seeds;
    }

    /// The nodes that count as live, this one included, by name. A suspect still counts.
    pub fn live(&self) -> Vec<LiveMember> {
        let others = self.members.values().map(|member| &member.record);
        let records = others.filter(|record| record.status.is_live()).chain([&self.local]);
        let mut live: Vec<LiveMember> = records
            .map(|record| LiveMember { name: record.name.clone(), zone: record.zone.clone() })
            .collect();
        live.sort();
        live
    }

    /// The records of all other members, dead ones too.
    pub fn member_records(&self) -> Vec<MemberRecord> {
        self.members.values().map(|member| member.record.clone()).collect()
    }

    /// The gossip address of a node.
    pub fn addr(&self, name: &str) -> Option<Name> {
        if self.local.name == name {
            return Some(self.local.addr.clone());
        }
        self.members.get(name).map(|member| member.record.addr.clone())
    }

    /// The names in this node's partial view.
    pub fn view(&self) -> &[Name] {
        &self.view
    }

    pub(super) fn next_seq(&mut self) -> u64 {
        self.last_seq += 1;
        self.last_seq
    }

    /// Names of the members whose status satisfies `condition`, in order of name.
    pub fn names_with_status(&self, condition: impl Fn(MemberStatus) -> bool) -> Vec<Name> {
        let members = self.members.values().filter(|member| condition(member.record.status));
        members.map(|member| member.record.name.clone()).collect()
    }
}
