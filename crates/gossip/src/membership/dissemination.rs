//! What messages carry: member records that changed, and servers' heartbeats.
use super::state::{GossipAction, GossipMembership, PendingHeartbeat};
use crate::messages::{GossipEnvelope, GossipMessage, MemberRecord, MemberStatus};
use quincehatch_core::{Name, ServerHeartbeat};

/// Messages that carry a record after it changed.
const RECORD_TRANSMISSIONS: u32 = 6;
/// Records in one message, where there are so many to tell.
const MIN_RECORDS_PER_MESSAGE: usize = 12;
/// Records in one message at most: some four kilobytes.
const MAX_RECORDS_PER_MESSAGE: usize = 64;
/// A message carries this part of the records that are left to tell.
const BACKLOG_DIVISOR: usize = 4;
/// Messages that carry a heartbeat.
const HEARTBEAT_TRANSMISSIONS: u32 = 3;
/// Heartbeats in one message at most.
const MAX_HEARTBEATS_PER_MESSAGE: usize = 32;
/// Members to which heartbeats are passed on each time.
const HEARTBEAT_FANOUT: usize = 2;
/// The number of a ping whose answer nobody waits for.
const NO_PROBE: u64 = 0;

/// How many of the records that are left to tell one message carries. A part of the backlog and not a constant: the time
/// until all are told must not grow with the number of members, as nodes that do not know the same members disagree on
/// who owns a key.
fn records_per_message(backlog: usize) -> usize {
    (backlog / BACKLOG_DIVISOR).clamp(MIN_RECORDS_PER_MESSAGE, MAX_RECORDS_PER_MESSAGE)
}

impl GossipMembership {
    /// Sends a message with the records that were sent least often since they changed.
    pub(super) fn send(&mut self, to: &Name, message: GossipMessage) {
        let mut fresh: Vec<_> =
            self.members.values_mut().filter(|member| member.times_sent < RECORD_TRANSMISSIONS).collect();
        fresh.sort_by_key(|member| member.times_sent);
        fresh.truncate(records_per_message(fresh.len()));
        let mut records = Vec::with_capacity(fresh.len());
        for member in fresh {
            member.times_sent += 1;
            records.push(member.record.clone());
        }
        self.send_with_records(to, message, records);
    }

    /// Sends a ping that carries these records; its answer is not waited for.
    pub(super) fn send_only(&mut self, to: &Name, records: Vec<MemberRecord>) {
        self.send_with_records(to, GossipMessage::Ping { seq: NO_PROBE }, records);
    }

    fn send_with_records(&mut self, to: &Name, message: GossipMessage, records: Vec<MemberRecord>) {
        self.messages_sent += 1;
        let envelope = GossipEnvelope { from: self.local.clone(), records, message };
        self.actions.push(GossipAction::Send(to.clone(), envelope));
    }

    /// Sends a ping that only carries records; its answer is not waited for.
    pub(super) fn send_records(&mut self, to: &Name) {
        self.send(to, GossipMessage::Ping { seq: NO_PROBE });
    }

    /// Tells one dead member, chosen at random, that it is considered dead.
    ///
    /// Two nodes that consider each other dead have no other reason to contact each other once a partition is over. One
    /// that is back refutes the record; one that left is not contacted.
    pub(super) fn ping_dead_member(&mut self) {
        let dead: Vec<MemberRecord> = self
            .members
            .values()
            .filter(|member| member.record.status == MemberStatus::Dead)
            .map(|member| member.record.clone())
            .collect();
        if let Some(record) = self.rng.pick(&dead).cloned() {
            let addr = record.addr.clone();
            self.send_only(&addr, vec![record]);
        }
    }

    /// Passes on a server's heartbeat that this node received, unless a newer one is passed on already.
    pub fn spread_heartbeat(&mut self, heartbeat: ServerHeartbeat) {
        let known = self.heartbeats.get(&heartbeat.server);
        if known.is_none_or(|known| known.heartbeat.version() < heartbeat.version()) {
            let server = heartbeat.server.clone();
            self.heartbeats.insert(server, PendingHeartbeat { heartbeat, times_sent: 0 });
        }
    }

    /// Sends recent heartbeats to a few members of the view.
    pub(super) fn send_heartbeats(&mut self) {
        let mut heartbeats: Vec<ServerHeartbeat> = Vec::new();
        for pending in self.heartbeats.values_mut() {
            if pending.times_sent < HEARTBEAT_TRANSMISSIONS && heartbeats.len() < MAX_HEARTBEATS_PER_MESSAGE {
                pending.times_sent += 1;
                heartbeats.push(pending.heartbeat.clone());
            }
        }
        if heartbeats.is_empty() {
            return;
        }
        let mut view = self.view.clone();
        self.rng.shuffle(&mut view);
        view.truncate(HEARTBEAT_FANOUT);
        for name in view {
            if let Some(addr) = self.addr(&name) {
                self.send(&addr, GossipMessage::Heartbeats { heartbeats: heartbeats.clone() });
            }
        }
    }
}
