//! Tenants: who may use the routes, and how much.
use schematic::Config;
use serde::{Deserialize, Serialize};

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
