//! Sends one query to every node of the cluster.
use super::report_query::ReportQuery;
use crate::Node;
use quincehatch_core::Name;
use quincehatch_gossip::NodeReply;
use quincehatch_operator_api::fan_out::NodeAnswer;
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// Returns the answers of all nodes, ordered by name; a node that does not answer in time is listed as unresponsive.
///
/// An answer that cannot be parsed is listed as empty, because the node may run another version.
pub async fn report_from_all_nodes<Report: DeserializeOwned>(
    node: &Arc<Node>,
    query: &ReportQuery,
) -> Vec<NodeAnswer<Report>> {
    let records = node.gossip.membership.lock().unwrap().member_records();
    let mut names: Vec<Name> = records.into_iter().map(|record| record.name).collect();
    names.push(node.gossip.local_name.clone());
    let replies = node.gossip.query_all(names, query.to_message()).await;
    replies.into_iter().map(|(name, reply)| node_answer(name, reply)).collect()
}

fn node_answer<Report: DeserializeOwned>(node: Name, reply: Option<NodeReply>) -> NodeAnswer<Report> {
    match reply {
        Some(NodeReply::Report { json }) => {
            NodeAnswer::Answered { node, answer: serde_json::from_str(&json).unwrap_or(None) }
        }
        _ => NodeAnswer::unresponsive(node),
    }
}
