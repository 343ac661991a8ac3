//! One promotion's questions where servers are met over held links (§3.6, §5.5).
use crate::ClusterNode;
use crate::server_queries::{self, ask};
use quincehatch_core::{FencingToken, Name, Role};
use quincehatch_failover::promotion::{PromotionEvent, PromotionPlan};
use quincehatch_proxy::ports::{PromotionOutcome, ServerCall};
use quincehatch_runtime::{now, seam};
use std::sync::Arc;
use std::time::Duration;

/// A server that was named to the platform leads within so long, or is named again.
const LEADS_WITHIN: u64 = 1_200;
const AGAIN: Duration = Duration::from_millis(60);

pub async fn stand_still(f: &ClusterNode, plan: &PromotionPlan, server: Name) -> PromotionEvent {
    server_queries::stand_still(f, &server, &plan.servers)
        .await
        .map_or(PromotionEvent::Tick, |end| PromotionEvent::ServerFenced(server, end))
}

/// Names it to the platform and sees it lead: before that it declines all work.
pub async fn promote_one(
    f: &Arc<ClusterNode>,
    plan: &PromotionPlan,
    server: Name,
    fence: FencingToken,
) -> PromotionEvent {
    let Some(ports) = &f.ports else { return PromotionEvent::ServerNotPromoted(server) };
    let said =
        ports.promoter.promote(plan.group.clone(), server.clone(), plan.coordinator.clone(), fence).await;
    if said == PromotionOutcome::Rejected {
        return PromotionEvent::Superseded;
    }
    let until = now() + LEADS_WITHIN;
    while now() < until {
        if let Some(l) = ask(f, &server, ServerCall::Status).await.filter(|l| l.role == Role::Primary) {
            for s in plan.servers.iter().filter(|s| **s != server).cloned() {
                seam::spawn(follow(f.clone(), s, l.term));
            }
            return PromotionEvent::ServerPromoted(server);
        }
        seam::sleep(AGAIN).await;
    }
    PromotionEvent::ServerNotPromoted(server)
}

/// A replica that is held receives again, from whoever leads in `term`; a primary of a lower term leads no more.
pub async fn follow(f: Arc<ClusterNode>, server: Name, term: u64) {
    let Some(l) = ask(&f, &server, ServerCall::Status).await else { return };
    let call = match l.role {
        Role::Primary if l.term < term => ServerCall::Demote { term },
        Role::Replica if l.suspended_term > 0 => ServerCall::Resume,
        _ => return,
    };
    f.promotion_state.record_event(format!("server {server} is told {call:?}, as another leads term {term}"));
    ask(&f, &server, call).await;
}

/// A hand-over goes on once nothing is under way and some server that stays has all that the lead has.
pub async fn drained(f: &ClusterNode, plan: &PromotionPlan, counted: PromotionEvent) -> PromotionEvent {
    let Some(old) = plan.old_primary.as_ref().filter(|_| counted == PromotionEvent::Drained) else {
        return counted;
    };
    let leaving = plan.sync_group.as_ref().map_or(&[][..], |s| &s.leaving);
    let heirs = plan.servers.iter().filter(|s| *s != old && !leaving.contains(s));
    let Some(all) = ask(f, old, ServerCall::Status).await.map(|l| l.received) else {
        return PromotionEvent::Drained;
    };
    let looks = seam::join_all(heirs.map(|s| ask(f, s, ServerCall::Status))).await;
    if looks.iter().flatten().any(|l| l.received >= all) {
        PromotionEvent::Drained
    } else {
        PromotionEvent::Tick
    }
}

pub async fn acked(f: &Arc<ClusterNode>, plan: &PromotionPlan) -> PromotionEvent {
    let Some(lead) = plan.sync_group.as_ref().and_then(|s| s.lead) else { return PromotionEvent::Tick };
    // The close that is in force by now is of a higher fence than the lead's.
    crate::acknowledged::acked(f, &plan.group, lead, lead + 1)
        .await
        .map_or(PromotionEvent::Tick, PromotionEvent::AcknowledgedUpTo)
}
