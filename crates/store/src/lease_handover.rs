//! Node leases from the tail of one view to the tail of the next (§5.11).
use crate::keeper::Keeper;
use crate::messages::{LeaseStatus, PeerMessage};
use quincehatch_core::{Millis, Name, Version};

impl Keeper {
    /// Tells the tail which leases this keeper granted when it was the tail of the view before. It grants and serves
    /// no more.
    pub(crate) fn hand_over_leases(&mut self) {
        let (Some(granted), Some(tail)) = (&self.previous_leases, self.view.tail().cloned()) else { return };
        let version = self.view.version;
        let (rows, unknown_leases) = (granted.statuses(self.now), granted.unknown_leases_ms(self.now));
        self.send(
            &tail,
            PeerMessage::HandOverLeases { version, leases: rows, unknown_leases_ms: unknown_leases },
        );
    }

    /// What the tail before granted, from itself. That it stands in this view means that it serves no more, and it had
    /// outlasted every tail before it: there is nothing left to wait for.
    pub(crate) fn handle_hand_over_leases(
        &mut self,
        from: &Name,
        version: Version,
        rows: &[LeaseStatus],
        unknown: Millis,
    ) {
        // Once it has served in this view it has granted leases itself, perhaps in an earlier life.
        if version != self.view.version || self.served_version == version || !self.is_tail() {
            return;
        }
        let was_tail = self.previous_view.as_ref().is_some_and(|v| v.tail() == Some(from));
        if !was_tail && self.view.neighbour(&self.name, -1) != Some(from) {
            return;
        }
        let now = self.now;
        self.leases().merge_handover(now, rows, unknown);
        if was_tail {
            self.older_leases_until = now;
        }
    }
}
