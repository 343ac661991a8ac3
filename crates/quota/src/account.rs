//! The account of one tenant at the tail of the keepers' chain.
use crate::allowance::CREDIT_ADVANCE_MS;
use crate::average_rate::AdmittedRate;
use crate::ledger::NODE_EXPIRY;
use crate::limit::{Limit, Tolerance};
use crate::messages::{Claim, Grant, NodeUsage, TenantUsage};
use crate::token_bucket::TokenBucket;
use quincehatch_core::{Millis, Name};
use std::collections::BTreeMap;

/// The upper limit of the headroom. A node's rate is an estimate, so a node must not multiply it by more than this,
/// even if the tenant runs few operations.
const MAX_HEADROOM_PERCENT: f64 = 400.0;

/// One node's entry in a tenant's account.
#[derive(Clone, Copy, Debug, Default)]
struct NodeAccount {
    held: u64,
    used: u64,
    overdrawn: u64,
    rejected: u64,
    settled_at: Millis,
    /// The rate of the operations that the node ran.
    admitted_rate: AdmittedRate,
    /// Thousandths of a token charged in advance for operations that the silent node may be running on credit.
    reserved: i64,
}

/// The account of one tenant.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    bucket: TokenBucket,
    opened_at: Millis,
    granted: u64,
    /// The rate of the operations that all nodes ran.
    admitted_rate: AdmittedRate,
    nodes: BTreeMap<Name, NodeAccount>,
}

impl Account {
    /// Returns an account without tokens, as the tail does not know what the tenant spent before.
    pub fn open(now: Millis, limit: Limit) -> Account {
        Account {
            bucket: TokenBucket::empty(now, limit),
            opened_at: now,
            granted: 0,
            admitted_rate: AdmittedRate::default(),
            nodes: BTreeMap::new(),
        }
    }

    pub fn set_limit(&mut self, now: Millis, limit: Limit) {
        self.bucket.set_limit(now, limit);
    }

    /// Charges the operations that a node ran on credit, and grants the node available tokens.
    ///
    /// Tokens for waiting operations are spent at once. Tokens for future operations are granted only while all nodes
    /// together hold less than the tolerated excess. So the tokens spent within any window are at most those that the
    /// bucket grants in the window and those that were held when it began.
    pub fn settle(&mut self, now: Millis, node: &Name, claim: &Claim, tolerance: Tolerance) -> Grant {
        self.bucket.fill(now);
        self.bucket.refund(claim.returned.into());
        // Operations that nodes ran on credit while there was no tail used the rate of that time, which was never added
        // to this account's bucket. So they are not charged.
        let ran_before_opening = !self.nodes.contains_key(node) && now < self.opened_at + NODE_EXPIRY;
        if !ran_before_opening {
            self.bucket.charge(claim.overdrawn.into());
        }
        self.admitted_rate.record(now, claim.used.into());
        let node_account = self.nodes.entry(node.clone()).or_default();
        node_account.used += u64::from(claim.used);
        node_account.overdrawn += u64::from(claim.overdrawn);
        node_account.rejected += u64::from(claim.rejected);
        node_account.settled_at = now;
        node_account.held = claim.held.into();
        node_account.admitted_rate.record(now, claim.used.into());
        // The claim contains the operations that the node did run on credit, so the advance charge is refunded.
        self.bucket.refund_milli(std::mem::take(&mut node_account.reserved));
        let max_held = tolerance.max_held(self.bucket.limit());
        let held: u64 = self.nodes.values().map(|account| account.held).sum();
        let needed = u64::from(claim.needed).min(self.bucket.available());
        let available = self.bucket.available() - needed;
        let reserve = u64::from(claim.reserve).min(available).min(max_held.saturating_sub(held));
        let tokens = needed + reserve;
        self.bucket.charge(tokens);
        self.granted += tokens;
        if let Some(node_account) = self.nodes.get_mut(node) {
            node_account.held += reserve;
        }
        Grant {
            tenant: claim.tenant.clone(),
            tokens: tokens as u32,
            exhausted_ms: if needed < u64::from(claim.needed) { self.bucket.next_token_ms() } else { 0 },
            headroom_percent: self.headroom_percent(now),
        }
    }

