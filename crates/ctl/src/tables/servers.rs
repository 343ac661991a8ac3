//! Renders the reply to `servers`.
use super::Table;
use super::layout::{cell, optional_cell, table};
use quincehatch_operator_api::servers::{ServerReport, ServersReply};

const HEADINGS: [&str; 14] = [
    "SERVER",
    "ADDRESS",
    "GROUP",
    "ZONE",
    "ROLE",
    "STATE",
    "POSITION",
    "HEALTH",
    "EJECTIONS",
    "PENDING",
    "CONNECTIONS",
    "IDLE",
    "QUEUED",
    "FAILING MS",
];

impl Table for ServersReply {
    fn to_table(&self) -> String {
        let rows = self.servers.iter().map(row).collect();
        format!("as node {} sees them\n{}", self.node, table(&HEADINGS, rows))
    }
}

fn row(report: &ServerReport) -> Vec<String> {
    // Heartbeats of older servers carry the zone under its former label `district`.
    let zone = report.labels.get("zone").or_else(|| report.labels.get("district"));
    let role = if report.is_primary { "primary".to_owned() } else { lowercase(&report.role) };
    vec![
        cell(&report.server),
        cell(&report.addr),
        optional_cell(report.labels.get("group")),
        optional_cell(zone),
        role,
        lowercase(&report.state),
        format!("{}.{}", report.position.fence, report.position.number),
        cell(&report.health),
        cell(report.ejections),
        cell(report.pending_replies),
        cell(report.connections),
        cell(report.idle_connections),
        cell(report.queued),
        optional_cell(report.failing_ms),
    ]
}

fn lowercase(value: &impl std::fmt::Debug) -> String {
    format!("{value:?}").to_lowercase()
}
