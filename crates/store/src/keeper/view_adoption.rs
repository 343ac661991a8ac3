//! Adoption of a newer decided view.
use super::{Keeper, Output};
use crate::record::Record;
use crate::timing::{VIEW_LEASE, with_clock_drift};
use crate::view::View;

impl Keeper {
    /// Adopts a decided view if it is newer than the current one.
    pub(super) fn adopt_view(&mut self, view: View) {
        if view.version <= self.view.version {
            return;
        }
        let was_tail = self.is_tail();
        let old_predecessor = self.predecessor().cloned();
        let is_next = view.version == self.view.version + 1;
        let old_view = std::mem::replace(&mut self.view, view);
        self.previous_view = Some(old_view).filter(|_| is_next);
        self.view_adopted_at = self.now;
        self.last_change_at_adoption = self.store.last_change;
        self.acknowledged = 0;
        self.outputs.push(Output::Persist(Record::View { view: self.view.clone() }));
        self.outgoing_snapshot = None;
        self.view_lease.reset();

        let has_same_predecessor =
            old_predecessor.is_some() && old_predecessor.as_ref() == self.predecessor();
        // A tail that remains the tail behind the same predecessor lacks no entries. Any other member waits until its
        // predecessor has sent it all entries.
        let stays_in_sync = self.in_sync && has_same_predecessor && was_tail && self.is_tail();
        self.in_sync = (self.is_head() && !self.catching_up) || stays_in_sync;
        self.reset_node_leases(was_tail, is_next);
        // Another tail may have granted tokens since, unless this keeper was the tail of the directly preceding view.
        if !(was_tail && is_next && self.is_tail()) {
            self.quota.ledger = None;
        }
        if !self.is_member() {
            self.hand_over_leases();
        }
        if let Some(predecessor) = self.predecessor().cloned() {
            self.request_missing_entries(&predecessor);
        }
    }

    /// Discards the node leases of the old view, or retains them for handover: leases belong to the tail of one view.
    /// `is_next` says whether the new view directly follows the old one.
    fn reset_node_leases(&mut self, was_tail: bool, is_next: bool) {
        if self.is_tail() && !was_tail {
            self.older_tail_lease_until = self.now + with_clock_drift(VIEW_LEASE);
            self.node_leases = None;
            self.previous_node_leases = None;
        } else if !self.is_tail() {
            // Only the keeper that served as the tail of the directly preceding view knows all leases.
            let knows_all_leases = is_next && self.served_version + 1 == self.view.version;
            let may_hand_over = !self.is_member() || self.view.tail() == self.successor();
            self.previous_node_leases = self.node_leases.take().filter(|_| knows_all_leases && may_hand_over);
        }
    }
}
