//! What one node may run for all its tenants.
use crate::allowance::Allowance;
use crate::messages::{Claim, Settlement};
use quincehatch_core::{Millis, Name};
use std::collections::{BTreeMap, BTreeSet};

/// Tokens of a tenant that nobody asked for during this time are given back. It is less than a node's lease, so a tail
/// that hears nothing of a node for longer may forget what it held.
pub const MAX_HOLD: Millis = 3_000;

/// How long a settlement tells which tenants are calm.
const CALM_TERM: Millis = 1_500;

/// What becomes of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Admitted,
    /// There is no token, and the tail is to be asked.
    Wait,
    /// The tenant is at its limit.
    Rejected,
}

/// Operations since the process began, by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionTotals {
    /// Run with a token.
    pub admitted: u64,
    /// Run on credit, as no tail answered.
    pub borrowed: u64,
    /// Rejected.
    pub rejected: u64,
}

/// A node's allowances.
#[derive(Clone, Debug, Default)]
pub struct Allowances {
    totals: AdmissionTotals,
    by_tenant: BTreeMap<Name, Allowance>,
    /// Since when no settlement was answered, if the last was not.
    unsettled_since: Option<Millis>,
    /// What the settlement under way claims.
    under_way: Vec<Claim>,
    /// When the next settlement for all tenants is due.
    due_at: Millis,
    /// When the last settlement was answered.
    settled_at: Option<Millis>,
    /// Tenants that may run nothing on credit, by that answer.
    pressed: BTreeSet<Name>,
}

impl Allowances {
    fn of(&mut self, tenant: &Name) -> &mut Allowance {
        if !self.by_tenant.contains_key(tenant) {
            self.by_tenant.insert(tenant.clone(), Allowance::default());
        }
        self.by_tenant.get_mut(tenant).expect("it was inserted")
    }

    /// A new operation of a tenant. One that is to wait counts as waiting until [`Allowances::stop_waiting`].
    pub fn admit(&mut self, now: Millis, tenant: &Name) -> Admission {
        let (since, is_calm) = (self.unsettled_since, self.is_calm(now, tenant));
        let allowance = self.of(tenant);
        allowance.note_asked(now);
        let admission = allowance.admit(now, since, is_calm);
        allowance.waiting += u64::from(admission == Admission::Wait);
        admission
    }

    /// Whether the tenant was not pressed when the last settlement was answered, lately or before no tail answered.
    fn is_calm(&self, now: Millis, tenant: &Name) -> bool {
        let is_known =
            self.settled_at.is_some_and(|at| now < at + CALM_TERM || self.unsettled_since.is_some());
        is_known && !self.pressed.contains(tenant)
    }

    /// The same for one that waits, after a settlement.
    pub fn admit_waiting(&mut self, now: Millis, tenant: &Name) -> Admission {
        let (since, is_calm) = (self.unsettled_since, self.is_calm(now, tenant));
        self.of(tenant).admit(now, since, is_calm)
    }

    /// One that has waited long, as the tail is slow: whether it may run on credit.
    pub fn borrow(&mut self, now: Millis, tenant: &Name) -> bool {
        let since = self.unsettled_since.unwrap_or(now);
        let was_calm = self.is_calm(now, tenant);
        self.of(tenant).borrow(now, since, was_calm)
    }

    /// One that has waited for too long is rejected.
    pub fn reject(&mut self, tenant: &Name) {
        self.of(tenant).reject();
    }

    /// An operation waits no more.
    pub fn stop_waiting(&mut self, tenant: &Name) {
        let allowance = self.of(tenant);
        allowance.waiting = allowance.waiting.saturating_sub(1);
    }

    /// Takes a token for something that need not run, if one is there.
    pub fn take_spare(&mut self, now: Millis, tenant: &Name) -> bool {
        self.by_tenant.get_mut(tenant).is_some_and(|allowance| allowance.take_spare(now))
    }

    /// What became of all operations.
    pub fn totals(&self) -> AdmissionTotals {
        self.totals
    }

    /// The claims of a settlement, which is to end with [`Allowances::settled`] or [`Allowances::not_settled`]; empty if
    /// there is nothing to settle. `interval`: time between settlements; one in between is for tenants whose operations
    /// wait, and leaves the others to the next.
    pub fn begin_settlement(&mut self, now: Millis, interval: Millis) -> Vec<Claim> {
        let is_due = now >= self.due_at;
        if is_due {
            self.due_at = now + interval;
            self.by_tenant.retain(|_, allowance| !allowance.is_unused(now));
        }
        let mut claims = Vec::new();
        for (tenant, allowance) in &mut self.by_tenant {
            if is_due || allowance.waiting > 0 {
                let is_calm = !self.pressed.contains(tenant);
                claims.extend(allowance.claim(now, tenant, interval, is_calm));
            }
        }
        for claim in &claims {
            self.totals.admitted += u64::from(claim.used - claim.overdrawn);
            self.totals.borrowed += u64::from(claim.overdrawn);
            self.totals.rejected += u64::from(claim.rejected);
        }
        self.under_way = claims.clone();
        claims
    }

    /// The tail has answered.
    pub fn settled(&mut self, now: Millis, settlement: &Settlement) {
        self.unsettled_since = None;
        self.under_way.clear();
        self.settled_at = Some(now);
        self.pressed = settlement.pressed.iter().cloned().collect();
        for grant in &settlement.grants {
            self.of(&grant.tenant).settled(now, grant);
        }
    }

    /// No tail has answered.
    pub fn not_settled(&mut self, now: Millis) {
        self.unsettled_since = self.unsettled_since.or(Some(now));
        for claim in std::mem::take(&mut self.under_way) {
            self.of(&claim.tenant).not_settled(&claim);
        }
    }

    /// Whether an operation waits for a settlement.
    pub fn has_waiting(&self) -> bool {
        self.by_tenant.values().any(|allowance| allowance.waiting > 0)
    }
}
