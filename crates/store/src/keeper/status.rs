//! The status that a keeper reports to operators.
use super::Keeper;
use crate::messages::{KeeperStatus, LogSize, PollCounts};

impl Keeper {
    /// Returns the keeper's status: its view, its newest entries, its leases, and why it does or does not serve.
    pub fn status(&self) -> KeeperStatus {
        let leases = self.node_leases.as_ref().map(|leases| leases.statuses(self.now));
        KeeperStatus {
            name: self.name.clone(),
            view: self.view.clone(),
            last_change: self.store.last_change,
            committed: self.committed,
            in_force: self.in_force,
            version: self.store.configuration_version(),
            serving: self.is_serving(),
            reason: self.serving_reason().into(),
            leases: leases.unwrap_or_default(),
            disk: self.disk_usage,
            log: LogSize { entries: self.log.len() as u64, bytes: self.log.bytes() as u64 },
            polls: PollCounts { waiting: self.polls.pending_count() as u64, answered: self.polls.answered },
        }
    }

    fn serving_reason(&self) -> &'static str {
        if self.leaving.is_some() {
            "leaving"
        } else if !self.is_member() && self.invitation.is_some() {
            "invited, fetching the store"
        } else if !self.is_member() {
            "outside the view"
        } else if self.catching_up {
            "catching up"
        } else if !self.is_tail() {
            "in the chain"
        } else if !self.in_sync {
            "waiting for its predecessor"
        } else if self.now < self.older_tail_lease_until {
            "waiting for the old tail's lease to end"
        } else if !self.view_lease.is_held(self.now) {
            "no majority renews the view lease"
        } else if !self.can_commit() {
            "the chain is too short to commit"
        } else {
            "serving as the tail"
        }
    }
}
