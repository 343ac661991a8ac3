//! Node leases that pass from the tail of one view to the tail of the next.
use super::Keeper;
use crate::messages::{LeaseStatus, PeerMessage};
use crate::node_leases::NodeLeases;
use quincehatch_core::{Millis, Name, Version};

impl Keeper {
    /// Tells the tail which leases this keeper granted as the tail of the view before. It grants no more and no longer
    /// serves.
    pub(super) fn hand_over_leases(&mut self) {
        let Some(granted) = &self.previous_node_leases else { return };
        let Some(tail) = self.view.tail().cloned() else { return };
        let version = self.view.version;
        let leases = granted.statuses(self.now);
        let unknown_leases_ms = granted.unknown_leases_ms(self.now);
        self.send(&tail, PeerMessage::HandOverLeases { version, leases, unknown_leases_ms });
    }

    /// Takes over the leases that the tail before has granted, from itself. As it has adopted this view it no longer
    /// serves, and it had waited for every tail before it: this keeper need not wait any longer.
    pub(super) fn handle_lease_handover(
        &mut self,
        from: &Name,
        version: Version,
        leases: &[LeaseStatus],
        unknown_leases_ms: Millis,
    ) {
        // A tail that has served in this view has granted leases itself, perhaps in an earlier process.
        if version != self.view.version || self.served_version == version || !self.is_tail() {
            return;
        }
        let is_old_tail = self.previous_view.as_ref().is_some_and(|view| view.tail() == Some(from));
        if !is_old_tail && self.predecessor() != Some(from) {
            return;
        }
        let now = self.now;
        self.node_leases().merge_handover(now, leases, unknown_leases_ms);
        if is_old_tail {
            self.older_tail_until = now;
        }
    }

    /// The leases granted as the tail of the present view.
    pub(super) fn node_leases(&mut self) -> &mut NodeLeases {
        let enrolled = self.store.nodes.keys();
        let dismissed = &self.dismissed_leases;
        self.node_leases.get_or_insert_with(|| NodeLeases::begin(self.now, enrolled, dismissed))
    }
}
