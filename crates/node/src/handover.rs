//! A planned hand-over among servers with sync replicas (§5.5): the old lead serves until the very moment in which the
//! heir leads, so that nothing is held meanwhile but for the naming.
use crate::ClusterNode;
use crate::fencing::{Taken, next_fence};
use crate::held_promotion::follow;
use crate::server_queries::{self, ask};
use quincehatch_core::{FencingToken, Millis, Name, Position, PrimaryAssignment, Role};
use quincehatch_failover::promotion::PromotionPlan;
use quincehatch_proxy::ports::{PromotionOutcome, ServerCall};
use quincehatch_runtime::{now, seam};
use quincehatch_store::{Command, PrimaryState};
use std::sync::Arc;
use std::time::Duration;

const WRITE: Duration = Duration::from_secs(6);
/// An heir that has not all the lead had in this time is none.
const CATCH_UP: Millis = 600;
/// It leads within so long of being named to the platform.
const LEADS: Millis = 2_000;
const AGAIN: Duration = Duration::from_millis(20);

/// Hands the lead over. False where it could not be begun so, or came to no end: the lead stands as it was, or leads no
/// more and is replaced like one that broke down.
///
/// All replicas but the heir stand still first. From then on nothing is acknowledged that the heir has not received;
/// once it has what the lead had in that moment it has all that is, whenever it takes over. Until it is named no node
/// sends anything there, so nothing is acknowledged that a read at the old lead could miss; and it is named only after
/// the old lead is closed at every node.
pub async fn over(f: &Arc<ClusterNode>, plan: &PromotionPlan) -> bool {
    let (Some(old), Some(group), Some(ports)) = (&plan.old_primary, &plan.sync_group, &f.ports) else {
        return false;
    };
    if group.n == 0 {
        return false;
    }
    let began = now();
    let Some(heir) = heir(f, plan, old).await else { return false };
    let others: Vec<Name> = group.holders.iter().filter(|h| **h != heir).cloned().collect();
    let Some(fence) = take_fence(f, plan).await else { return false };
    let still = seam::join_all(others.iter().map(|o| server_queries::stand_still(f, o, &plan.servers))).await;
    let whole = still.iter().all(Option::is_some) && caught_up(f, old, &heir).await;
    seam::trace_point("hand-over: others stand still");
    let done = whole && {
        let said =
            ports.promoter.promote(plan.group.clone(), heir.clone(), plan.coordinator.clone(), fence).await;
        said != PromotionOutcome::Rejected && leads(f, &heir).await
    };
    if !done {
        for o in others {
            seam::spawn(follow(f.clone(), o, 0));
        }
        f.promotion_state
            .record_event(format!("the lead of {} could not be handed over to {heir}", plan.group));
        return false;
    }
    seam::trace_point("hand-over: the heir leads");
    let lead = |server: Option<Name>| {
        // A close brings no list: an entry that does is answered once it is committed, not in force everywhere.
        let counts = if server.is_some() { plan.voters.clone() } else { vec![] };
        let (closed, by) = (plan.old_primary.clone(), plan.coordinator.clone());
        PrimaryAssignment {
            fence,
            server,
            demoted: closed,
            assigned_by: by,
            voters: counts,
            previous_voters: vec![],
        }
    };
    let closed = set(f, plan, "close", lead(None)).await;
    let named = closed && set(f, plan, "name", lead(Some(heir.clone()))).await;
    let took = now() - began;
    f.promotion_state.record_event(format!(
        "the lead of {} was handed over to {heir} under fence {fence} in {took} ms",
        plan.group
    ));
    for o in others {
        seam::spawn(follow(f.clone(), o, 0));
    }
    named
}

/// The replica with the highest log among those that stay.
async fn heir(f: &ClusterNode, plan: &PromotionPlan, old: &Name) -> Option<Name> {
    let leaving = plan.sync_group.as_ref().map_or(&[][..], |s| &s.leaving);
    let may: Vec<&Name> = plan.servers.iter().filter(|s| *s != old && !leaving.contains(s)).collect();
    let looks = seam::join_all(may.iter().map(|s| ask(f, s, ServerCall::Status))).await;
    let of = |(s, l): (&&Name, Option<quincehatch_proxy::ports::ServerStatus>)| {
        l.map(|l| (l.received, (*s).clone()))
    };
    let all: Vec<(Position, Name)> = may.iter().zip(looks).filter_map(of).collect();
    let wanted = plan.preferred.as_ref().and_then(|w| all.iter().find(|(_, s)| s == w));
    wanted.or_else(|| all.iter().max_by_key(|(end, _)| *end)).map(|(_, s)| s.clone())
}

/// Under a key of its own: a promotion that goes on where this came to no end takes another fence, as the platform may
/// have been told of the heir under this one.
async fn take_fence(f: &ClusterNode, plan: &PromotionPlan) -> Option<FencingToken> {
    let over = PrimaryState { fence: plan.expected_fence, primary: plan.primary.clone() };
    match next_fence(f, &format!("{}/hand", plan.attempt), &plan.group, &plan.coordinator, over, WRITE).await
    {
        Taken::Fence(fence) => Some(fence),
        Taken::TooLate | Taken::InDoubt => None,
    }
}

async fn set(f: &ClusterNode, plan: &PromotionPlan, what: &str, lead: PrimaryAssignment) -> bool {
    let cmd = Command::AssignPrimary { group: plan.group.clone(), primary: lead };
    f.store_client.write(&format!("{}/{what}", plan.attempt), cmd, WRITE).await.is_ok()
}

/// Has the heir received what the old lead has by now?
async fn caught_up(f: &ClusterNode, old: &Name, heir: &Name) -> bool {
    let Some(all) = ask(f, old, ServerCall::Status).await.filter(|l| l.role == Role::Primary) else {
        return false;
    };
    let until = now() + CATCH_UP;
    while now() < until {
        if ask(f, heir, ServerCall::Status).await.is_some_and(|l| l.received >= all.received) {
            return true;
        }
        seam::sleep(AGAIN).await;
    }
    false
}

async fn leads(f: &ClusterNode, heir: &Name) -> bool {
    let until = now() + LEADS;
    while now() < until {
        if ask(f, heir, ServerCall::Status).await.is_some_and(|l| l.role == Role::Primary) {
            return true;
        }
        seam::sleep(AGAIN).await;
    }
    false
}
