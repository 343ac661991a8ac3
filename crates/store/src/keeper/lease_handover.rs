//! Handover of node leases from the tail of one view to the tail of the next.
use super::Keeper;
use crate::messages::{LeaseStatus, PeerMessage};
use crate::node_leases::NodeLeases;
use quincehatch_core::{Millis, Name, Version};

impl Keeper {
    /// Sends the tail the leases that this keeper granted as the tail of the previous view. This keeper no longer
    /// serves and grants no further leases.
    pub(super) fn hand_over_leases(&mut self) {
        let Some(granted) = &self.previous_node_leases else { return };
        let Some(tail) = self.view.tail().cloned() else { return };
        let version = self.view.version;
        let leases = granted.statuses(self.now);
        let unknown_leases_ms = granted.unknown_leases_ms(self.now);
        self.send(&tail, PeerMessage::HandOverLeases { version, leases, unknown_leases_ms });
    }

    /// Takes over the leases that the previous tail has granted. If the message comes from the previous tail itself,
    /// that keeper has adopted this view and no longer serves, and before it served it had waited for the leases of all
    /// tails before it: this keeper need not wait any longer.
    pub(super) fn handle_lease_handover(
        &mut self,
        from: &Name,
        version: Version,
        leases: &[LeaseStatus],
        unknown_leases_ms: Millis,
    ) {
        // A tail that has served in this view has granted leases itself, possibly before its process restarted.
        if version != self.view.version || self.served_version == version || !self.is_tail() {
            return;
        }
        let is_previous_tail = self.previous_view.as_ref().is_some_and(|view| view.tail() == Some(from));
        if !is_previous_tail && self.predecessor() != Some(from) {
            return;
        }
        let now = self.now;
        self.node_leases().merge_handover(now, leases, unknown_leases_ms);
        if is_previous_tail {
            self.older_tail_lease_until = now;
        }
    }

    /// Returns the leases that this keeper has granted as the tail of the current view.
    pub(super) fn node_leases(&mut self) -> &mut NodeLeases {
        let enrolled = self.store.nodes.keys();
        let dismissed = &self.dismissed_leases;
        self.node_leases.get_or_insert_with(|| NodeLeases::for_new_tail(self.now, enrolled, dismissed))
    }
}
