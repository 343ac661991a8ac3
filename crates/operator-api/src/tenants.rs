//! `tenants`: what each tenant runs of what it may, as the tail of the chain counts it.
use crate::{CallName, OperatorCall};
use quincehatch_core::{Millis, Name};
use serde::{Deserialize, Serialize};

/// Asks for the tenants that have a limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantsRequest {}

impl OperatorCall for TenantsRequest {
    const NAME: CallName = CallName::Tenants;
    type Reply = TenantsReply;
}

/// The tenants that have a limit. All counts are since the present tail became it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantsReply {
    /// By name.
    pub tenants: Vec<TenantReport>,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantReport {
    /// Its name.
    pub tenant: Name,
    /// Operations a second that it may run.
    pub rate_per_s: u64,
    /// Operations beyond the rate.
    pub burst: u64,
    /// Tokens that no node holds.
    pub available: u64,
    /// Tokens that were granted to nodes.
    pub granted: u64,
    /// Each node that has settled for it lately.
    pub nodes: Vec<TenantNodeReport>,
}

/// One tenant at one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantNodeReport {
    /// The node.
    pub node: Name,
    /// Unspent tokens that it holds.
    pub held: u64,
    /// Operations that it ran.
    pub used: u64,
    /// Of these, operations that it ran on credit.
    pub borrowed: u64,
    /// Operations that it rejected.
    pub rejected: u64,
    /// Age of these figures.
    pub age_ms: Millis,
}
