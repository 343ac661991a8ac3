//! Executes the actions of one promotion: its calls to the store, the servers and the platform.
use super::fence::{FenceOutcome, FenceRequest, acquire_fence};
use super::{direct, pooled};
use crate::node::Node;
use quincehatch_core::{ErrorCode, Name, PrimaryAssignment};
use quincehatch_failover::promotion::{Phase, Promotion, PromotionAction, PromotionEvent, PromotionPlan};
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_runtime::{now, seam};
use quincehatch_store::store::promotion_role_key;
use quincehatch_store::{Answer, Command, PrimaryState};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

const WRITE_TIMEOUT: Duration = Duration::from_secs(8);
/// The interval at which a promotion is stepped while no event arrives.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a promotion until it has succeeded or failed.
pub(super) async fn run_promotion(node: Arc<Node>, plan: PromotionPlan) {
    let started_at = now();
    let mut phase_started_at = started_at;
    let group = plan.group.clone();
    let (mut promotion, actions) = Promotion::new(started_at, plan.clone());
    let (completed_sender, mut completed) = mpsc::unbounded_channel();
    let mut executor =
        Executor { node: node.clone(), plan, completed: completed_sender, in_flight: BTreeSet::new() };
    executor.start_actions(actions);
    while !promotion.is_finished() {
        let event = match seam::timeout(TICK_INTERVAL, completed.recv()).await {
            Ok(Some(CompletedAction { request, event })) => {
                executor.in_flight.remove(&request);
                event
            }
            _ => PromotionEvent::Tick,
        };
        let phase = promotion.phase;
        let actions = promotion.step(now(), event);
        if promotion.phase != phase {
            node.promotion_state.counts.record_phase(phase, now() - phase_started_at);
            phase_started_at = now();
        }
        executor.start_actions(actions);
    }
    let (phase, elapsed) = (promotion.phase, now() - started_at);
    if phase == Phase::Done {
        node.promotion_state.record_completed_fence(&group, promotion.fence);
    }
    node.promotion_state.counts.record_outcome(phase.label());
    let reason = promotion.failure().map(|failure| format!(": {failure}")).unwrap_or_default();
    let line = format!("promotion in {group} ended {phase:?} after {elapsed} ms{reason}");
    node.promotion_state.record_event(line);
}

/// An action whose execution has ended.
struct CompletedAction {
    request: String,
    event: PromotionEvent,
}

/// Executes each action in a task of its own and sends the resulting event to `completed`.
struct Executor {
    node: Arc<Node>,
    plan: PromotionPlan,
    completed: mpsc::UnboundedSender<CompletedAction>,
    /// The names of the requests in flight. The promotion repeats an action until its event arrives; a repetition is
    /// ignored while the same request is in flight.
    in_flight: BTreeSet<String>,
}

impl Executor {
    fn start_actions(&mut self, actions: Vec<PromotionAction>) {
        for action in actions {
            match request_name(&action) {
                Some(request) => self.start(request, action),
                None => self.record(&action),
            }
        }
    }

    fn start(&mut self, request: String, action: PromotionAction) {
        if !self.in_flight.insert(request.clone()) {
            return;
        }
        let (node, plan, completed) = (self.node.clone(), self.plan.clone(), self.completed.clone());
        seam::spawn(async move {
            let event = execute_action(&node, &plan, action).await;
            let _ = completed.send(CompletedAction { request, event });
        });
    }

    fn record(&self, action: &PromotionAction) {
        if let PromotionAction::Log(line) = action {
            self.node.promotion_state.record_event(line.clone());
            // The simulator may kill or pause this process at this point.
            seam::trace_point(line);
        }
    }
}

/// Returns the name of the request that an action makes; actions of the same name make the same request. `None` for an
/// action that makes no request.
fn request_name(action: &PromotionAction) -> Option<String> {
    match action {
        PromotionAction::Log(_) => None,
        PromotionAction::AcquireFence { .. } => Some("fence".to_owned()),
        PromotionAction::WritePrimary { key, .. } => Some(key.to_string()),
        PromotionAction::FenceServer { server, .. } => Some(format!("fence {server}")),
        PromotionAction::PromoteServer { server, .. } => Some(format!("promote {server}")),
        PromotionAction::CountInFlight => Some("count".to_owned()),
        PromotionAction::QueryAcknowledged { .. } => Some("acknowledged".to_owned()),
        PromotionAction::ListServers => Some("list".to_owned()),
    }
}

