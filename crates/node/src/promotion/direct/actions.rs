//! Actions of a promotion that call direct servers, the platform or other nodes.
use super::acknowledged::gather_acknowledged;
use super::commit_holders::known_servers;
use super::launch::listed_servers;
use super::repair::Restoration;
use super::server_calls::{query_status, suspend};
use crate::node::Node;
use quincehatch_core::{FencingToken, Millis, Name, Role};
use quincehatch_failover::promotion::{PromotionEvent, PromotionPlan};
use quincehatch_proxy::ports::PromotionOutcome;
use quincehatch_runtime::{now, seam};
use std::sync::Arc;
use std::time::Duration;

/// The time that a server has to become the primary after the request to the platform; then the request is repeated.
const PROMOTE_TIMEOUT: Millis = 1_200;
const STATUS_INTERVAL: Duration = Duration::from_millis(60);

/// Suspends a server's log, so that it receives nothing more.
pub(crate) async fn suspend_for_promotion(node: &Node, plan: &PromotionPlan, server: Name) -> PromotionEvent {
    let group: Vec<Name> = known_servers(node, &plan.group).iter().map(|entry| entry.name.clone()).collect();
    match suspend(node, &server, &group).await {
        Some(end) => PromotionEvent::ServerFenced(server, end),
        None => PromotionEvent::Tick,
    }
}

/// Requests the platform to promote a server, and waits until the server is the primary: until then it rejects all
/// requests.
pub(crate) async fn promote_server(
    node: &Arc<Node>,
    plan: &PromotionPlan,
    server: Name,
    fence: FencingToken,
) -> PromotionEvent {
    let Some(ports) = &node.ports else { return PromotionEvent::ServerNotPromoted(server) };
    let (group, coordinator) = (plan.group.clone(), plan.coordinator.clone());
    let outcome = ports.promoter.promote(group, server.clone(), coordinator, fence).await;
    if outcome == PromotionOutcome::Rejected {
        return PromotionEvent::Superseded;
    }
    let deadline = now() + PROMOTE_TIMEOUT;
    while now() < deadline {
        let status = query_status(node, &server).await;
        if let Some(status) = status.filter(|status| status.role == Role::Primary) {
            let restoration = Restoration::new(plan.group.clone(), fence, status.term);
            let others = known_servers(node, &plan.group).into_iter().filter(|other| other.name != server);
            for other in others {
                seam::spawn(restoration.clone().run(node.clone(), other.name.clone()));
            }
            return PromotionEvent::ServerPromoted(server);
        }
        seam::sleep(STATUS_INTERVAL).await;
    }
    PromotionEvent::ServerNotPromoted(server)
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
        None => PromotionEvent::AcknowledgedAtLeast(commits.at_least),
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
