//! Renders the reply to `tenants`.
use super::Table;
use super::layout::table;
use quincehatch_operator_api::tenants::{TenantNodeReport, TenantReport, TenantsReply};

const HEADINGS: [&str; 9] =
    ["TENANT", "NODE", "RATE/S", "BURST", "FREE", "HELD", "USED", "BORROWED", "REJECTED"];

impl Table for TenantsReply {
    /// Renders one line with the totals of each tenant, followed by one line per node.
    fn to_table(&self) -> String {
        let rows = self.tenants.iter().flat_map(tenant_rows).collect();
        table(&HEADINGS, rows)
    }
}

fn tenant_rows(report: &TenantReport) -> Vec<Vec<String>> {
    let sum = |pick: fn(&TenantNodeReport) -> u64| report.nodes.iter().map(pick).sum::<u64>().to_string();
    let mut rows = vec![vec![
        report.tenant.to_string(),
        "all".to_owned(),
        report.rate_per_s.to_string(),
        report.burst.to_string(),
        report.available.to_string(),
        sum(|node| node.held),
        sum(|node| node.used),
        sum(|node| node.borrowed),
        sum(|node| node.rejected),
    ]];
    rows.extend(report.nodes.iter().map(|node| node_row(report, node)));
    rows
}

fn node_row(report: &TenantReport, node: &TenantNodeReport) -> Vec<String> {
    let unknown = || "-".to_owned();
    vec![
        report.tenant.to_string(),
        format!("{} ({} ms ago)", node.node, node.age_ms),
        unknown(),
        unknown(),
        unknown(),
        node.held.to_string(),
        node.used.to_string(),
        node.borrowed.to_string(),
        node.rejected.to_string(),
    ]
}
