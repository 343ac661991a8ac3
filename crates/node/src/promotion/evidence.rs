//! What this node and others see of a group's primary.
use super::group_state::GroupState;
use crate::node::Node;
use quincehatch_core::{Millis, Name};
use quincehatch_failover::observation::{GroupObservation, PromotionNeed};
use quincehatch_failover::votes::{FailureVotes, PrimaryObservation, SuspectedFailure};
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_proxy::registry::{ServerEntry, StatusRecord};
use quincehatch_runtime::{now, seam};
use std::sync::Arc;

/// The least time between two reports of one stall.
const REPORT_INTERVAL: Millis = 500;
/// Statements answered within this time speak against a stall.
const ANSWERING_WINDOW: Millis = 2_000;
/// Nodes asked whether a direct server is unresponsive to them too.
const MAX_WITNESSES: usize = 15;

/// What this node sees of a server.
pub fn observe_server(node: &Node, server: &str) -> PrimaryObservation {
    let Some(server) = node.proxy.registry.server(server) else {
        return PrimaryObservation::default();
    };
    let failing = server.status.lock().unwrap().failing_since.is_some();
    let health = server.health.lock().unwrap();
    PrimaryObservation {
        server_known: true,
        failing,
        stalled: health.stalled_for(now()).is_some(),
        answering: health.overdue.answered_within(now(), ANSWERING_WINDOW),
    }
}

/// What is observed of a group whatever its kind, before anything of the primary's server.
pub(super) fn observe_group(
    node: &Node,
    group: &Name,
    state: &GroupState,
    servers: &[Arc<ServerEntry>],
) -> GroupObservation {
    GroupObservation {
        primary: state.primary.clone(),
        primary_unchanged_for: now().saturating_sub(state.primary_since),
        since_other_promotion: state.since_other_promotion(),
        servers: servers.iter().map(|server| server.name.clone()).collect(),
        handover_requested: node.promotion_state.is_handover_requested(group),
        ..Default::default()
    }
}

/// Adds what is observed of the primary's server whatever its kind. Returns its status record.
pub(super) fn observe_primary(
    node: &Node,
    group: &Name,
    primary: &ServerEntry,
    observation: &mut GroupObservation,
) -> StatusRecord {
    let status = primary.status.lock().unwrap().clone();
    observation.failing_for = status.failing_since.map(|since| now().saturating_sub(since));
    observation.connection_refused = status.refused;
    observation.draining = primary.is_draining();
    let reported = node.promotion_state.suspected_for(group, &primary.name);
    let measured = primary.health.lock().unwrap().stalled_for(now());
    observation.stalled_for = reported.max(measured);
    status
}

/// Reports a stall of the primary to the owner of the group's duty, which may have no requests there.
pub(super) fn report_stall(node: &Arc<Node>, group: &Name, duty_owner: &Name, state: &mut GroupState) {
    let Some(server) = state.primary_server() else { return };
    let reported_lately = now() < state.suspicion_reported_at + REPORT_INTERVAL;
    if reported_lately || !observe_server(node, &server).stalled {
        return;
    }
    state.suspicion_reported_at = now();
    let query = NodeQuery::SuspectPrimary { group: group.clone(), server };
    let (node, duty_owner) = (node.clone(), duty_owner.clone());
    seam::spawn(async move {
        let _ = node.gossip.query(&duty_owner, query).await;
    });
}

/// Asks other nodes what they see of the primary's server, and whether they confirm its failure.
async fn others_confirm(
    node: &Arc<Node>,
    observation: &GroupObservation,
    suspected: SuspectedFailure,
) -> bool {
    let assigned = observation.primary.as_ref().and_then(|assignment| assignment.server.clone());
    let Some(server) = assigned else { return false };
    let mut others = node.gossip.other_live_names();
    // Each node probes a direct server anew, over a connection of its own: some of many nodes are enough.
    if suspected == SuspectedFailure::Unresponsive && node.has_direct_servers() {
        fastrand::shuffle(&mut others);
        others.truncate(MAX_WITNESSES);
    }
    let mut votes = FailureVotes::new(suspected, observe_server(node, &server), others.len());
    for (_, reply) in node.gossip.query_all(others, NodeQuery::ServerEvidence { server }).await {
        if let Some(NodeReply::ServerEvidence { heard, failing, stalled, answering }) = reply {
            votes.add(PrimaryObservation { server_known: heard, failing, stalled, answering });
        }
    }
    votes.is_confirmed()
}

/// What remains of a need once other nodes were asked, if it is to be confirmed: a promotion now, or nothing.
/// `primary_failed`: the primary fails its status probes, as opposed to stalling.
pub(super) async fn confirm_need(
    node: &Arc<Node>,
    observation: &GroupObservation,
    need: PromotionNeed,
    primary_failed: bool,
) -> PromotionNeed {
    if need != PromotionNeed::Confirm {
        return need;
    }
    let suspected = if primary_failed { SuspectedFailure::Unresponsive } else { SuspectedFailure::Stalled };
    if others_confirm(node, observation, suspected).await {
        PromotionNeed::Now { planned: false }
    } else {
        PromotionNeed::Nothing
    }
}
