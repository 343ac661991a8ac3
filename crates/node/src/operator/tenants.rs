//! The operator call `tenants`.
use crate::node::Node;
use quincehatch_core::Error;
use quincehatch_operator_api::tenants::{TenantNodeReport, TenantReport, TenantsReply};
use quincehatch_quota::{NodeUsage, TenantUsage};
use std::time::Duration;

const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the usage of all tenants, as counted by the tail of the chain.
pub async fn tenants(node: &Node) -> Result<TenantsReply, Error> {
    let usage = node.store_client.read_quota(READ_TIMEOUT).await?;
    Ok(TenantsReply { tenants: usage.into_iter().map(tenant_report).collect() })
}

fn tenant_report(usage: TenantUsage) -> TenantReport {
    TenantReport {
        tenant: usage.tenant,
        rate_per_s: usage.rate_per_s,
        burst: usage.burst,
        available: usage.available,
        granted: usage.granted,
        nodes: usage.nodes.into_iter().map(node_report).collect(),
    }
}

fn node_report(usage: NodeUsage) -> TenantNodeReport {
    TenantNodeReport {
        node: usage.node,
        held: usage.held,
        used: usage.used,
        borrowed: usage.overdrawn,
        rejected: usage.rejected,
        age_ms: usage.age_ms,
    }
}
