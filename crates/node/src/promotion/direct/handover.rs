//! A planned handover in a direct group with sync replicas: the old primary serves until its successor is promoted, so
//! requests are queued only while the new assignment is written.
use super::super::fence::{FenceOutcome, FenceRequest, acquire_fence};
use super::handover_participants::all_nodes_join;
use super::repair::Restoration;
use super::server_calls::{query_status, suspend};
use crate::node::Node;
use quincehatch_core::{FencingToken, Millis, Name, PrimaryAssignment, Role};
use quincehatch_failover::promotion::PromotionPlan;
use quincehatch_proxy::ports::{PromotionOutcome, ServerPorts};
use quincehatch_runtime::{now, seam};
use quincehatch_store::{Command, PrimaryState};
use std::sync::Arc;
use std::time::Duration;

const WRITE_TIMEOUT: Duration = Duration::from_secs(6);
/// The successor must have received what the primary had within this time, or the handover fails.
const CATCH_UP_TIMEOUT: Millis = 600;
/// The successor must become the primary within this time after the request to the platform, or the handover fails.
const PROMOTE_TIMEOUT: Millis = 2_000;
/// The platform must answer within this time, or the handover fails.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(500);
const STATUS_INTERVAL: Duration = Duration::from_millis(20);

/// How a handover ended.
pub(super) enum HandoverOutcome {
    /// The successor is assigned.
    Done,
    /// The handover could not begin or did not succeed. The old primary is either unchanged, or no longer the primary.
    Abandoned {
        /// Whether the platform was requested to promote the successor, which it may still do.
        platform_called: bool,
    },
}

/// The outcome of a handover that has not called the platform.
const NOT_BEGUN: HandoverOutcome = HandoverOutcome::Abandoned { platform_called: false };

/// Hands the group's primary role over to a successor. If that does not succeed, the old primary is to be replaced like a
/// failed one.
///
/// At every moment, whichever server a call to the platform may still promote holds each commit that a client was told
/// of, or may yet be told of:
/// - Every node that may acknowledge commits takes part before the call, and from then on acknowledges only what the
///   successor has reported to hold ([`all_nodes_join`]). So it does not matter which servers confirm a commit to the old
///   primary: one that is not registered yet, or a replica that was suspended and has restarted.
/// - What was acknowledged before that is in the old primary's log, and the successor has received that log up to its end
///   at that moment before the call.
/// - A call that is not answered may be carried out at any later time, until the platform has seen a higher token. Until
///   the assignment is closed the nodes acknowledge as before, also if this node stops; the promotion that follows closes
///   it. No other handover begins under an assignment for which a token was issued ([`is_token_unused`]).
///
/// The other replicas are suspended so that the old primary confirms few commits that the successor lacks; these are in
/// doubt when it leads. No node sends requests to the successor before it is assigned, so nothing is acknowledged that a
/// read at the old primary could miss. The successor is assigned only after the old primary's assignment is closed at
/// every node.
pub(super) async fn hand_over(node: &Arc<Node>, plan: &PromotionPlan) -> HandoverOutcome {
    let (Some(old_primary), Some(group), Some(ports)) = (&plan.old_primary, &plan.sync_group, &node.ports)
    else {
        return NOT_BEGUN;
    };
    if group.sync_replicas == 0 {
        return NOT_BEGUN;
    }
    let started_at = now();
    let Some(successor) = choose_successor(node, plan, old_primary).await else { return NOT_BEGUN };
    let other_replicas: Vec<Name> =
        group.holders.iter().filter(|holder| **holder != successor).cloned().collect();
    let Some(fence) = acquire_handover_fence(node, plan).await else { return NOT_BEGUN };
    let handover = Handover { node, plan, old_primary, successor, other_replicas, fence };
    let is_ready = handover.prepare().await;
    if !is_ready || !handover.promote_successor(ports).await {
        let line =
            format!("the primary of {} could not be handed over to {}", plan.group, handover.successor);
        node.promotion_state.record_event(line);
        return HandoverOutcome::Abandoned { platform_called: is_ready };
    }
    seam::trace_point("handover: the successor is promoted");
    let assigned = handover.assign_successor().await;
    node.promotion_state.counts.record_outcome(if assigned { "handed_over" } else { "handover_failed" });
    let line = format!(
        "the primary of {} was handed over to {} under fence {fence} in {} ms",
        plan.group,
        handover.successor,
        now() - started_at
    );
    node.promotion_state.record_event(line);
    if !assigned {
        return HandoverOutcome::Abandoned { platform_called: true };
    }
    handover.resume_other_replicas();
    HandoverOutcome::Done
}

/// Whether no token was issued since the group's assignment. Otherwise a promotion that was begun may still be carried
/// out, also after its coordinator has stopped: until the assignment is closed no other handover may begin, and no
/// suspended replica may be resumed, as each could let a commit be acknowledged that the promoted server lacks.
pub(super) fn is_token_unused(latest_fence: FencingToken, primary: Option<&PrimaryAssignment>) -> bool {
    primary.is_some_and(|assignment| assignment.fence == latest_fence)
}

