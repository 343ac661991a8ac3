//! Node leases from the tail of one view to the tail of the next (§5.11).
use crate::keeper::Keeper;
use crate::messages::{LeaseRow, PeerMessage};
use quincehatch_core::{Ms, Name, Version};

impl Keeper {
    /// Tells the tail which leases this keeper granted when it was the tail of the view before. It grants and serves
    /// no more.
    pub(crate) fn hand_over_leases(&mut self) {
        let (Some(granted), Some(tail)) = (&self.granted, self.view.tail().cloned()) else { return };
        let version = self.view.version;
        let (rows, unknown_leases) = (granted.rows(self.now), granted.unknown_leases(self.now));
        self.send(&tail, PeerMessage::Leases { version, rows, unknown_leases });
    }

    /// What the tail before granted, from itself. That it stands in this view means that it serves no more, and it had
    /// outlasted every tail before it: there is nothing left to wait for.
    pub(crate) fn take_over_leases(&mut self, from: &Name, version: Version, rows: &[LeaseRow], unknown: Ms) {
        // Once it has served in this view it has granted leases itself, perhaps in an earlier life.
        if version != self.view.version || self.served == version || !self.is_tail() {
            return;
        }
        let was_tail = self.previous_view.as_ref().is_some_and(|v| v.tail() == Some(from));
        if !was_tail && self.view.neighbour(&self.me, -1) != Some(from) {
            return;
        }
        let now = self.now;
        self.leases().handed(now, rows, unknown);
        if was_tail {
            self.wait_until = now;
        }
    }
}
