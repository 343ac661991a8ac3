//! The inputs of the protocol: received messages, the passage of time, and the request to leave.
use super::probing::INDIRECT_PROBE_TIMEOUT;
use super::records::RecordSource;
use super::state::{GossipAction, GossipMembership, Relay};
use crate::messages::{GossipEnvelope, GossipMessage, MemberStatus};
use quincehatch_core::{Millis, Name};

/// The time between two probes.
const PROBE_INTERVAL: Millis = 250;
/// The time between two exchanges of views.
const SHUFFLE_INTERVAL: Millis = 1_000;
/// The time between two comparisons of the member records with another member.
const COMPARISON_INTERVAL: Millis = 1_000;
/// The time between two messages with heartbeats.
const HEARTBEAT_INTERVAL: Millis = 200;

impl GossipMembership {
    /// Processes a message from another node. Returns the actions to carry out.
    pub fn handle_message(&mut self, now: Millis, envelope: GossipEnvelope) -> Vec<GossipAction> {
        let from = envelope.from;
        self.merge_record(now, from.clone(), RecordSource::Own);
        for record in envelope.records {
            self.merge_record(now, record, RecordSource::Relayed);
        }
        match envelope.message {
            GossipMessage::Ping { seq } => self.send(&from.addr, GossipMessage::Pong { seq }),
            GossipMessage::Pong { seq } => self.handle_pong(&from, seq),
            GossipMessage::PingFor { seq, target, addr } => {
                let expires_at = now + INDIRECT_PROBE_TIMEOUT;
                self.probe_for(
                    &addr,
                    Relay { target, requester_addr: from.addr, requester_seq: seq, expires_at },
                );
            }
            GossipMessage::Shuffle { peers } => self.answer_shuffle(now, &from.addr, peers),
            GossipMessage::Shuffled { peers } => self.merge_view(now, peers),
            GossipMessage::CompareMembers { digests } => self.answer_comparison(&from.addr, &digests),
            GossipMessage::ComparedMembers { digests } => {
                self.send_differing_ranges(&from.addr, &digests);
            }
            GossipMessage::Heartbeats { heartbeats } => {
                self.actions.push(GossipAction::Heartbeats(heartbeats));
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Does the periodic work that is due at `now`. The caller must call it a few times within the shortest interval.
    pub fn tick(&mut self, now: Millis) -> Vec<GossipAction> {
        self.process_timeouts(now);
        if now >= self.schedule.probe_at {
            self.schedule.probe_at = now + PROBE_INTERVAL;
            self.probe(now);
        }
        if now >= self.schedule.shuffle_at {
            self.schedule.shuffle_at = now + SHUFFLE_INTERVAL;
            self.shuffle();
            self.ping_dead_member();
        }
        if now >= self.schedule.comparison_at {
            self.schedule.comparison_at = now + COMPARISON_INTERVAL;
            self.compare_members();
        }
        if now >= self.schedule.heartbeats_at {
            self.schedule.heartbeats_at = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats();
        }
        std::mem::take(&mut self.actions)
    }

    /// Announces to all members that this node leaves, so that they need not detect it.
    pub fn leave(&mut self) -> Vec<GossipAction> {
        self.local.status = MemberStatus::Left;
        let addresses: Vec<Name> = self.members.values().map(|member| member.record.addr.clone()).collect();
        for addr in addresses {
            self.send_pending_records(&addr);
        }
        std::mem::take(&mut self.actions)
    }
}
