//! The accounts of all tenants at the tail of the keepers' chain.
use crate::account::Account;
use crate::limit::{Limit, Tolerance};
use crate::messages::{Claim, Grant, Settlement, TenantUsage};
use quincehatch_core::{Millis, Name, Version};
use std::collections::BTreeMap;

/// A node counts as silent, and may be cut off, once it has not contacted the tail for this long. This is several times
/// the interval of the nodes' polls, each of which is a contact.
const SILENCE_TIMEOUT: Millis = 700;
/// A node that has not contacted the tail for this long runs no operations, as no node's lease is longer.
pub(crate) const NODE_EXPIRY: Millis = 4_200;
/// The time between two checks for silent nodes.
const CHECK_INTERVAL: Millis = 200;

/// The time after which a node may request tokens again for a tenant that has no account, in milliseconds.
const NO_ACCOUNT_MS: u32 = 1_000;
/// The time between two searches for the accounts below half of their capacity.
const BALANCE_CHECK_INTERVAL: Millis = 40;

/// The accounts of all tenants that have a limit. They exist only at the tail and are not replicated: the next tail
/// starts with empty accounts, as it cannot know what its predecessor granted last.
#[derive(Clone, Debug)]
pub struct Ledger {
    tolerance: Tolerance,
    /// The version of the configuration whose limits are in force.
    version: Version,
    accounts: BTreeMap<Name, Account>,
    /// The time of each node's last contact.
    last_contacts: BTreeMap<Name, Millis>,
    started_at: Millis,
    /// The number of nodes that may hold a lease of an earlier tail, as known to this tail when it started.
    expected_nodes: usize,
    silence_checked_at: Millis,
    without_credit: Vec<Name>,
    balances_checked_at: Option<Millis>,
}

impl Ledger {
    /// Returns the accounts of a keeper that becomes the tail while `expected_nodes` nodes may hold leases.
    pub fn new(now: Millis, expected_nodes: usize, tolerance: Tolerance) -> Ledger {
        Ledger {
            tolerance,
            version: 0,
            accounts: BTreeMap::new(),
            last_contacts: BTreeMap::new(),
            started_at: now,
            expected_nodes,
            silence_checked_at: now,
            without_credit: Vec::new(),
            balances_checked_at: None,
        }
    }

    /// The version of the configuration whose limits are in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Applies the limits of a newer configuration. A tenant without a limit in it loses its account.
    pub fn set_limits(&mut self, now: Millis, version: Version, limits: &BTreeMap<Name, Limit>) {
        self.version = version;
        self.accounts.retain(|tenant, _| limits.contains_key(tenant));
        for (tenant, limit) in limits {
            let account = self.accounts.entry(tenant.clone()).or_insert_with(|| Account::open(now, *limit));
            account.set_limit(now, *limit);
        }
    }

    /// Records a contact of a node, which is a poll or a settlement.
    pub fn record_contact(&mut self, now: Millis, node: &Name) {
        match self.last_contacts.get_mut(node) {
            Some(last_contact_at) => *last_contact_at = now,
            None => drop(self.last_contacts.insert(node.clone(), now)),
        }
        self.check_silent_nodes(now);
    }

    /// Settles with a node. A tenant without an account is granted no tokens, as the node's configuration is older.
    pub fn settle(&mut self, now: Millis, node: &Name, claims: &[Claim]) -> Settlement {
        self.record_contact(now, node);
        let mut grants = Vec::with_capacity(claims.len());
        for claim in claims {
            grants.push(match self.accounts.get_mut(&claim.tenant) {
                Some(account) => account.settle(now, node, claim, self.tolerance),
                None => Grant {
                    tenant: claim.tenant.clone(),
                    tokens: 0,
                    exhausted_ms: NO_ACCOUNT_MS,
                    headroom_percent: 0,
                },
            });
        }
        Settlement { grants, pressed: self.tenants_without_credit(now) }
    }

    /// Returns the tenants whose accounts are below half of their capacity.
    fn tenants_without_credit(&mut self, now: Millis) -> Vec<Name> {
        if self.balances_checked_at.is_none_or(|at| now >= at + BALANCE_CHECK_INTERVAL) {
            let below_half = self
                .accounts
                .iter_mut()
                .filter_map(|(tenant, account)| account.is_below_half(now).then(|| tenant.clone()));
            self.without_credit = below_half.collect();
            self.balances_checked_at = Some(now);
        }
        self.without_credit.clone()
    }

    /// Charges the accounts for nodes that may be cut off. These continue at their share of the rate until their leases
    /// expire, so their share must not be granted to other nodes until then.
    fn check_silent_nodes(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.silence_checked_at);
        if elapsed < CHECK_INTERVAL {
            return;
        }
        self.silence_checked_at = now;
        let expired_before = now.saturating_sub(NODE_EXPIRY);
        self.last_contacts.retain(|_, last_contact_at| *last_contact_at >= expired_before);
        let silent_since = now.saturating_sub(SILENCE_TIMEOUT);
        let silent: BTreeMap<Name, Millis> = self
            .last_contacts
            .iter()
            .filter(|(_, at)| **at < silent_since)
            .map(|(node, at)| (node.clone(), *at))
            .collect();
        let unknown_fraction = self.unknown_fraction(now);
        for account in self.accounts.values_mut() {
            account.remove_expired_nodes(expired_before);
            account.reserve_for_silent(now, elapsed, &silent);
            account.reserve_for_unknown(elapsed, unknown_fraction);
        }
    }

    /// Returns the fraction of the expected nodes that may hold a lease of an earlier tail and have not contacted this
    /// tail yet.
    fn unknown_fraction(&self, now: Millis) -> f64 {
        if now >= self.started_at + NODE_EXPIRY || self.expected_nodes == 0 {
            return 0.0;
        }
        let unknown = self.expected_nodes.saturating_sub(self.last_contacts.len());
        unknown as f64 / self.expected_nodes as f64
    }

    /// Returns the usage of all accounts, for operators.
    pub fn usage(&self, now: Millis) -> Vec<TenantUsage> {
        self.accounts.iter().map(|(tenant, account)| account.usage(now, tenant)).collect()
    }
}
