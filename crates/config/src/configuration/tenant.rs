//! Tenants, their keys and their rate limits.
use quincehatch_core::Name;
use quincehatch_quota::Limit;
use schematic::Config;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A tenant, its keys and its rate limit.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The tenant's name. Nodes send it to servers with each connection.
    pub name: String,
    /// Digests of the tenant's keys, as `quincehatchctl key-digest` prints them. Several keys are valid at the same
    /// time, so that clients can change over from one key to the next.
    pub keys: Vec<String>,
    /// Operations per second that all nodes together run for the tenant; `None` stands for no limit. An operation is a
    /// statement outside a transaction, or a transaction.
    pub rate_per_s: Option<u64>,
    /// Operations that the tenant may run beyond its rate after a time in which it ran fewer.
    pub burst: u64,
}

impl Tenant {
    /// Returns the tenant's rate limit; `None` if it has none.
    pub fn limit(&self) -> Option<Limit> {
        Some(Limit { rate_per_s: self.rate_per_s?, burst: self.burst })
    }
}

/// Returns the rate limits of all tenants that have one, by name of the tenant.
pub fn limits(tenants: &[Tenant]) -> BTreeMap<Name, Limit> {
    let with_limit = |tenant: &Tenant| Some((Name::from(tenant.name.as_str()), tenant.limit()?));
    tenants.iter().filter_map(with_limit).collect()
}

/// Returns the same limits for a configuration in its stored form. No other part of the configuration is read.
pub fn limits_in_stored(json: &str) -> BTreeMap<Name, Limit> {
    #[derive(Default, Deserialize)]
    struct TenantsOnly {
        #[serde(default)]
        tenants: Vec<Tenant>,
    }
    let stored: TenantsOnly = serde_json::from_str(json).unwrap_or_default();
    limits(&stored.tenants)
}
