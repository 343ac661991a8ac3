//! Tenants: who may use the routes, and how much.
use quincehatch_core::Name;
use quincehatch_quota::Limit;
use schematic::Config;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A tenant, its keys and its limit.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The tenant's name. Servers are told it with each connection.
    pub name: String,
    /// Digests of its keys, as `quincehatchctl key-digest` prints them. Several are in force at once, so that clients can
    /// change over from one to the next.
    pub keys: Vec<String>,
    /// Operations a second that all nodes together run for it; none: no limit. An operation is a statement outside a
    /// transaction, or a transaction.
    pub rate_per_s: Option<u64>,
    /// Operations that it may run beyond its rate after it ran less.
    pub burst: u64,
}

impl Tenant {
    /// How much it may run; `None` without a limit.
    pub fn limit(&self) -> Option<Limit> {
        Some(Limit { rate_per_s: self.rate_per_s?, burst: self.burst })
    }
}

/// The limits of all tenants that have one, by tenant.
pub fn limits(tenants: &[Tenant]) -> BTreeMap<Name, Limit> {
    let with_limit = |tenant: &Tenant| Some((Name::from(tenant.name.as_str()), tenant.limit()?));
    tenants.iter().filter_map(with_limit).collect()
}

/// The same of a configuration in its stored form, of which nothing else is read.
pub fn limits_in_stored(json: &str) -> BTreeMap<Name, Limit> {
    #[derive(Default, Deserialize)]
    struct TenantsOnly {
        #[serde(default)]
        tenants: Vec<Tenant>,
    }
    let stored: TenantsOnly = serde_json::from_str(json).unwrap_or_default();
    limits(&stored.tenants)
}