async fn execute_action(node: &Arc<Node>, plan: &PromotionPlan, action: PromotionAction) -> PromotionEvent {
    let is_direct = node.has_direct_servers();
    match action {
        PromotionAction::AcquireFence { key } => acquire_promotion_fence(node, plan, &key).await,
        PromotionAction::WritePrimary { key, primary } => write_primary(node, plan, &key, primary).await,
        PromotionAction::FenceServer { server, .. } if is_direct => {
            direct::suspend_for_promotion(node, plan, server).await
        }
        PromotionAction::FenceServer { server, fence } => pooled::fence_server(node, server, fence).await,
        // The promotion that acquired a higher token assigns its own server: a call under this token would only disturb
        // the group.
        PromotionAction::PromoteServer { fence, .. }
            if node.feed_state.lock().unwrap().fence(&promotion_role_key(&plan.group)) > fence =>
        {
            PromotionEvent::Superseded
        }
        PromotionAction::PromoteServer { server, fence, .. } if is_direct => {
            direct::promote_server(node, plan, server, fence).await
        }
        PromotionAction::PromoteServer { server, fence, voters } => {
            pooled::promote_server(node, plan, server, fence, &voters).await
        }
        PromotionAction::CountInFlight => {
            let counted = count_in_flight(node, &plan.group).await;
            if is_direct { direct::await_caught_up_replica(node, plan, counted).await } else { counted }
        }
        PromotionAction::QueryAcknowledged { fence } => direct::query_acknowledged(node, plan, fence).await,
        PromotionAction::ListServers => direct::list_servers(node, plan),
        PromotionAction::Log(_) => PromotionEvent::Tick,
    }
}

async fn acquire_promotion_fence(node: &Node, plan: &PromotionPlan, key: &Name) -> PromotionEvent {
    let expected = PrimaryState { fence: plan.expected_fence, primary: plan.primary.clone() };
    let request = FenceRequest { key, group: &plan.group, coordinator: &plan.coordinator, expected };
    match acquire_fence(node, request, WRITE_TIMEOUT).await {
        FenceOutcome::Granted(fence) => PromotionEvent::FenceAcquired(fence),
        FenceOutcome::Superseded => PromotionEvent::Superseded,
        FenceOutcome::Unknown => PromotionEvent::Tick,
    }
}

async fn write_primary(
    node: &Node,
    plan: &PromotionPlan,
    key: &Name,
    primary: PrimaryAssignment,
) -> PromotionEvent {
    let names_server = primary.server.is_some();
    let has_voters = !primary.voters.is_empty();
    let command = Command::AssignPrimary { group: plan.group.clone(), primary };
    match node.store_client.write(key, command, WRITE_TIMEOUT).await {
        Ok(Answer::Primary(_)) if names_server => PromotionEvent::PrimaryAnnounced,
        Ok(Answer::Primary(_)) if has_voters => PromotionEvent::VotersRecorded,
        Ok(Answer::Primary(stored)) => PromotionEvent::PrimaryClosed(stored),
        Err(error) if error.has_code(ErrorCode::StaleFence) => PromotionEvent::Superseded,
        Ok(_) | Err(_) => PromotionEvent::Tick,
    }
}

/// Queries the nodes for the group's requests in flight. Returns `Drained` once all nodes report none. A node that does
/// not answer may have requests in flight; the promotion's drain timeout ends the wait for it.
async fn count_in_flight(node: &Node, group: &Name) -> PromotionEvent {
    let query = NodeQuery::InFlight { group: group.clone() };
    let mut names = node.gossip.live_names();
    // A node that is leaving stays enrolled while it has requests in flight.
    let enrolled = node.feed_state.lock().unwrap().nodes.clone();
    names.extend(node.gossip.leaving_names().into_iter().filter(|name| enrolled.contains_key(name)));
    let replies = node.gossip.query_all(names, query).await;
    let is_idle = |reply: &Option<NodeReply>| matches!(reply, Some(NodeReply::InFlight { count: 0 }));
    let all_idle = replies.iter().all(|(_, reply)| is_idle(reply));
    if all_idle { PromotionEvent::Drained } else { PromotionEvent::Tick }
}
