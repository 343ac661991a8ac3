//! What a keeper does when it learns of a newer view.
use super::{Keeper, Output};
use crate::record::Record;
use crate::timing::{VIEW_LEASE, with_clock_drift};
use crate::view::View;

impl Keeper {
    /// Adopts a decided view if it is newer than the present one.
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
        self.held_at_adoption = self.store.last_change;
        self.acknowledged = 0;
        self.outputs.push(Output::Persist(Record::View { view: self.view.clone() }));
        self.outgoing_snapshot = None;
        self.view_lease.reset();

        let has_same_predecessor =
            old_predecessor.is_some() && old_predecessor.as_ref() == self.predecessor();
        // A tail that stays the tail behind the same predecessor has lost nothing. Any other member waits until its
        // predecessor has passed on what it holds.
        let stays_in_sync = self.in_sync && has_same_predecessor && was_tail && self.is_tail();
        self.in_sync = (self.is_head() && !self.catching_up) || stays_in_sync;
        self.move_node_leases(was_tail, is_next);
        // Another tail may have granted since, unless this keeper was the tail of the view just before.
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

    /// Node leases belong to the tail of one view. `is_next`: the view follows the one that this keeper knew.
    fn move_node_leases(&mut self, was_tail: bool, is_next: bool) {
        if self.is_tail() && !was_tail {
            self.older_tail_until = self.now + with_clock_drift(VIEW_LEASE);
            self.node_leases = None;
            self.previous_node_leases = None;
        } else if !self.is_tail() {
            // Only the keeper that served as the tail of the view just before knows of every lease there is.
            let knows_all = is_next && self.served_version + 1 == self.view.version;
            let may_tell_tail = !self.is_member() || self.view.tail() == self.successor();
            self.previous_node_leases = self.node_leases.take().filter(|_| knows_all && may_tell_tail);
        }
    }
}
