//! Quotas of tenants, which nodes settle with the tail.
//!
//! Only the serving tail has a ledger, which is not replicated: a lost token is never granted again, and a new tail
//! begins with empty accounts (docs/design-quota.md).
use crate::keeper::Keeper;
use crate::messages::Reply;
use quincehatch_config::configuration::limits_in_stored;
use quincehatch_core::{ChangeNumber, Name};
use quincehatch_quota::{Claim, Ledger, TenantUsage, Tolerance};

/// The tail's accounts of tenants' operations.
#[derive(Clone, Debug, Default)]
pub(in crate::keeper) struct Quota {
    /// The accounts while this keeper is the tail of the current view.
    pub ledger: Option<Ledger>,
    /// By how much tenants may exceed their limits.
    pub tolerance: Tolerance,
}

impl Keeper {
    /// Settles a node's claims. Tokens are granted to enrolled processes only, as they are spent under a node's lease.
    pub(super) fn settle_quota(&mut self, node: &Name, enrolled: ChangeNumber, claims: &[Claim]) -> Reply {
        if self.store.nodes.get(node) != Some(&enrolled) {
            return Reply::NotEnrolled;
        }
        let now = self.now;
        Reply::QuotaGranted { settlement: self.quota_ledger().settle(now, node, claims) }
    }

    /// Returns the usage of each tenant that has a limit.
    pub(super) fn quota_usage(&mut self) -> Vec<TenantUsage> {
        let now = self.now;
        self.quota_ledger().usage(now)
    }

    /// Records a poll of a node, which shows that the node can reach the tail. The ledger is created with the first
    /// poll and not with the first settlement, as the accounts are refilled from then on.
    pub(super) fn record_quota_contact(&mut self, node: &Name) {
        let now = self.now;
        self.quota_ledger().record_contact(now, node);
    }

    /// Returns the ledger of this tail, with the limits of the configuration in force.
    fn quota_ledger(&mut self) -> &mut Ledger {
        let (now, nodes, tolerance) = (self.now, self.store.nodes.len(), self.quota.tolerance);
        let ledger = self.quota.ledger.get_or_insert_with(|| Ledger::new(now, nodes, tolerance));
        let version = self.store.configuration_version();
        if ledger.version() != version {
            ledger.set_limits(now, version, &limits_in_stored(self.store.configuration_json()));
        }
        ledger
    }
}
