//! The tail's accounts of all tenants.
use crate::account::Account;
use crate::limit::{Limit, Tolerance};
use crate::messages::{Claim, Grant, Settlement, TenantUsage};
use quincehatch_core::{Millis, Name, Version};
use std::collections::BTreeMap;

/// A node of which nothing was heard for so long may be cut off. It is several times the interval at which nodes poll the
/// tail, each of which counts.
const SILENT_AFTER: Millis = 700;
/// A node of which nothing was heard for so long runs nothing: no lease of a node is longer.
pub(crate) const GONE_AFTER: Millis = 4_200;
/// How often silent nodes are looked for.
const CHECK_INTERVAL: Millis = 200;

/// When a node may come again for a tenant that has no account here, in milliseconds.
const NO_ACCOUNT_MS: u32 = 1_000;
/// How often accounts are looked through for those that are pressed.
const PRESSED_INTERVAL: Millis = 40;

/// The accounts of all tenants that have a limit. It is the tail's alone and dies with it: the next tail begins with
/// empty accounts, as it cannot know what was granted last.
#[derive(Clone, Debug)]
pub struct Ledger {
    tolerance: Tolerance,
    /// The version of the configuration whose limits are in force.
    version: Version,
    accounts: BTreeMap<Name, Account>,
    /// When each node was last heard of.
    contacts: BTreeMap<Name, Millis>,
    began_at: Millis,
    /// Nodes that may hold a lease of an earlier tail, as far as this one knew when it began.
    expected_nodes: usize,
    checked_at: Millis,
    pressed: Vec<Name>,
    pressed_at: Option<Millis>,
}

impl Ledger {
    /// Accounts of a keeper that becomes the tail, when `expected_nodes` may hold leases.
    pub fn new(now: Millis, expected_nodes: usize, tolerance: Tolerance) -> Ledger {
        Ledger {
            tolerance,
            version: 0,
            accounts: BTreeMap::new(),
            contacts: BTreeMap::new(),
            began_at: now,
            expected_nodes,
            checked_at: now,
            pressed: Vec::new(),
            pressed_at: None,
        }
    }

    /// The version of the configuration whose limits are in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Takes the limits of a newer configuration. A tenant whose limit is dropped loses its account.
    pub fn set_limits(&mut self, now: Millis, version: Version, limits: &BTreeMap<Name, Limit>) {
        self.version = version;
        self.accounts.retain(|tenant, _| limits.contains_key(tenant));
        for (tenant, limit) in limits {
            let account = self.accounts.entry(tenant.clone()).or_insert_with(|| Account::open(now, *limit));
            account.set_limit(now, *limit);
        }
    }

    /// Something was heard of a node: a poll, or a settlement.
    pub fn note_contact(&mut self, now: Millis, node: &Name) {
        match self.contacts.get_mut(node) {
            Some(heard_at) => *heard_at = now,
            None => drop(self.contacts.insert(node.clone(), now)),
        }
        self.check_silent_nodes(now);
    }

    /// Settles with a node. A tenant that has no account here is granted nothing: the node's configuration is older.
    pub fn settle(&mut self, now: Millis, node: &Name, claims: &[Claim]) -> Settlement {
        self.note_contact(now, node);
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
        Settlement { grants, pressed: self.pressed_tenants(now) }
    }

    fn pressed_tenants(&mut self, now: Millis) -> Vec<Name> {
        if self.pressed_at.is_none_or(|at| now >= at + PRESSED_INTERVAL) {
            let pressed = self
                .accounts
                .iter_mut()
                .filter_map(|(tenant, account)| account.is_pressed(now).then(|| tenant.clone()));
            self.pressed = pressed.collect();
            self.pressed_at = Some(now);
        }
        self.pressed.clone()
    }

    /// Nodes that are cut off go on at their share until their leases are over, so it is not granted to others meanwhile.
    fn check_silent_nodes(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.checked_at);
        if elapsed < CHECK_INTERVAL {
            return;
        }
        self.checked_at = now;
        let gone_before = now.saturating_sub(GONE_AFTER);
        self.contacts.retain(|_, heard_at| *heard_at >= gone_before);
        let silent_since = now.saturating_sub(SILENT_AFTER);
        let silent: BTreeMap<Name, Millis> = self
            .contacts
            .iter()
            .filter(|(_, at)| **at < silent_since)
            .map(|(node, at)| (node.clone(), *at))
            .collect();
        let unknown_part = self.unknown_part(now);
        for account in self.accounts.values_mut() {
            account.forget_silent(gone_before);
            account.reserve_for_silent(now, elapsed, &silent);
            account.reserve_for_unknown(elapsed, unknown_part);
        }
    }

    /// The part of all nodes that may hold a lease of an earlier tail and were not heard of yet.
    fn unknown_part(&self, now: Millis) -> f64 {
        if now >= self.began_at + GONE_AFTER || self.expected_nodes == 0 {
            return 0.0;
        }
        let unknown = self.expected_nodes.saturating_sub(self.contacts.len());
        unknown as f64 / self.expected_nodes as f64
    }

    /// All accounts, for operators.
    pub fn usage(&self, now: Millis) -> Vec<TenantUsage> {
        self.accounts.iter().map(|(tenant, account)| account.usage(now, tenant)).collect()
    }
}
