//! Drives one promotion's steps against chain, servers and platform (§5.5).
use crate::fencing::{Taken, next_fence};
use crate::{ClusterNode, held_promotion};
use quincehatch_core::{ErrorCode, FencingToken, Name};
use quincehatch_failover::promotion::{Promotion, PromotionAction, PromotionEvent, PromotionPlan};
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_proxy::platform_api::{self, PromotionCandidate, PromotionOutcome};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_store::store::promotion_duty_key;
use quincehatch_store::{Answer, Command, PrimaryState};
use quincehatch_wire::http::post_once;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

const WRITE: Duration = Duration::from_secs(8);
const CALL: Duration = Duration::from_millis(900);

type Back = mpsc::UnboundedSender<(String, PromotionEvent)>;

pub async fn promote(f: Arc<ClusterNode>, plan: PromotionPlan) {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let began = now();
    let (mut p, outs) = Promotion::new(began, plan.clone());
    // What is on its way is not asked again; the step asks as often as it likes.
    let mut going: BTreeSet<String> = BTreeSet::new();
    act(&f, &plan, outs, &tx, &mut going);
    while !p.is_finished() {
        let i = seam::timeout(Duration::from_millis(50), rx.recv()).await;
        let i = match i {
            Ok(Some((what, i))) => {
                going.remove(&what);
                i
            }
            _ => PromotionEvent::Tick,
        };
        let outs = p.step(now(), i);
        act(&f, &plan, outs, &tx, &mut going);
    }
    f.promotion_state.record_event(format!(
        "promotion in {} ended {:?} after {} ms",
        plan.group,
        p.phase,
        now() - began
    ));
}

fn act(
    f: &Arc<ClusterNode>,
    plan: &PromotionPlan,
    outs: Vec<PromotionAction>,
    tx: &Back,
    going: &mut BTreeSet<String>,
) {
    for o in outs {
        let what = match &o {
            PromotionAction::Log(s) => {
                f.promotion_state.record_event(s.clone());
                // The simulator may have this process die or stand still just here (§9.1).
                seam::trace_point(s);
                continue;
            }
            PromotionAction::AcquireFence { .. } => "fence".to_owned(),
            PromotionAction::WritePrimary { key, .. } => key.to_string(),
            PromotionAction::FenceServer { server, .. } => format!("fence {server}"),
            PromotionAction::PromoteServer { server, .. } => format!("promote {server}"),
            PromotionAction::CountInFlight => "count".to_owned(),
            PromotionAction::QueryAcknowledged => "acked".to_owned(),
        };
        if going.insert(what.clone()) {
            let (f, plan, tx) = (f.clone(), plan.clone(), tx.clone());
            seam::spawn(async move {
                let i = one(&f, &plan, o).await;
                let _ = tx.send((what, i));
            });
        }
    }
}

