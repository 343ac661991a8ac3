//! Which of two records of a member counts.
use super::state::{GossipAction, GossipMembership, Member};
use crate::messages::{MemberRecord, MemberStatus};
use quincehatch_core::{Millis, Name};

/// Members remembered at most.
const MAX_MEMBERS: usize = 1_024;

/// Who a record came from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordSource {
    /// The member itself.
    Own,
    /// Another node.
    Relayed,
}

impl GossipMembership {
    /// Takes in a record of some member.
    pub(super) fn learn(&mut self, now: Millis, record: MemberRecord, source: RecordSource) {
        if record.name == self.local.name {
            self.refute(&record);
            return;
        }
        let known = self.members.get(&record.name).map(|member| &member.record);
        let newer =
            known.is_none_or(|known| (record.incarnation, record.status) > (known.incarnation, known.status));
        if !newer {
            if source == RecordSource::Own {
                self.heard_from(now, &record);
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

    /// A record of this node that outranks its own is refuted by a higher incarnation.
    fn refute(&mut self, record: &MemberRecord) {
        // Higher incarnations can exist: an earlier start may have read a wall clock that was stepped back since.
        let higher = record.incarnation > self.local.incarnation;
        let worse = record.incarnation == self.local.incarnation && record.status != MemberStatus::Alive;
        if (higher || worse) && self.local.status == MemberStatus::Alive {
            self.local.incarnation = record.incarnation + 1;
        }
    }

    /// A member sent a record of itself that is not newer than the one known here.
    fn heard_from(&mut self, now: Millis, record: &MemberRecord) {
        let Some(member) = self.members.get_mut(&record.name) else { return };
        // Among nodes a suspicion is cleared only by a higher incarnation; here the member has just spoken.
        if member.record.status == MemberStatus::Suspect && record.incarnation == member.record.incarnation {
            member.record.status = MemberStatus::Alive;
            member.since = now;
        }
        // The member does not know the record that outranks its own: the next message carries it.
        if record.incarnation < member.record.incarnation {
            member.times_sent = 0;
        }
    }

    /// Raises a member's status within its incarnation.
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
    /// Whether a member with this status counts as live. A suspect does, so that ownership does not move on the first
    /// lost message.
    pub fn is_live(self) -> bool {
        self <= MemberStatus::Suspect
    }
}
