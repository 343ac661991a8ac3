//! The operations that one node may run for all its tenants.
use crate::allowance::Allowance;
use crate::messages::{Claim, Settlement};
use quincehatch_core::{Millis, Name};
use std::collections::{BTreeMap, BTreeSet};

/// A node returns the tokens of a tenant without operations for this long. This is shorter than a node's lease, so the
/// tail may discard its record of a node's tokens once the lease has expired.
pub const IDLE_TOKEN_RETENTION: Millis = 3_000;

/// For how long the answer to a settlement determines which tenants may use credit.
const CREDIT_VALIDITY: Millis = 1_500;

/// The decision on an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The operation may run.
    Admitted,
    /// The node holds no token, and the operation waits for a settlement with the tail.
    Wait,
    /// The operation is rejected, as the tenant is at its limit.
    Rejected,
}

/// Operations since the start of the process, by decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionTotals {
    /// Operations run with a token.
    pub admitted: u64,
    /// Operations run on credit.
    pub borrowed: u64,
    /// Operations rejected.
    pub rejected: u64,
}

/// The allowances of all tenants at one node.
#[derive(Clone, Debug, Default)]
pub struct Allowances {
    totals: AdmissionTotals,
    by_tenant: BTreeMap<Name, Allowance>,
    /// The time since which no settlement was answered; `None` if the last one was answered.
    unsettled_since: Option<Millis>,
    /// The claims of the settlement in flight.
    pending_claims: Vec<Claim>,
    /// The time at which the next settlement for all tenants is due.
    due_at: Millis,
    /// The time at which the last settlement was answered.
    settled_at: Option<Millis>,
    /// Tenants that may not run operations on credit according to that answer.
    without_credit: BTreeSet<Name>,
}

impl Allowances {
    fn allowance_mut(&mut self, tenant: &Name) -> &mut Allowance {
        if !self.by_tenant.contains_key(tenant) {
            self.by_tenant.insert(tenant.clone(), Allowance::default());
        }
        self.by_tenant.get_mut(tenant).expect("it was inserted")
    }

    /// Decides on a new operation of a tenant. If it must wait, it counts as waiting until [`Allowances::stop_waiting`]
    /// is called.
    pub fn admit(&mut self, now: Millis, tenant: &Name) -> Admission {
        let (since, may_use_credit) = (self.unsettled_since, self.may_use_credit(now, tenant));
        let allowance = self.allowance_mut(tenant);
        allowance.record_arrival(now);
        let admission = allowance.admit(now, since, may_use_credit);
        allowance.waiting += u64::from(admission == Admission::Wait);
        admission
    }

    /// Whether the tenant may run operations on credit according to the last answered settlement. That answer is valid
    /// while it is recent, and also while no tail answers.
    fn may_use_credit(&self, now: Millis, tenant: &Name) -> bool {
        let is_known =
            self.settled_at.is_some_and(|at| now < at + CREDIT_VALIDITY || self.unsettled_since.is_some());
        is_known && !self.without_credit.contains(tenant)
    }

    /// Decides again, after a settlement, on an operation that waits.
    pub fn admit_waiting(&mut self, now: Millis, tenant: &Name) -> Admission {
        let (since, may_use_credit) = (self.unsettled_since, self.may_use_credit(now, tenant));
        self.allowance_mut(tenant).admit(now, since, may_use_credit)
    }

    /// Whether an operation that has waited long, because the tail is slow, may run on credit.
    pub fn try_run_on_credit(&mut self, now: Millis, tenant: &Name) -> bool {
        let since = self.unsettled_since.unwrap_or(now);
        let had_credit = self.may_use_credit(now, tenant);
        self.allowance_mut(tenant).try_run_on_credit(now, since, had_credit)
    }

    /// Rejects an operation that has waited too long.
    pub fn reject(&mut self, tenant: &Name) {
        self.allowance_mut(tenant).reject();
    }

    /// Records that an operation no longer waits.
    pub fn stop_waiting(&mut self, tenant: &Name) {
        let allowance = self.allowance_mut(tenant);
        allowance.waiting = allowance.waiting.saturating_sub(1);
    }

    /// Spends a token on an optional operation. Returns false if none is held.
    pub fn try_take_token(&mut self, now: Millis, tenant: &Name) -> bool {
        self.by_tenant.get_mut(tenant).is_some_and(|allowance| allowance.try_take_token(now))
    }

    /// Returns the totals of all operations that were settled so far.
    pub fn totals(&self) -> AdmissionTotals {
        self.totals
    }

    /// Starts a settlement and returns its claims, which are empty if there is nothing to settle. The caller must
    /// finish the settlement with [`Allowances::settlement_completed`] or [`Allowances::settlement_failed`]. `interval`
    /// is the time between regular settlements; an earlier one contains only tenants whose operations wait.
    pub fn begin_settlement(&mut self, now: Millis, interval: Millis) -> Vec<Claim> {
        let is_due = now >= self.due_at;
        if is_due {
            self.due_at = now + interval;
            self.by_tenant.retain(|_, allowance| !allowance.is_unused(now));
        }
        let mut claims = Vec::new();
        for (tenant, allowance) in &mut self.by_tenant {
            if is_due || allowance.waiting > 0 {
                let may_use_credit = !self.without_credit.contains(tenant);
                claims.extend(allowance.claim(now, tenant, interval, may_use_credit));
            }
        }
        for claim in &claims {
            self.totals.admitted += u64::from(claim.used - claim.overdrawn);
            self.totals.borrowed += u64::from(claim.overdrawn);
            self.totals.rejected += u64::from(claim.rejected);
        }
        self.pending_claims = claims.clone();
        claims
    }

    /// Finishes a settlement with the tail's answer.
    pub fn settlement_completed(&mut self, now: Millis, settlement: &Settlement) {
        self.unsettled_since = None;
        self.pending_claims.clear();
        self.settled_at = Some(now);
        self.without_credit = settlement.pressed.iter().cloned().collect();
        for grant in &settlement.grants {
            self.allowance_mut(&grant.tenant).settlement_completed(now, grant);
        }
    }

    /// Finishes a settlement that no tail has answered.
    pub fn settlement_failed(&mut self, now: Millis) {
        self.unsettled_since = self.unsettled_since.or(Some(now));
        for claim in std::mem::take(&mut self.pending_claims) {
            self.allowance_mut(&claim.tenant).settlement_failed(&claim);
        }
    }

    /// Whether an operation waits for a settlement.
    pub fn has_waiting_operations(&self) -> bool {
        self.by_tenant.values().any(|allowance| allowance.waiting > 0)
    }
}