async fn one(f: &Arc<ClusterNode>, plan: &PromotionPlan, o: PromotionAction) -> PromotionEvent {
    match o {
        // Servers met over held links are asked in other ways (§3.6).
        PromotionAction::FenceServer { server, .. } if f.ports.is_some() => {
            held_promotion::stand_still(f, plan, server).await
        }
        // Whoever took a higher fence names another: a call of this one would only stir the group up.
        PromotionAction::PromoteServer { fence, .. }
            if f.feed_state.lock().unwrap().fence(&promotion_duty_key(&plan.group)) > fence =>
        {
            PromotionEvent::Superseded
        }
        PromotionAction::PromoteServer { server, fence, .. } if f.ports.is_some() => {
            held_promotion::promote_one(f, plan, server, fence).await
        }
        PromotionAction::CountInFlight if f.ports.is_some() => {
            held_promotion::drained(f, plan, count_open(f, &plan.group).await).await
        }
        PromotionAction::QueryAcknowledged => held_promotion::acked(f, plan).await,
        PromotionAction::AcquireFence { key } => {
            let over = PrimaryState { fence: plan.expected_fence, primary: plan.primary.clone() };
            match next_fence(f, &key, &plan.group, &plan.coordinator, over, WRITE).await {
                Taken::Fence(fence) => PromotionEvent::FenceAcquired(fence),
                Taken::TooLate => PromotionEvent::Superseded,
                Taken::InDoubt => PromotionEvent::Tick,
            }
        }
        PromotionAction::WritePrimary { key, primary } => {
            let (named, list) = (primary.server.is_some(), !primary.voters.is_empty());
            let cmd = Command::AssignPrimary { group: plan.group.clone(), primary: primary };
            match f.store_client.write(&key, cmd, WRITE).await {
                Ok(Answer::Primary(_)) if named => PromotionEvent::PrimaryAnnounced,
                Ok(Answer::Primary(_)) if list => PromotionEvent::VotersRecorded,
                Ok(Answer::Primary(lead)) => PromotionEvent::PrimaryClosed(lead),
                Ok(_) => PromotionEvent::Tick,
                Err(b) if b.has_code(ErrorCode::StaleFence) => PromotionEvent::Superseded,
                Err(_) => PromotionEvent::Tick,
            }
        }
        PromotionAction::FenceServer { server, fence } => fence_one(f, server, fence).await,
        PromotionAction::PromoteServer { server, fence, voters } => {
            promote_one(f, plan, server, fence, &voters).await
        }
        PromotionAction::CountInFlight => count_open(f, &plan.group).await,
        PromotionAction::Log(_) => PromotionEvent::Tick,
    }
}

/// Nodes that do not answer may have work under way; the drain's own bound ends the wait for them.
async fn count_open(f: &ClusterNode, group: &Name) -> PromotionEvent {
    let live = f.gossip.live_nodes().into_iter().map(|member| member.name).collect();
    let got = f.gossip.query_all(live, NodeQuery::InFlight { group: group.clone() }).await;
    let none = got.iter().all(|(_, r)| matches!(r, Some(NodeReply::InFlight { count: 0 })));
    if none { PromotionEvent::Drained } else { PromotionEvent::Tick }
}

async fn fence_one(f: &ClusterNode, server: Name, fence: FencingToken) -> PromotionEvent {
    let Some(row) = f.proxy.registry.server(&server) else { return PromotionEvent::Tick };
    if seam::injected_bug("unfenced") {
        return PromotionEvent::ServerFenced(server, row.heartbeat.read().unwrap().log_end);
    }
    let request = quincehatch_proxy::server_protocol::call::fence(fence);
    let Some(r) = f.proxy.call_once(&row.addr(), &request, CALL).await else { return PromotionEvent::Tick };
    if r.has_error_code(quincehatch_proxy::server_protocol::FENCE_LOW) {
        return PromotionEvent::Superseded;
    }
    match r.status().filter(|s| s.stamp.server == server && s.stamp.fence == fence) {
        Some(s) => PromotionEvent::ServerFenced(server, s.log_end()),
        None => PromotionEvent::Tick,
    }
}

async fn promote_one(
    f: &ClusterNode,
    plan: &PromotionPlan,
    server: Name,
    fence: FencingToken,
    counts: &[Name],
) -> PromotionEvent {
    let Some(row) = f.proxy.registry.server(&server) else {
        return PromotionEvent::ServerNotPromoted(server);
    };
    let candidate = PromotionCandidate { group: &plan.group, server: &server, addr: &row.addr() };
    let request = platform_api::promote(&candidate, fence, &plan.coordinator, counts);
    let answer = post_once(&f.proxy.settings.platform, request.path, &request.body, CALL).await;
    let status = answer.ok().map(|(status, _)| status);
    match platform_api::promotion_outcome(status) {
        PromotionOutcome::Done => PromotionEvent::ServerPromoted(server),
        PromotionOutcome::Superseded => PromotionEvent::Superseded,
        PromotionOutcome::InDoubt => PromotionEvent::ServerNotPromoted(server),
    }
}
