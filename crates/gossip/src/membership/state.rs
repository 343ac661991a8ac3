//! The state of the membership protocol.
use crate::messages::{GossipEnvelope, MemberRecord, MemberStatus};
use quincehatch_core::{Millis, Name, ServerHeartbeat};
use quincehatch_runtime::rng::Rng;
use std::collections::BTreeMap;

/// The number of members in a partial view.
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

/// An action that the caller is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipAction {
    /// Send a message to an address.
    Send(Name, GossipEnvelope),
    /// Process servers' heartbeats that other nodes sent.
    Heartbeats(Vec<ServerHeartbeat>),
    /// Process the change of a member's status.
    StatusChanged(Name, MemberStatus),
}

/// The state of another node.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub record: MemberRecord,
    /// The time since which the member has had its status.
    pub since: Millis,
    /// The number of messages that have carried the record since it last changed.
    pub times_sent: u32,
}

/// A probe that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub target: Name,
    pub expires_at: Millis,
    /// Whether the target did not answer directly and other members were asked to probe it.
    pub indirect: bool,
}

/// A probe of `target` on behalf of another node.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub target: Name,
    pub requester_addr: Name,
    /// The requesting node's number of the probe.
    pub requester_seq: u64,
    pub expires_at: Millis,
}

/// A server's heartbeat that is being disseminated.
#[derive(Clone, Debug)]
pub(super) struct PendingHeartbeat {
    pub heartbeat: ServerHeartbeat,
    pub times_sent: u32,
}

/// The times at which the periodic tasks are due next.
pub(super) struct Schedule {
    pub probe_at: Millis,
    pub shuffle_at: Millis,
    pub comparison_at: Millis,
    pub heartbeats_at: Millis,
}

/// One node's knowledge of the other nodes, and the protocol that keeps it up to date.
pub struct GossipMembership {
    /// This node's own record.
    pub local: MemberRecord,
    /// The number of messages sent so far.
    pub messages_sent: u64,
    pub(super) rng: Rng,
    pub(super) members: BTreeMap<Name, Member>,
    /// Names of the members in the partial view.
    pub(super) view: Vec<Name>,
    /// Addresses that are contacted while no member is known, and occasionally later.
    pub(super) seeds: Vec<Name>,
    /// Probes that this node sent for itself, by their number.
    pub(super) probes: BTreeMap<u64, Probe>,
    /// Probes that this node sent on behalf of other nodes, by this node's number of the probe.
    pub(super) relays: BTreeMap<u64, Relay>,
    /// The number of the last probe.
    pub(super) last_seq: u64,
    pub(super) schedule: Schedule,
    /// The newest heartbeat of each server, by server name.
    pub(super) heartbeats: BTreeMap<Name, PendingHeartbeat>,
    pub(super) actions: Vec<GossipAction>,
}

impl GossipMembership {
    /// Returns the state of a node that knows only the addresses of its seeds. `seed` initializes its random number
    /// generator.
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
            // The start is random, so that an answer to a probe of an earlier incarnation matches no probe of this one.
            last_seq: seed >> 1,
            schedule: Schedule { probe_at: now, shuffle_at: now, comparison_at: now, heartbeats_at: now },
            heartbeats: BTreeMap::new(),
            actions: Vec::new(),
        };
        membership.set_seeds(seeds);
        membership
    }

    /// Replaces the seeds, for example after a change of the settings. This node's own address is left out.
    pub fn set_seeds(&mut self, mut seeds: Vec<Name>) {
        seeds.retain(|addr| *addr != self.local.addr);
        self.seeds = seeds;
    }

    /// Returns the nodes that count as live, including this one, ordered by name. Suspects still count as live.
    pub fn live_members(&self) -> Vec<LiveMember> {
        let peers = self.members.values().map(|member| &member.record);
        let records = peers.filter(|record| record.status.is_live()).chain([&self.local]);
        let mut live: Vec<LiveMember> = records
            .map(|record| LiveMember { name: record.name.clone(), zone: record.zone.clone() })
            .collect();
        live.sort();
        live
    }

    /// Returns the records of all other members, including dead ones.
    pub fn member_records(&self) -> Vec<MemberRecord> {
        self.members.values().map(|member| member.record.clone()).collect()
    }

    /// Returns the gossip address of a node.
    pub fn addr(&self, name: &str) -> Option<Name> {
        if self.local.name == name {
            return Some(self.local.addr.clone());
        }
        self.members.get(name).map(|member| member.record.addr.clone())
    }

    /// Returns the names in this node's partial view.
    pub fn view(&self) -> &[Name] {
        &self.view
    }

    pub(super) fn next_seq(&mut self) -> u64 {
        self.last_seq += 1;
        self.last_seq
    }

    /// Returns the names of the members whose status satisfies `condition`, in order of name.
    pub fn names_with_status(&self, condition: impl Fn(MemberStatus) -> bool) -> Vec<Name> {
        let members = self.members.values().filter(|member| condition(member.record.status));
        members.map(|member| member.record.name.clone()).collect()
    }
}
