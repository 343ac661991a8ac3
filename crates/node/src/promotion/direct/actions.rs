//! Actions of a promotion that call direct servers or other nodes.
use super::acknowledged::gather_acknowledged;
use super::commit_holders::known_servers;
use super::launch::listed_servers;
use super::server_calls::{query_status, suspend};
use crate::node::Node;
use quincehatch_core::{FencingToken, Name};
use quincehatch_failover::promotion::{PromotionEvent, PromotionPlan};
use quincehatch_runtime::seam;
use std::sync::Arc;

/// Suspends a server's log, so that it receives nothing more.
pub(crate) async fn suspend_for_promotion(node: &Node, plan: &PromotionPlan, server: Name) -> PromotionEvent {
    let group: Vec<Name> = known_servers(node, &plan.group).iter().map(|entry| entry.name.clone()).collect();
    match suspend(node, &server, &group).await {
        Some(end) => PromotionEvent::ServerFenced(server, end),
        None => PromotionEvent::Tick,
    }
}

/// Returns `Drained`, with which a planned promotion proceeds, once no requests are in flight according to `counted`
/// and a server that is not draining has received all that the old primary has.
pub(crate) async fn await_caught_up_replica(
    node: &Node,
    plan: &PromotionPlan,
    counted: PromotionEvent,
) -> PromotionEvent {
    let Some(old_primary) = &plan.old_primary else { return counted };
    if counted != PromotionEvent::Drained {
        return counted;
    }
    // The promotion does not wait for an old primary that does not answer.
    let Some(primary_status) = query_status(node, old_primary).await else {
        return PromotionEvent::Drained;
    };
    let draining = plan.sync_group.as_ref().map_or(&[][..], |group| &group.draining);
    let successors =
        plan.servers.iter().filter(|server| *server != old_primary && !draining.contains(server));
    let statuses = seam::join_all(successors.map(|server| query_status(node, server))).await;
    let has_all = statuses.iter().flatten().any(|status| status.received >= primary_status.received);
    if has_all { PromotionEvent::Drained } else { PromotionEvent::Tick }
}

/// Queries all nodes for the acknowledged commits that they passed on. They pass on none any more that was sent under a
/// lower token than `fence`, under which the closed assignment is in force.
pub(crate) async fn query_acknowledged(
    node: &Arc<Node>,
    plan: &PromotionPlan,
    fence: FencingToken,
) -> PromotionEvent {
    let primary_fence = plan.sync_group.as_ref().and_then(|group| group.gathered_fence);
    let commits = gather_acknowledged(node, &plan.group, primary_fence, fence).await;
    match commits.end {
        Some(end) => PromotionEvent::AcknowledgedUpTo { end, at_least: commits.at_least },
        None => PromotionEvent::AcknowledgedInPart { end: commits.reported_end, at_least: commits.at_least },
    }
}

/// Lists the group's servers as they are registered now.
pub(crate) fn list_servers(node: &Node, plan: &PromotionPlan) -> PromotionEvent {
    let servers = known_servers(node, &plan.group);
    let primary = node.feed_state.lock().unwrap().primaries.get(&plan.group).cloned();
    let gathered_fence = plan.sync_group.as_ref().and_then(|group| group.gathered_fence);
    PromotionEvent::ServersListed(listed_servers(
        node,
        &plan.group,
        &servers,
        primary.as_ref(),
        gathered_fence,
    ))
}
