//! The operator calls `status` and `nodes`.
use super::fan_out::report_from_all_nodes;
use super::members::view_report;
use super::report_query::ReportQuery;
use crate::Node;
use quincehatch_core::Name;
use quincehatch_operator_api::nodes::NodesReply;
use quincehatch_operator_api::status::{
    DiskReport, KeeperAnswer, KeeperReport, LogReport, PrimaryReport, StatusReply,
};
use quincehatch_proxy::registry::ClusterState;
use quincehatch_store::KeeperStatus;
use std::sync::Arc;

/// Returns the state of the whole cluster.
pub async fn status(node: &Arc<Node>) -> StatusReply {
    let statuses = node.store_client.keeper_statuses().await;
    let keepers =
        statuses.into_iter().map(|(name, addr, status)| keeper_answer(name, addr, status)).collect();
    let view = view_report(&node.store_client.view());
    let cluster_state = node.proxy.registry.cluster_state();
    let primaries = primary_reports(&cluster_state);
    let nodes = nodes(node).await.nodes;
    StatusReply {
        version: cluster_state.version,
        change: cluster_state.number,
        view,
        keepers,
        primaries,
        nodes,
    }
}

/// Returns every node's report on its own state.
pub async fn nodes(node: &Arc<Node>) -> NodesReply {
    NodesReply { nodes: report_from_all_nodes(node, &ReportQuery::Node).await }
}

fn keeper_answer(name: Name, addr: Name, status: Option<KeeperStatus>) -> KeeperAnswer {
    let Some(status) = status else {
        return KeeperAnswer::Unresponsive { name, addr, unresponsive: true };
    };
    KeeperAnswer::Answered(KeeperReport {
        name,
        addr,
        why: status.reason,
        view: status.view.version,
        change: status.last_change,
        committed: status.committed,
        in_force: status.in_force,
        leases: status.leases.len(),
        disk: DiskReport { used: status.disk.used, allowed: status.disk.allowed },
        log: LogReport { entries: status.log.entries, bytes: status.log.bytes },
    })
}

fn primary_reports(cluster_state: &ClusterState) -> Vec<PrimaryReport> {
    let mut reports = Vec::new();
    for (group, assignment) in &cluster_state.primaries {
        reports.push(PrimaryReport {
            group: group.clone(),
            server: assignment.server.clone(),
            fence: assignment.fence,
            assigned_by: assignment.assigned_by.clone(),
        });
    }
    reports
}
