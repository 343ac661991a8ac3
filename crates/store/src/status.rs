//! What a keeper tells operators of itself.
use crate::keeper::Keeper;
use crate::messages::{KeeperStatus, LogSize};

impl Keeper {
    /// Its place, what it holds, and why it does or does not serve.
    pub fn status(&self) -> KeeperStatus {
        let why = if self.leaving.is_some() {
            "leaving"
        } else if !self.view.is_member(&self.name) && self.invitation.is_some() {
            "invited, fetches the store"
        } else if !self.view.is_member(&self.name) {
            "outside the view"
        } else if self.catching_up {
            "catching up"
        } else if !self.is_tail() {
            "in the chain"
        } else if !self.in_sync {
            "waits for its forerunner"
        } else if self.now < self.older_leases_until {
            "waits the old tail out"
        } else if self.now >= self.view_lease_until {
            "no majority renews the view lease"
        } else if !self.can_commit() {
            "the chain is too short to commit"
        } else {
            "serves as the tail"
        };
        KeeperStatus {
            name: self.name.clone(),
            view: self.view.clone(),
            last_change: self.store.last_change,
            committed: self.committed,
            in_force: self.in_force,
            version: self.store.configuration_version(),
            serving: self.is_serving(),
            reason: why.into(),
            leases: self.leases.as_ref().map(|l| l.statuses(self.now)).unwrap_or_default(),
            disk: self.disk_usage,
            log: LogSize { entries: self.log.len() as u64, bytes: self.log.bytes() as u64 },
        }
    }
}
