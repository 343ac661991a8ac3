//! Renders the reply to `nodes`.
use super::Table;
use super::layout::{cell, table};
use quincehatch_operator_api::fan_out::NodeAnswer;
use quincehatch_operator_api::nodes::{NodeReport, NodesReply};

const HEADINGS: [&str; 11] = [
    "NODE",
    "ZONE",
    "READY",
    "VERSION",
    "CHANGE",
    "LEASE MS",
    "SESSIONS",
    "COMMITTED",
    "NOT APPLIED",
    "UNKNOWN",
    "WHY",
];

impl Table for NodesReply {
    fn to_table(&self) -> String {
        nodes_table(&self.nodes)
    }
}

/// Renders a table with a row for each node. The output of `status` includes the same table.
pub fn nodes_table(nodes: &[NodeAnswer<NodeReport>]) -> String {
    table(&HEADINGS, nodes.iter().map(row).collect())
}

fn row(answer: &NodeAnswer<NodeReport>) -> Vec<String> {
    match answer {
        NodeAnswer::Unresponsive { node, .. } => vec![cell(node), cell(""), "unresponsive".to_owned()],
        NodeAnswer::Answered { node, answer: None } => vec![cell(node)],
        NodeAnswer::Answered { node, answer: Some(report) } => vec![
            cell(node),
            cell(&report.zone),
            cell(report.ready),
            cell(report.version),
            cell(report.change),
            cell(report.lease_ms),
            cell(report.sessions),
            cell(report.committed),
            cell(report.not_applied),
            cell(report.unknown),
            cell(&report.why),
        ],
    }
}
