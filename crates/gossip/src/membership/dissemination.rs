//! Dissemination of changed member records and of servers' heartbeats.
use super::state::{GossipAction, GossipMembership, PendingHeartbeat};
use crate::messages::{GossipEnvelope, GossipMessage, MemberRecord, MemberStatus};
use quincehatch_core::{Name, ServerHeartbeat};

/// The number of messages that carry a record after it changed.
const RECORD_TRANSMISSIONS: u32 = 6;
/// The minimum number of records in one message, unless fewer are pending.
const MIN_RECORDS_PER_MESSAGE: usize = 12;
/// The maximum number of records in one message, which is about four kilobytes.
const MAX_RECORDS_PER_MESSAGE: usize = 64;
/// A message carries the number of pending records divided by this.
const BACKLOG_DIVISOR: usize = 4;
/// The number of messages that carry a heartbeat.
const HEARTBEAT_TRANSMISSIONS: u32 = 3;
/// The maximum number of heartbeats in one message.
const MAX_HEARTBEATS_PER_MESSAGE: usize = 32;
/// The number of members to which each round of heartbeats is forwarded.
const HEARTBEAT_FANOUT: usize = 2;
/// The number of a ping that is not a probe: its answer is ignored.
const NO_PROBE: u64 = 0;

/// Returns the number of pending records that one message carries. It is proportional to the backlog, so that the time
/// until all records are sent does not grow with the number of members. Nodes that know different members disagree on
/// the owners of keys.
fn records_per_message(backlog: usize) -> usize {
    (backlog / BACKLOG_DIVISOR).clamp(MIN_RECORDS_PER_MESSAGE, MAX_RECORDS_PER_MESSAGE)
}

impl GossipMembership {
    /// Sends a message with the records that were sent least often since they changed.
    pub(super) fn send(&mut self, to: &Name, message: GossipMessage) {
        let mut pending_members: Vec<_> =
            self.members.values_mut().filter(|member| member.times_sent < RECORD_TRANSMISSIONS).collect();
        pending_members.sort_by_key(|member| member.times_sent);
        pending_members.truncate(records_per_message(pending_members.len()));
        let mut records = Vec::with_capacity(pending_members.len());
        for member in pending_members {
            member.times_sent += 1;
            records.push(member.record.clone());
        }
        self.send_with_records(to, message, records);
    }

    /// Sends a ping that carries only the given records; its answer is ignored.
    pub(super) fn send_selected_records(&mut self, to: &Name, records: Vec<MemberRecord>) {
        self.send_with_records(to, GossipMessage::Ping { seq: NO_PROBE }, records);
    }

    fn send_with_records(&mut self, to: &Name, message: GossipMessage, records: Vec<MemberRecord>) {
        self.messages_sent += 1;
        let envelope = GossipEnvelope { from: self.local.clone(), records, message };
        self.actions.push(GossipAction::Send(to.clone(), envelope));
    }

    /// Sends a ping that carries pending records; its answer is ignored.
    pub(super) fn send_pending_records(&mut self, to: &Name) {
        self.send(to, GossipMessage::Ping { seq: NO_PROBE });
    }

    /// Sends one dead member, chosen at random, the record that says it is dead.
    ///
    /// Two nodes that consider each other dead would not contact each other otherwise after a partition has healed. A
    /// member that is reachable again refutes the record. Members that left are not contacted.
    pub(super) fn ping_dead_member(&mut self) {
        let dead: Vec<MemberRecord> = self
            .members
            .values()
            .filter(|member| member.record.status == MemberStatus::Dead)
            .map(|member| member.record.clone())
            .collect();
        if let Some(record) = self.rng.pick(&dead).cloned() {
            let addr = record.addr.clone();
            self.send_selected_records(&addr, vec![record]);
        }
    }

    /// Disseminates a server's heartbeat that this node received, unless it already disseminates that one or a newer
    /// one.
    pub fn disseminate_heartbeat(&mut self, heartbeat: ServerHeartbeat) {
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
