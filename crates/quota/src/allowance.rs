//! What one node may run for one tenant.
use crate::allowances::{Admission, MAX_HOLD};
use crate::messages::{Claim, Grant};
use crate::pace::{AdmittedPace, AskedPace};
use quincehatch_core::{Millis, Name};

/// While no tail answers, a node may run at once what it would run at its pace in this time, in milliseconds.
pub(crate) const BORROWED_AHEAD: f64 = 250.0;
/// A node asks no sooner again for a tenant that is at its limit: many nodes wait for the same tokens.
const MIN_EXHAUSTED: Millis = 150;
/// A tenant that did not come for so long is forgotten.
const FORGET_AFTER: Millis = 60_000;
/// A node holds tokens for the operations of this many settlements.
const SETTLEMENTS_AHEAD: f64 = 2.0;
/// Tokens held for one tenant at most.
const MAX_RESERVE: f64 = 10_000.0;

/// One tenant at one node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allowance {
    tokens: u64,
    /// Operations that wait for a token.
    pub waiting: u64,
    /// The last settlement brought less than was needed, and there is nothing before this time.
    exhausted_until: Millis,
    /// What the next settlement reports.
    used: u64,
    overdrawn: u64,
    rejected: u64,
    /// Operations a millisecond that were admitted lately, and that came lately.
    admitted_pace: AdmittedPace,
    asked_pace: AskedPace,
    last_asked: Millis,
    /// By which its pace may be multiplied while it borrows, in percent, as the last settlement said.
    headroom_percent: u32,
    /// Run without a token since the last settlement that was answered.
    borrowed: u64,
    /// The part of an operation that it may borrow beyond whole ones, drawn anew for each time without an answer: nodes
    /// that each run less than one operation in that time run their sum all the same.
    rounding: f64,
}

impl Allowance {
    /// An operation comes. The first one of a calm tenant that finds no token need not wait: it runs on credit, and is
    /// settled afterwards.
    pub fn admit(&mut self, now: Millis, unsettled_since: Option<Millis>, is_calm: bool) -> Admission {
        self.last_asked = now;
        if self.tokens > 0 {
            self.tokens -= 1;
            return self.admitted(now);
        }
        if let Some(since) = unsettled_since {
            return if self.borrow(now, since, is_calm) { Admission::Admitted } else { self.reject() };
        }
        if now < self.exhausted_until {
            return self.reject();
        }
        if self.borrowed == 0 && is_calm {
            self.admitted_pace.note(now, 1.0);
            self.run_on_credit();
            return Admission::Admitted;
        }
        Admission::Wait
    }

    /// The operation is new, and not one that waited.
    pub fn note_asked(&mut self, now: Millis) {
        self.asked_pace.note(now, 1.0);
    }

    /// No tail has answered since `since`: the node goes on at its share of the tenant's rate, which is what it ran of
    /// all that ran before.
    pub fn borrow(&mut self, now: Millis, since: Millis, was_calm: bool) -> bool {
        if self.borrowed == 0 {
            self.rounding = fastrand::f64();
        }
        let share_per_ms = self.admitted_pace.at(since) * f64::from(self.headroom_percent) / 100.0;
        let time = now.saturating_sub(since) as f64 + BORROWED_AHEAD;
        let is_within_share = (self.borrowed == 0 && was_calm)
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
        self.admitted_pace.note(now, 1.0);
        Admission::Admitted
    }

    /// A token that is there is spent; for what need not run.
    pub fn take_spare(&mut self, now: Millis) -> bool {
        let has_token = self.tokens > 0;
        if has_token {
            self.tokens -= 1;
            self.admitted(now);
        }
        has_token
    }

    /// The claim of the next settlement; `None` if there is nothing to say. `interval`: time between settlements.
    pub fn claim(&mut self, now: Millis, tenant: &Name, interval: Millis, is_calm: bool) -> Option<Claim> {
        let is_idle = now.saturating_sub(self.last_asked) > MAX_HOLD;
        let target = if is_idle { 0 } else { self.target(now, interval, is_calm) };
        let returned = self.tokens.saturating_sub(target);
        // Tokens above the target are kept until there are twice as many, so that none goes to and fro.
        let returned = if is_idle || returned > target { returned } else { 0 };
        let needed = self.waiting + if self.exhausted_until > 0 { self.rejected } else { 0 };
        let reserve = target.saturating_sub(self.tokens);
        let wants = needed > 0 || (reserve > 0 && reserve * 2 >= target);
        if !(wants || returned > 0 || self.used > 0 || self.rejected > 0) {
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

    /// Tokens to hold: for the operations that come until the settlement after the next, and one more unless that would
    /// run on credit.
    fn target(&self, now: Millis, interval: Millis, is_calm: bool) -> u64 {
        let expected = self.asked_pace.at(now) * interval as f64 * SETTLEMENTS_AHEAD;
        expected.min(MAX_RESERVE) as u64 + u64::from(!is_calm)
    }

    /// The tail has answered the claim.
    pub fn settled(&mut self, now: Millis, grant: &Grant) {
        self.tokens += u64::from(grant.tokens);
        self.exhausted_until = match grant.exhausted_ms {
            0 => 0,
            ms => now + Millis::from(ms).max(MIN_EXHAUSTED),
        };
        self.headroom_percent = grant.headroom_percent;
        self.borrowed = 0;
    }

    /// The claim was not answered. What it gave back is lost; what it reported is reported again. The tail may have
    /// booked it, so it may count twice, which only makes the tenant's account poorer.
    pub fn not_settled(&mut self, claim: &Claim) {
        self.overdrawn += u64::from(claim.overdrawn);
        self.used += u64::from(claim.used);
        self.rejected += u64::from(claim.rejected);
        self.exhausted_until = 0;
    }

    /// Whether it may be forgotten. Its pace is of use for long: most tenants come to a node seldom.
    pub fn is_unused(&self, now: Millis) -> bool {
        let is_quiet = now.saturating_sub(self.last_asked) > FORGET_AFTER;
        is_quiet && self.tokens == 0 && self.waiting == 0 && self.overdrawn == 0 && self.used == 0
    }
}
