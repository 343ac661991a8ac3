//! `tenants`: rate limit and usage of each tenant, as counted by the tail of the chain.
use crate::{CallName, OperatorCall};
use quincehatch_core::{Millis, Name};
use serde::{Deserialize, Serialize};

/// Asks for the tenants that have a rate limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantsRequest {}

impl OperatorCall for TenantsRequest {
    const NAME: CallName = CallName::Tenants;
    type Reply = TenantsReply;
}

/// The tenants that have a rate limit. All counts start at the time when the current tail became the tail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantsReply {
    /// The tenants, ordered by name.
    pub tenants: Vec<TenantReport>,
}

/// Rate limit and usage of one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantReport {
    /// Name of the tenant.
    pub tenant: Name,
    /// Rate limit in operations per second.
    pub rate_per_s: u64,
    /// Number of operations allowed in a burst beyond the rate.
    pub burst: u64,
    /// Number of tokens that are available for granting to nodes.
    pub available: u64,
    /// Number of tokens that were granted to nodes.
    pub granted: u64,
    /// The nodes that have recently settled usage for this tenant.
    pub nodes: Vec<TenantNodeReport>,
}

/// Usage of one tenant at one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantNodeReport {
    /// Name of the node.
    pub node: Name,
    /// Number of unspent tokens at the node.
    pub held: u64,
    /// Number of operations that the node ran.
    pub used: u64,
    /// Number of these operations that the node ran on credit.
    pub borrowed: u64,
    /// Number of operations that the node rejected.
    pub rejected: u64,
    /// Age of these figures in milliseconds.
    pub age_ms: Millis,
}
