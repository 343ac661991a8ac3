//! Failure evidence: what this node and other nodes observe of a group's primary.
use super::group_state::GroupState;
use crate::node::Node;
use quincehatch_core::{Millis, Name};
use quincehatch_failover::observation::{GroupObservation, PromotionNeed};
use quincehatch_failover::votes::{FailureVotes, PrimaryObservation, SuspectedFailure};
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_proxy::registry::{ServerEntry, StatusRecord};
use quincehatch_runtime::{now, seam};
use std::sync::Arc;

/// The minimum time between two reports of the same stall.
const STALL_REPORT_INTERVAL: Millis = 500;
/// A server that answered statements within this time counts as not stalled.
const RECENT_REPLY_WINDOW: Millis = 2_000;
/// The maximum number of nodes queried whether a direct server is unresponsive to them too.
const MAX_QUERIED_PEERS: usize = 15;

/// Returns what this node observes of a server.
pub fn observe_server(node: &Node, server: &str) -> PrimaryObservation {
    let Some(server) = node.proxy.registry.server(server) else {
        return PrimaryObservation::default();
    };
    let failing = server.status.lock().unwrap().failing_since.is_some();
    let health = server.health.lock().unwrap();
    PrimaryObservation {
        server_known: true,
        failing,
        stalled: health.stall_duration(now()).is_some(),
        answering: health.overdue.answered_within(now(), RECENT_REPLY_WINDOW),
    }
}

/// Returns the observations common to pooled and direct groups, without those of the primary's server.
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

/// Adds the observations of the primary's server that are common to pooled and direct groups. Returns its status
/// record.
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
    let reported = node.promotion_state.reported_stall_duration(group, &primary.name);
    let measured = primary.health.lock().unwrap().stall_duration(now());
    observation.stalled_for = reported.max(measured);
    status
}

/// Reports a stall of the primary to the owner of the group's duty. The owner may have no requests in flight at the
/// primary and then cannot observe the stall itself.
pub(super) fn report_stall(node: &Arc<Node>, group: &Name, duty_owner: &Name, state: &mut GroupState) {
    let Some(server) = state.primary_server() else { return };
    let reported_recently = now() < state.stall_reported_at + STALL_REPORT_INTERVAL;
    if reported_recently || !observe_server(node, &server).stalled {
        return;
    }
    state.stall_reported_at = now();
    let query = NodeQuery::SuspectPrimary { group: group.clone(), server };
    let (node, duty_owner) = (node.clone(), duty_owner.clone());
    seam::spawn(async move {
        let _ = node.gossip.query(&duty_owner, query).await;
    });
}

/// Queries other nodes for what they observe of the primary's server. Returns whether they confirm its failure.
async fn is_confirmed_by_peers(
    node: &Arc<Node>,
    observation: &GroupObservation,
    suspected: SuspectedFailure,
) -> bool {
    let assigned = observation.primary.as_ref().and_then(|assignment| assignment.server.clone());
    let Some(server) = assigned else { return false };
    let mut peers = node.gossip.other_live_names();
    // Each queried node probes a direct server again, over a connection of its own, so in a large cluster only a random
    // subset is queried.
    if suspected == SuspectedFailure::Unresponsive && node.has_direct_servers() {
        fastrand::shuffle(&mut peers);
        peers.truncate(MAX_QUERIED_PEERS);
    }
    let mut votes = FailureVotes::new(suspected, observe_server(node, &server), peers.len());
    for (_, reply) in node.gossip.query_all(peers, NodeQuery::ServerEvidence { server }).await {
        if let Some(NodeReply::ServerEvidence { heard, failing, stalled, answering }) = reply {
            votes.add(PrimaryObservation { server_known: heard, failing, stalled, answering });
        }
    }
    votes.is_confirmed()
}

/// Resolves [`PromotionNeed::Confirm`] by querying other nodes: a promotion now if they confirm the failure, else
/// nothing. Returns any other need unchanged. `primary_failed`: the primary fails its status probes, as opposed to
/// stalling.
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
    if is_confirmed_by_peers(node, observation, suspected).await {
        PromotionNeed::Now { planned: false }
    } else {
        PromotionNeed::Nothing
    }
}
