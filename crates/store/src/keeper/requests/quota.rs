//! Settlements of tenants' operations, at the tail.
//!
//! The ledger is the serving tail's alone and is not replicated: a token that is lost is never granted again, and a new
//! tail begins with empty accounts (docs/design-quota.md).
use crate::keeper::Keeper;
use crate::messages::Reply;
use quincehatch_config::configuration::limits_in_stored;
use quincehatch_core::{ChangeNumber, Name};
use quincehatch_quota::{Claim, Ledger, TenantUsage, Tolerance};

/// What the tail counts of tenants' operations.
#[derive(Clone, Debug, Default)]
pub(in crate::keeper) struct Quota {
    /// The accounts, as the tail of the present view.
    pub ledger: Option<Ledger>,
    /// By how much tenants may exceed their limits.
    pub tolerance: Tolerance,
}

impl Keeper {
    /// Settles with a node. Only an enrolled process is granted anything: tokens are spent under a node's lease.
    pub(super) fn settle_quota(&mut self, node: &Name, enrolled: ChangeNumber, claims: &[Claim]) -> Reply {
        if self.store.nodes.get(node) != Some(&enrolled) {
            return Reply::NotEnrolled;
        }
        let now = self.now;
        Reply::QuotaGranted { settlement: self.quota_ledger().settle(now, node, claims) }
    }

    /// What is known of each tenant that has a limit.
    pub(super) fn quota_usage(&mut self) -> Vec<TenantUsage> {
        let now = self.now;
        self.quota_ledger().usage(now)
    }

    /// A node has polled, so it is not cut off. The accounts are opened with the first poll and not with the first
    /// settlement, as they fill from then on.
    pub(super) fn note_quota_contact(&mut self, node: &Name) {
        let now = self.now;
        self.quota_ledger().note_contact(now, node);
    }

    /// The ledger of this tail, with the limits of the configuration in force.
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
