//! The operations that one node may run for one tenant.
use crate::allowances::{Admission, IDLE_TOKEN_RETENTION};
use crate::average_rate::{AdmittedRate, ArrivalRate};
use crate::messages::{Claim, Grant};
use quincehatch_core::{Millis, Name};

/// While no tail answers, a node may run on credit the operations of this time in advance, in milliseconds.
pub(crate) const CREDIT_ADVANCE_MS: f64 = 250.0;
/// The minimum delay before a node requests tokens again for a tenant at its limit, as many nodes wait for the same
/// tokens.
const MIN_EXHAUSTED_DELAY: Millis = 150;
/// A tenant without operations at this node for this long may be removed.
const IDLE_RETENTION: Millis = 60_000;
/// A node holds tokens for the expected operations of this many settlement intervals.
const INTERVALS_COVERED: f64 = 2.0;
/// The maximum number of tokens that a node holds for one tenant.
const MAX_RESERVE: f64 = 10_000.0;

/// The state of one tenant at one node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allowance {
    tokens: u64,
    /// The number of operations that wait for a token.
    pub waiting: u64,
    /// The last settlement granted fewer tokens than were needed, and none are available before this time; 0 if enough
    /// were granted.
    exhausted_until: Millis,
    /// Operations since the last claim, which the next claim reports.
    used: u64,
    overdrawn: u64,
    rejected: u64,
    /// The rate of the operations that were admitted.
    admitted_rate: AdmittedRate,
    /// The rate of the operations that arrived.
    arrival_rate: ArrivalRate,
    last_request_at: Millis,
    /// The factor, in percent, by which the admitted rate may be multiplied while operations run on credit. It comes
    /// from the last settlement.
    headroom_percent: u32,
    /// Operations run without a token since the last settlement that was answered.
    borrowed: u64,
    /// A random fraction added to the operations allowed on credit, drawn again for each period without an answer.
    /// Nodes whose share is less than one operation each then still run the sum of their shares together.
    rounding: f64,
}

impl Allowance {
    /// Decides on an operation. The first operation that finds no token need not wait if the tenant may use credit: it
    /// runs on credit and is settled afterwards.
    pub fn admit(&mut self, now: Millis, unsettled_since: Option<Millis>, may_use_credit: bool) -> Admission {
        self.last_request_at = now;
        if self.tokens > 0 {
            self.tokens -= 1;
            return self.admitted(now);
        }
        if let Some(since) = unsettled_since {
            return if self.try_run_on_credit(now, since, may_use_credit) {
                Admission::Admitted
            } else {
                self.reject()
            };
        }
        if now < self.exhausted_until {
            return self.reject();
        }
        if self.borrowed == 0 && may_use_credit {
            self.admitted_rate.record(now, 1.0);
            self.run_on_credit();
            return Admission::Admitted;
        }
        Admission::Wait
    }

    /// Records the arrival of a new operation. It is not called again for an operation that has waited.
    pub fn record_arrival(&mut self, now: Millis) {
        self.arrival_rate.record(now, 1.0);
    }

    /// Runs an operation on credit if the node's share allows it, as no tail has answered since `since`. Returns
    /// whether it runs. The node's share of the tenant's rate is the share of operations that it ran before.
    /// `had_credit` says whether the tenant was allowed to use credit before; its first operation then runs in any
    /// case.
    pub fn try_run_on_credit(&mut self, now: Millis, since: Millis, had_credit: bool) -> bool {
        if self.borrowed == 0 {
            self.rounding = fastrand::f64();
        }
        let share_per_ms = self.admitted_rate.at(since) * f64::from(self.headroom_percent) / 100.0;
        let time = now.saturating_sub(since) as f64 + CREDIT_ADVANCE_MS;
        let is_within_share = (self.borrowed == 0 && had_credit)
            || (self.borrowed + 1) as f64 <= share_per_ms * time + self.rounding;
        if is_within_share {
            self.run_on_credit();
        }
        is_within_share
    }