/// Chooses the successor from the replicas that answer and are not draining: the preferred one, or else the one whose
/// received log has the highest end.
async fn choose_successor(node: &Node, plan: &PromotionPlan, old_primary: &Name) -> Option<Name> {
    let draining = plan.sync_group.as_ref().map_or(&[][..], |group| &group.draining);
    let eligible: Vec<&Name> =
        plan.servers.iter().filter(|server| *server != old_primary && !draining.contains(server)).collect();
    let statuses = seam::join_all(eligible.iter().map(|server| query_status(node, server))).await;
    let mut answered = Vec::new();
    for (server, status) in eligible.into_iter().zip(statuses) {
        if let Some(status) = status {
            answered.push((server, status.received));
        }
    }
    let preferred = answered.iter().find(|(server, _)| Some(*server) == plan.preferred.as_ref());
    let chosen = preferred.or_else(|| answered.iter().max_by_key(|(_, received)| *received));
    chosen.map(|(server, _)| (*server).clone())
}

/// Acquires the handover's fencing token under an idempotency key of its own. If the handover fails, the promotion that
/// follows must acquire another token, because the platform may already have been requested to promote the successor
/// under this one.
async fn acquire_handover_fence(node: &Node, plan: &PromotionPlan) -> Option<FencingToken> {
    let key = format!("{}/hand", plan.attempt);
    let expected = PrimaryState { fence: plan.expected_fence, primary: plan.primary.clone() };
    let request = FenceRequest { key: &key, group: &plan.group, coordinator: &plan.coordinator, expected };
    match acquire_fence(node, request, WRITE_TIMEOUT).await {
        FenceOutcome::Granted(fence) => Some(fence),
        FenceOutcome::Superseded | FenceOutcome::Unknown => None,
    }
}

/// A handover whose successor is chosen and whose fencing token is acquired.
struct Handover<'a> {
    node: &'a Arc<Node>,
    plan: &'a PromotionPlan,
    old_primary: &'a Name,
    successor: Name,
    /// The servers other than the old primary and the successor that may hold acknowledged commits.
    other_replicas: Vec<Name>,
    fence: FencingToken,
}

impl Handover<'_> {
    /// Brings about that the successor holds all that is or may be acknowledged from now on. Returns false if that takes
    /// too long.
    async fn prepare(&self) -> bool {
        let (node, plan) = (self.node, self.plan);
        if !all_nodes_join(node, &plan.group, self.fence, &self.successor).await {
            return false;
        }
        let suspensions = self.other_replicas.iter().map(|other| suspend(node, other, &plan.servers));
        let suspended = seam::join_all(suspensions).await;
        let is_ready = suspended.iter().all(Option::is_some) && self.successor_caught_up().await;
        seam::trace_point("handover: other replicas are suspended");
        is_ready
    }

    async fn promote_successor(&self, ports: &ServerPorts) -> bool {
        let (group, coordinator) = (self.plan.group.clone(), self.plan.coordinator.clone());
        let call = ports.promoter.promote(group, self.successor.clone(), coordinator, self.fence);
        let outcome = seam::timeout(PLATFORM_TIMEOUT, call).await;
        seam::trace_point("handover: the promotion is requested");
        // Without an answer the assignment is closed at once: the call may be carried out late.
        outcome == Ok(PromotionOutcome::Done) && self.successor_is_primary().await
    }

    /// Waits until the successor has received what the old primary has now. Returns false if it does not in time.
    async fn successor_caught_up(&self) -> bool {
        let status = query_status(self.node, self.old_primary).await;
        let Some(primary_status) = status.filter(|status| status.role == Role::Primary) else {
            return false;
        };
        let deadline = now() + CATCH_UP_TIMEOUT;
        while now() < deadline {
            let status = query_status(self.node, &self.successor).await;
            if status.is_some_and(|status| status.received >= primary_status.received) {
                return true;
            }
            seam::sleep(STATUS_INTERVAL).await;
        }
        false
    }

    /// Waits until the successor reports that it is the primary. Returns false if it does not in time.
    async fn successor_is_primary(&self) -> bool {
        let deadline = now() + PROMOTE_TIMEOUT;
        while now() < deadline {
            let status = query_status(self.node, &self.successor).await;
            if status.is_some_and(|status| status.role == Role::Primary) {
                return true;
            }
            seam::sleep(STATUS_INTERVAL).await;
        }
        false
    }

    /// Closes the old assignment at every node, then assigns the successor.
    async fn assign_successor(&self) -> bool {
        // The closing write must carry no voters: a write with voters is answered once it is committed, which is before
        // it is in force at every node.
        let closed = self.write_primary("close", None, Vec::new()).await;
        closed && self.write_primary("name", Some(self.successor.clone()), self.plan.voters.clone()).await
    }

    async fn write_primary(&self, step: &str, server: Option<Name>, voters: Vec<Name>) -> bool {
        let primary = PrimaryAssignment {
            fence: self.fence,
            server,
            demoted: self.plan.old_primary.clone(),
            assigned_by: self.plan.coordinator.clone(),
            voters,
            previous_voters: Vec::new(),
        };
        let key = format!("{}/{step}", self.plan.attempt);
        let command = Command::AssignPrimary { group: self.plan.group.clone(), primary };
        self.node.store_client.write(&key, command, WRITE_TIMEOUT).await.is_ok()
    }

    fn resume_other_replicas(&self) {
        let restoration = Restoration::new(self.plan.group.clone(), self.fence, 0);
        for other in &self.other_replicas {
            seam::spawn(restoration.clone().run(self.node.clone(), other.clone()));
        }
    }
}