    /// Returns the factor, in percent, by which nodes may multiply their rate while they run operations on credit.
    ///
    /// The tenant counts as having run at its full rate before the account was opened. Otherwise a new tail would treat
    /// every tenant as idle.
    fn headroom_percent(&self, now: Millis) -> u32 {
        let rate_per_ms = self.bucket.limit().rate_per_s as f64 / 1_000.0;
        let age = now.saturating_sub(self.opened_at) as f64;
        let admitted_per_ms = self.admitted_rate.at(now) + rate_per_ms * AdmittedRate::decay_factor(age);
        let headroom = 100.0 * rate_per_ms / admitted_per_ms;
        headroom.min(MAX_HEADROOM_PERCENT) as u32
    }

    /// Whether the account holds less than half of its capacity. Operations on credit are charged afterwards, so the
    /// account needs a balance from which to charge them.
    pub fn is_below_half(&mut self, now: Millis) -> bool {
        self.bucket.fill(now);
        !self.bucket.is_half_full()
    }

    /// Charges in advance what each silent node may be running on credit, which is its share of the rate. `silent` maps
    /// each silent node to the time of its last contact.
    ///
    /// A silent node may hold a lease and then continues at its share while other nodes are granted the rest.
    pub fn reserve_for_silent(&mut self, now: Millis, elapsed: Millis, silent: &BTreeMap<Name, Millis>) {
        let headroom = f64::from(self.headroom_percent(now)) / 100.0;
        for (node, last_contact_at) in silent {
            let Some(account) = self.nodes.get_mut(node) else { continue };
            // The first charge covers the whole time since the last contact.
            let since_contact = now.saturating_sub(*last_contact_at) as f64 + CREDIT_ADVANCE_MS;
            let time = if account.reserved == 0 { since_contact } else { elapsed as f64 };
            let milli = (account.admitted_rate.at(*last_contact_at) * headroom * time * 1_000.0) as i64;
            account.reserved += milli;
            self.bucket.charge_milli(milli);
            // Without this the other nodes' share would seem to grow, and they would run more on credit before the next
            // tail answers.
            self.admitted_rate.record(now, milli as f64 / 1_000.0);
        }
    }

    /// Charges in advance the part of the rate that belongs to nodes which may hold a lease, but have not contacted
    /// this keeper yet.
    pub fn reserve_for_unknown(&mut self, elapsed: Millis, fraction: f64) {
        let rate = self.bucket.limit().rate_per_s as f64;
        self.bucket.charge_milli((rate * elapsed as f64 * fraction) as i64);
    }

    /// Removes the entries of nodes that have not settled since `before`. Their leases have expired, so they spend no
    /// tokens.
    pub fn remove_expired_nodes(&mut self, before: Millis) {
        self.nodes.retain(|_, account| account.settled_at >= before);
    }

    pub fn usage(&self, now: Millis, tenant: &Name) -> TenantUsage {
        let mut bucket = self.bucket;
        bucket.fill(now);
        let limit = bucket.limit();
        let node_usage = |(node, account): (&Name, &NodeAccount)| NodeUsage {
            node: node.clone(),
            held: account.held,
            used: account.used,
            overdrawn: account.overdrawn,
            rejected: account.rejected,
            age_ms: now.saturating_sub(account.settled_at),
        };
        TenantUsage {
            tenant: tenant.clone(),
            rate_per_s: limit.rate_per_s,
            burst: limit.burst,
            available: bucket.available(),
            granted: self.granted,
            nodes: self.nodes.iter().map(node_usage).collect(),
        }
    }
}