    fn run_on_credit(&mut self) {
        self.borrowed += 1;
        self.overdrawn += 1;
        self.used += 1;
    }

    pub fn reject(&mut self) -> Admission {
        self.rejected += 1;
        Admission::Rejected
    }

    fn admitted(&mut self, now: Millis) -> Admission {
        self.used += 1;
        self.admitted_rate.record(now, 1.0);
        Admission::Admitted
    }

    /// Spends a token on an optional operation. Returns false if no token is held.
    pub fn try_take_token(&mut self, now: Millis) -> bool {
        let has_token = self.tokens > 0;
        if has_token {
            self.tokens -= 1;
            self.admitted(now);
        }
        has_token
    }

    /// Returns the claim of the next settlement, or `None` if there is nothing to claim or report. `interval` is the
    /// time between settlements.
    pub fn claim(
        &mut self,
        now: Millis,
        tenant: &Name,
        interval: Millis,
        may_use_credit: bool,
    ) -> Option<Claim> {
        let is_idle = now.saturating_sub(self.last_request_at) > IDLE_TOKEN_RETENTION;
        let target = if is_idle { 0 } else { self.target(now, interval, may_use_credit) };
        let returned = self.tokens.saturating_sub(target);
        // Tokens above the target are returned only once the excess is larger than the target, so that the node does
        // not return tokens and request them again in turn.
        let returned = if is_idle || returned > target { returned } else { 0 };
        let needed = self.waiting + if self.exhausted_until > 0 { self.rejected } else { 0 };
        let reserve = target.saturating_sub(self.tokens);
        let needs_tokens = needed > 0 || (reserve > 0 && reserve * 2 >= target);
        if !(needs_tokens || returned > 0 || self.used > 0 || self.rejected > 0) {
            return None;
        }
        self.tokens -= returned;
        Some(Claim {
            tenant: tenant.clone(),
            held: self.tokens as u32,
            returned: returned as u32,
            overdrawn: std::mem::take(&mut self.overdrawn) as u32,
            needed: needed as u32,
            reserve: reserve as u32,
            used: std::mem::take(&mut self.used) as u32,
            rejected: std::mem::take(&mut self.rejected) as u32,
        })
    }

    /// Returns the number of tokens to hold: one for each operation expected until the settlement after the next, and
    /// one more if the tenant may not use credit.
    fn target(&self, now: Millis, interval: Millis, may_use_credit: bool) -> u64 {
        let expected = self.arrival_rate.at(now) * interval as f64 * INTERVALS_COVERED;
        expected.min(MAX_RESERVE) as u64 + u64::from(!may_use_credit)
    }

    /// Applies the tail's answer to the claim.
    pub fn settlement_completed(&mut self, now: Millis, grant: &Grant) {
        self.tokens += u64::from(grant.tokens);
        self.exhausted_until = match grant.exhausted_ms {
            0 => 0,
            ms => now + Millis::from(ms).max(MIN_EXHAUSTED_DELAY),
        };
        self.headroom_percent = grant.headroom_percent;
        self.borrowed = 0;
    }

    /// Restores the state after a claim that was not answered. Tokens that the claim returned are lost; operations that
    /// it reported are reported again. The tail may have received the claim and count them twice, which can only lower
    /// the balance of the tenant's account.
    pub fn settlement_failed(&mut self, claim: &Claim) {
        self.overdrawn += u64::from(claim.overdrawn);
        self.used += u64::from(claim.used);
        self.rejected += u64::from(claim.rejected);
        self.exhausted_until = 0;
    }

    /// Whether this state may be removed. Its rates remain useful for long, as most tenants use a node seldom.
    pub fn is_unused(&self, now: Millis) -> bool {
        let retention_passed = now.saturating_sub(self.last_request_at) > IDLE_RETENTION;
        retention_passed && self.tokens == 0 && self.waiting == 0 && self.overdrawn == 0 && self.used == 0
    }
}
