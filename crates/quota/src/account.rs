//! One tenant's account at the tail.
use crate::allowance::BORROWED_AHEAD;
use crate::ledger::GONE_AFTER;
use crate::limit::{Limit, Tolerance};
use crate::messages::{Claim, Grant, NodeUsage, TenantUsage};
use crate::pace::AdmittedPace;
use crate::token_bucket::TokenBucket;
use quincehatch_core::{Millis, Name};
use std::collections::BTreeMap;

/// However little a tenant runs, no node borrows more than this part of its own pace: its pace is an estimate.
const MAX_HEADROOM_PERCENT: f64 = 400.0;

/// A node's part of an account.
#[derive(Clone, Copy, Debug, Default)]
struct NodeAccount {
    held: u64,
    used: u64,
    overdrawn: u64,
    rejected: u64,
    settled_at: Millis,
    /// Operations that it ran.
    pace: AdmittedPace,
    /// Charged for what it may be borrowing while nothing is heard of it, in thousandths of a token.
    reserved: i64,
}

/// The account of one tenant.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    bucket: TokenBucket,
    opened_at: Millis,
    granted: u64,
    /// Operations that all nodes ran.
    pace: AdmittedPace,
    nodes: BTreeMap<Name, NodeAccount>,
}

impl Account {
    /// An account without tokens: what the tenant spent before is not known here.
    pub fn open(now: Millis, limit: Limit) -> Account {
        Account {
            bucket: TokenBucket::empty(now, limit),
            opened_at: now,
            granted: 0,
            pace: AdmittedPace::default(),
            nodes: BTreeMap::new(),
        }
    }

    pub fn set_limit(&mut self, now: Millis, limit: Limit) {
        self.bucket.set_limit(now, limit);
    }

    /// Books what a node has spent, and grants what there is.
    ///
    /// Needed tokens are spent at once. Those for operations to come are granted only while all nodes hold less than
    /// the tolerated excess: within any window no more is spent than the bucket grants there, and what was held at its
    /// beginning.
    pub fn settle(&mut self, now: Millis, node: &Name, claim: &Claim, tolerance: Tolerance) -> Grant {
        self.bucket.fill(now);
        self.bucket.give_back(claim.returned.into());
        // What nodes ran while there was no tail was the rate, which this account was not filled with meanwhile.
        let is_from_before = !self.nodes.contains_key(node) && now < self.opened_at + GONE_AFTER;
        if !is_from_before {
            self.bucket.charge(claim.overdrawn.into());
        }
        self.pace.note(now, claim.used.into());
        let mine = self.nodes.entry(node.clone()).or_default();
        mine.used += u64::from(claim.used);
        mine.overdrawn += u64::from(claim.overdrawn);
        mine.rejected += u64::from(claim.rejected);
        mine.settled_at = now;
        mine.held = claim.held.into();
        mine.pace.note(now, claim.used.into());
        // What it did borrow is in its claim.
        self.bucket.give_back_milli(std::mem::take(&mut mine.reserved));
        let max_held = tolerance.max_held(self.bucket.limit());
        let held: u64 = self.nodes.values().map(|account| account.held).sum();
        let needed = u64::from(claim.needed).min(self.bucket.available());
        let available = self.bucket.available() - needed;
        let reserve = u64::from(claim.reserve).min(available).min(max_held.saturating_sub(held));
        let tokens = needed + reserve;
        self.bucket.charge(tokens);
        self.granted += tokens;
        if let Some(mine) = self.nodes.get_mut(node) {
            mine.held += reserve;
        }
        Grant {
            tenant: claim.tenant.clone(),
            tokens: tokens as u32,
            exhausted_ms: if needed < u64::from(claim.needed) { self.bucket.next_token_ms() } else { 0 },
            headroom_percent: self.headroom_percent(now),
        }
    }

    /// What ran before the account was opened counts as if it had been the rate: else a new tail would take each tenant
    /// for one that runs nothing.
    fn headroom_percent(&self, now: Millis) -> u32 {
        let rate_per_ms = self.bucket.limit().rate_per_s as f64 / 1_000.0;
        let age = now.saturating_sub(self.opened_at) as f64;
        let pace = self.pace.at(now) + rate_per_ms * AdmittedPace::part_remembered(age);
        let headroom = 100.0 * rate_per_ms / pace;
        headroom.min(MAX_HEADROOM_PERCENT) as u32
    }

    /// Whether less than a half is there of what the account can hold. What nodes run on credit is charged afterwards, so
    /// there must be something to charge it to.
    pub fn is_pressed(&mut self, now: Millis) -> bool {
        self.bucket.fill(now);
        !self.bucket.is_half_full()
    }

    /// Charges what nodes may be borrowing of which nothing was heard since `heard_at`: their share of the rate.
    ///
    /// They may hold a lease, and then go on at that share while the others are granted the rest.
    pub fn reserve_for_silent(&mut self, now: Millis, elapsed: Millis, silent: &BTreeMap<Name, Millis>) {
        let headroom = f64::from(self.headroom_percent(now)) / 100.0;
        for (node, heard_at) in silent {
            let Some(account) = self.nodes.get_mut(node) else { continue };
            // The first time it is charged for all that it may have borrowed since it was heard.
            let since_heard = now.saturating_sub(*heard_at) as f64 + BORROWED_AHEAD;
            let time = if account.reserved == 0 { since_heard } else { elapsed as f64 };
            let milli = (account.pace.at(*heard_at) * headroom * time * 1_000.0) as i64;
            account.reserved += milli;
            self.bucket.charge_milli(milli);
            // Else the others' share would seem to grow, and they would borrow more of it with the next tail.
            self.pace.note(now, milli as f64 / 1_000.0);
        }
    }

    /// Charges a part of the rate: that of nodes of which this keeper has never heard, though they may hold a lease.
    pub fn reserve_for_unknown(&mut self, elapsed: Millis, part: f64) {
        let rate = self.bucket.limit().rate_per_s as f64;
        self.bucket.charge_milli((rate * elapsed as f64 * part) as i64);
    }

    /// Forgets what nodes held that have not settled since `before`: their leases are over, so they spend nothing.
    pub fn forget_silent(&mut self, before: Millis) {
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
