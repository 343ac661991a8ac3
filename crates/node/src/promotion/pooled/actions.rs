//! Actions of a promotion that call pooled servers or the platform.
use crate::node::Node;
use quincehatch_core::{FencingToken, Name};
use quincehatch_failover::promotion::{PromotionEvent, PromotionPlan};
use quincehatch_proxy::platform_api::{self, PromotionCandidate, PromotionOutcome};
use quincehatch_proxy::server_protocol::{FENCE_LOW, call};
use quincehatch_runtime::seam;
use quincehatch_wire::http::post_once;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Makes a server reject lower fencing tokens.
pub(crate) async fn fence_server(node: &Node, server: Name, fence: FencingToken) -> PromotionEvent {
    let Some(entry) = node.proxy.registry.server(&server) else { return PromotionEvent::Tick };
    if seam::injected_bug("unfenced") {
        return PromotionEvent::ServerFenced(server, entry.heartbeat.read().unwrap().log_end);
    }
    let request = call::fence(fence);
    let Some(reply) = node.proxy.call_once(&entry.addr(), &request, CALL_TIMEOUT).await else {
        return PromotionEvent::Tick;
    };
    if reply.has_error_code(FENCE_LOW) {
        return PromotionEvent::Superseded;
    }
    let status = reply.status().filter(|status| status.stamp.server == server && status.stamp.fence == fence);
    match status {
        Some(status) => PromotionEvent::ServerFenced(server, status.log_end()),
        // Another server is at this address, or the server is under another token.
        None => PromotionEvent::Tick,
    }
}

/// Requests the platform to make a server the primary.
pub(crate) async fn promote_server(
    node: &Node,
    plan: &PromotionPlan,
    server: Name,
    fence: FencingToken,
    voters: &[Name],
) -> PromotionEvent {
    let Some(entry) = node.proxy.registry.server(&server) else {
        return PromotionEvent::ServerNotPromoted(server);
    };
    let candidate = PromotionCandidate { group: &plan.group, server: &server, addr: &entry.addr() };
    let request = platform_api::promote(&candidate, fence, &plan.coordinator, voters);
    let response = post_once(&node.proxy.settings.platform, request.path, &request.body, CALL_TIMEOUT).await;
    let http_status = response.ok().map(|(http_status, _)| http_status);
    match platform_api::promotion_outcome(http_status) {
        PromotionOutcome::Done => PromotionEvent::ServerPromoted(server),
        PromotionOutcome::Superseded => PromotionEvent::Superseded,
        PromotionOutcome::InDoubt => PromotionEvent::ServerNotPromoted(server),
    }
}
