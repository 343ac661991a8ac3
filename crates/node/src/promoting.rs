//! Drives one promotion's steps against chain, servers and platform (§5.5).
use crate::fencing::{Taken, next_fence};
use crate::{Fleet, held_promotion};
use quincehatch_core::{ErrorCode, FencingToken, Name};
use quincehatch_failover::promotion::{In, Out, Plan, Promotion};
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_proxy::platform_api::{self, PromotionOutcome};
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

type Back = mpsc::UnboundedSender<(String, In)>;

pub async fn promote(f: Arc<Fleet>, plan: Plan) {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let began = now();
    let (mut p, outs) = Promotion::new(began, plan.clone());
    // What is on its way is not asked again; the step asks as often as it likes.
    let mut going: BTreeSet<String> = BTreeSet::new();
    act(&f, &plan, outs, &tx, &mut going);
    while !p.over() {
        let i = seam::timeout(Duration::from_millis(50), rx.recv()).await;
        let i = match i {
            Ok(Some((what, i))) => {
                going.remove(&what);
                i
            }
            _ => In::Tick,
        };
        let outs = p.step(now(), i);
        act(&f, &plan, outs, &tx, &mut going);
    }
    f.duty.tell(format!("promotion in {} ended {:?} after {} ms", plan.group, p.phase, now() - began));
}

fn act(f: &Arc<Fleet>, plan: &Plan, outs: Vec<Out>, tx: &Back, going: &mut BTreeSet<String>) {
    for o in outs {
        let what = match &o {
            Out::Say(s) => {
                f.duty.tell(s.clone());
                // The simulator may have this process die or stand still just here (§9.1).
                seam::trace_point(s);
                continue;
            }
            Out::TakeFence { .. } => "fence".to_owned(),
            Out::SetLead { key, .. } => key.to_string(),
            Out::FenceServer { server, .. } => format!("fence {server}"),
            Out::Promote { server, .. } => format!("promote {server}"),
            Out::CountOpen => "count".to_owned(),
            Out::AskAcked => "acked".to_owned(),
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

async fn one(f: &Arc<Fleet>, plan: &Plan, o: Out) -> In {
    match o {
        // Servers met over held links are asked in other ways (§3.6).
        Out::FenceServer { server, .. } if f.ports.is_some() => {
            held_promotion::stand_still(f, plan, server).await
        }
        // Whoever took a higher fence names another: a call of this one would only stir the group up.
        Out::Promote { fence, .. } if f.known.lock().unwrap().fence(&promotion_duty_key(&plan.group)) > fence => {
            In::Overtaken
        }
        Out::Promote { server, fence, .. } if f.ports.is_some() => {
            held_promotion::promote_one(f, plan, server, fence).await
        }
        Out::CountOpen if f.ports.is_some() => {
            held_promotion::drained(f, plan, count_open(f, &plan.group).await).await
        }
        Out::AskAcked => held_promotion::acked(f, plan).await,
        Out::TakeFence { key } => {
            let over = PrimaryState { fence: plan.over, primary: plan.lead.clone() };
            match next_fence(f, &key, &plan.group, &plan.by, over, WRITE).await {
                Taken::Fence(fence) => In::Fence(fence),
                Taken::TooLate => In::Overtaken,
                Taken::InDoubt => In::Tick,
            }
        }
        Out::SetLead { key, lead } => {
            let (named, list) = (lead.server.is_some(), !lead.voters.is_empty());
            let cmd = Command::AssignPrimary { group: plan.group.clone(), primary: lead };
            match f.chain.write(&key, cmd, WRITE).await {
                Ok(Answer::Lead(_)) if named => In::Named,
                Ok(Answer::Lead(_)) if list => In::Listed,
                Ok(Answer::Lead(lead)) => In::Closed(lead),
                Ok(_) => In::Tick,
                Err(b) if b.has_code(ErrorCode::StaleFence) => In::Overtaken,
                Err(_) => In::Tick,
            }
        }
        Out::FenceServer { server, fence } => fence_one(f, server, fence).await,
        Out::Promote { server, fence, counts } => promote_one(f, plan, server, fence, &counts).await,
        Out::CountOpen => count_open(f, &plan.group).await,
        Out::Say(_) => In::Tick,
    }
}

/// Nodes that do not answer may have work under way; the drain's own bound ends the wait for them.
async fn count_open(f: &Fleet, group: &Name) -> In {
    let live = f.mesh.live().into_iter().map(|(n, _)| n).collect();
    let got = f.mesh.ask_all(live, NodeQuery::InFlight { group: group.clone() }).await;
    let none = got.iter().all(|(_, r)| matches!(r, Some(NodeReply::InFlight { count: 0 })));
    if none { In::Drained } else { In::Tick }
}

async fn fence_one(f: &Fleet, server: Name, fence: FencingToken) -> In {
    let Some(row) = f.node.registry.server(&server) else { return In::Tick };
    if seam::injected_bug("unfenced") {
        return In::Fenced(server, row.heartbeat.read().unwrap().log_end);
    }
    let (path, body) = quincehatch_proxy::server_protocol::call::fence(fence);
    let Some(r) = f.node.call_once(&row.addr(), path, body, CALL).await else { return In::Tick };
    if r.has_error_code(quincehatch_proxy::server_protocol::FENCE_LOW) {
        return In::Overtaken;
    }
    match r.status().filter(|s| s.stamp.server == server && s.stamp.fence == fence) {
        Some(s) => In::Fenced(server, s.log_end()),
        None => In::Tick,
    }
}

async fn promote_one(f: &Fleet, plan: &Plan, server: Name, fence: FencingToken, counts: &[Name]) -> In {
    let Some(row) = f.node.registry.server(&server) else { return In::NotPromoted(server) };
    let (path, body) = platform_api::promote(&plan.group, &server, &row.addr(), fence, &plan.by, counts);
    let status = post_once(&f.node.settings.platform, path, &body, CALL).await.ok().map(|r| r.0);
    match platform_api::promotion_outcome(status) {
        PromotionOutcome::Done => In::Promoted(server),
        PromotionOutcome::Superseded => In::Overtaken,
        PromotionOutcome::InDoubt => In::NotPromoted(server),
    }
}
