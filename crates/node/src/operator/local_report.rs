//! This node's answer to a query that another node sends on behalf of an operator.
//!
//! Reports never contain statement text, parameters or rows.
use super::report_query::ReportQuery;
use super::{maintenance, node_report, server_report};
use crate::Node;
use serde_json::{Value, json};

/// Returns the answer as JSON; `null` if this node has no record of the subject or does not know the query.
pub fn local_report(node: &Node, what: &str, key: &str) -> Value {
    match ReportQuery::parse(what, key) {
        Some(ReportQuery::Node) => json!(node_report::node_report(node)),
        Some(ReportQuery::ServerHealth(server)) => json!(server_report::health_report(node, &server)),
        Some(ReportQuery::RequestTrace(id)) => json!(node_report::request_trace(node, &id)),
        Some(ReportQuery::Promotions) => json!(*node.promotion_state.events.lock().unwrap()),
        Some(ReportQuery::Handover { group, to }) => {
            node.promotion_state.handover_requests.lock().unwrap().insert(group, to);
            json!(true)
        }
        Some(ReportQuery::SetDraining(draining)) => json!(maintenance::set_draining(node, draining)),
        None => Value::Null,
    }
}
