//! Requests to the platform to promote a server, and the proof that the server leads by this request.
use super::commit_holders::known_servers;
use super::repair::Restoration;
use super::server_calls::query_status;
use crate::node::Node;
use quincehatch_core::{FencingToken, Millis, Name, Role};
use quincehatch_failover::promotion::{PromotionEvent, PromotionPlan};
use quincehatch_proxy::ports::{PromotionOutcome, ServerPorts, ServerStatus};
use quincehatch_runtime::{now, seam};
use quincehatch_store::store::promotion_role_key;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The time that a server has to become the primary after the platform accepted the request; then it is repeated.
const PROMOTE_TIMEOUT: Millis = 1_200;
/// The time that the platform has to answer one of the requests under a token.
const ANSWER_TIMEOUT: Millis = 8_000;
/// A request is repeated after this time without an answer. The answer to the first one still counts.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// The pause after a request that failed at once.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// A promotion that the platform accepted takes effect within this time.
const EFFECT_TIME: Duration = Duration::from_millis(1_500);
const STATUS_INTERVAL: Duration = Duration::from_millis(60);

/// Requests the platform to promote a server, and waits until the server is the primary: until then it rejects all
/// requests.
///
/// The server is the primary by this request only if the platform has accepted it: it has then seen the token, and carries
/// out no call of an earlier promotion any more. Without that, a server that leads may do so by an earlier call, and a call
/// between the two may still be carried out for another server, which lacks what is committed from now on.
pub(crate) async fn promote_server(
    node: &Arc<Node>,
    plan: &PromotionPlan,
    server: Name,
    fence: FencingToken,
) -> PromotionEvent {
    let Some(ports) = &node.ports else { return PromotionEvent::ServerNotPromoted(server) };
    match request_until_answered(node, ports, plan, &server, fence).await {
        PromotionOutcome::Rejected => return PromotionEvent::Superseded,
        PromotionOutcome::InDoubt => return PromotionEvent::ServerNotPromoted(server),
        PromotionOutcome::Done => {}
    }
    let Some(status) = await_leadership(node, plan, &server).await else {
        return PromotionEvent::ServerNotPromoted(server);
    };
    let restoration = Restoration::new(plan.group.clone(), fence, status.term);
    let others = known_servers(node, &plan.group).into_iter().filter(|other| other.name != server);
    for other in others {
        seam::spawn(restoration.clone().run(node.clone(), other.name.clone()));
    }
    PromotionEvent::ServerPromoted(server)
}

/// Requests the promotion, again and again, until the platform has accepted or rejected it, a higher token is issued, or
/// [`ANSWER_TIMEOUT`] has passed. The platform accepts a repetition and changes nothing if the server is the primary.
async fn request_until_answered(
    node: &Node,
    ports: &ServerPorts,
    plan: &PromotionPlan,
    server: &Name,
    fence: FencingToken,
) -> PromotionOutcome {
    let (sender, mut answers) = mpsc::unbounded_channel();
    let deadline = now() + ANSWER_TIMEOUT;
    while now() < deadline {
        if node.feed_state.lock().unwrap().fence(&promotion_role_key(&plan.group)) > fence {
            return PromotionOutcome::Rejected;
        }
        let call =
            ports.promoter.promote(plan.group.clone(), server.clone(), plan.coordinator.clone(), fence);
        let sender = sender.clone();
        seam::spawn(async move {
            let _ = sender.send(call.await);
        });
        match seam::timeout(REPEAT_INTERVAL, answers.recv()).await {
            Ok(Some(PromotionOutcome::InDoubt)) => seam::sleep(FAILURE_PAUSE).await,
            Ok(Some(answered)) => return answered,
            _ => {}
        }
    }
    PromotionOutcome::InDoubt
}

/// Waits until the server leads. If calls of earlier promotions may have been accepted that have not taken effect yet, it
/// must still lead the same term once they have.
async fn await_leadership(node: &Node, plan: &PromotionPlan, server: &Name) -> Option<ServerStatus> {
    let status = await_primary_role(node, server).await?;
    if !plan.earlier_calls {
        return Some(status);
    }
    seam::sleep(EFFECT_TIME).await;
    let later = query_status(node, server).await?;
    (later.role == Role::Primary && later.term == status.term).then_some(later)
}

async fn await_primary_role(node: &Node, server: &Name) -> Option<ServerStatus> {
    let deadline = now() + PROMOTE_TIMEOUT;
    while now() < deadline {
        let status = query_status(node, server).await;
        if let Some(status) = status.filter(|status| status.role == Role::Primary) {
            return Some(status);
        }
        seam::sleep(STATUS_INTERVAL).await;
    }
    None
}
