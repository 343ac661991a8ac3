//! Merging of member records: which of two records of a member is in force.
use super::state::{GossipAction, GossipMembership, Member};
use crate::messages::{MemberRecord, MemberStatus};
use quincehatch_core::{Millis, Name};

/// The maximum number of members whose records are retained.
const MAX_MEMBERS: usize = 1_024;

/// The source of a record.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordSource {
    /// The record comes from the member itself.
    Own,
    /// The record comes from another node.
    Relayed,
}

impl GossipMembership {
    /// Merges a received member record into the known records.
    pub(super) fn merge_record(&mut self, now: Millis, record: MemberRecord, source: RecordSource) {
        if record.name == self.local.name {
            self.refute(&record);
            return;
        }
        let known = self.members.get(&record.name).map(|member| &member.record);
        let newer =
            known.is_none_or(|known| (record.incarnation, record.status) > (known.incarnation, known.status));
        if !newer {
            if source == RecordSource::Own {
                self.handle_direct_contact(now, &record);
            }
            return;
        }
        if known.is_none() && self.members.len() >= MAX_MEMBERS {
            return;
        }
        let status_changed = known.is_none_or(|known| known.status != record.status);
        let (name, status) = (record.name.clone(), record.status);
        self.members.insert(name.clone(), Member { record, since: now, times_sent: 0 });
        if status_changed {
            self.actions.push(GossipAction::StatusChanged(name, status));
        }
    }

    /// Refutes a record of this node that supersedes its own record, by a higher incarnation.
    fn refute(&mut self, record: &MemberRecord) {
        // A higher incarnation is possible: an earlier start may have read a wall clock that was stepped back since
        // then.
        let higher = record.incarnation > self.local.incarnation;
        let worse = record.incarnation == self.local.incarnation && record.status != MemberStatus::Alive;
        if (higher || worse) && self.local.status == MemberStatus::Alive {
            self.local.incarnation = record.incarnation + 1;
        }
    }

    /// Processes a record that a member sent of itself and that is not newer than the known record.
    fn handle_direct_contact(&mut self, now: Millis, record: &MemberRecord) {
        let Some(member) = self.members.get_mut(&record.name) else { return };
        // Relayed records clear a suspicion only by a higher incarnation; here the member itself has just sent a
        // message.
        if member.record.status == MemberStatus::Suspect && record.incarnation == member.record.incarnation {
            member.record.status = MemberStatus::Alive;
            member.since = now;
        }
        // The member does not know the record that supersedes its own, so the next message must carry it.
        if record.incarnation < member.record.incarnation {
            member.times_sent = 0;
        }
    }

    /// Changes a member's status to a later one within its incarnation.
    pub(super) fn worsen_status(&mut self, now: Millis, name: &Name, status: MemberStatus) {
        let Some(member) = self.members.get_mut(name) else { return };
        if member.record.status >= status {
            return;
        }
        member.record.status = status;
        member.since = now;
        member.times_sent = 0;
        self.actions.push(GossipAction::StatusChanged(name.clone(), status));
    }
}

impl MemberStatus {
    /// Whether a member with this status counts as live. A suspect counts as live, so that a single lost message does
    /// not change the ownership of keys.
    pub fn is_live(self) -> bool {
        self <= MemberStatus::Suspect
    }
}
