//! Duties of this node (§6.3): looks after the leads of the groups that fall to it.
use crate::commit_lists::{seen, settle_lists};
pub use crate::duty_state::PromotionState;
use crate::group::Group;
use crate::{ClusterNode, held_duty, held_watch, promoting};
use quincehatch_core::{Millis, Name, ServerState};
use quincehatch_failover::watch::{
    FailureVotes, GroupObservation, PrimaryObservation, PromotionNeed, dead, need, strange, to_count,
};
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_store::store::promotion_duty_key;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How often a suspicion is told.
const TELL: Millis = 500;
/// Statements answered within this time speak against a stall.
const ANSWERING: Millis = 2_000;
/// Nodes asked whether a server is silent to them too.
const WITNESSES: usize = 15;

/// What this node sees of a server.
pub fn eye(f: &ClusterNode, server: &str) -> PrimaryObservation {
    f.proxy.registry.server(server).map_or_else(PrimaryObservation::default, |r| {
        let failing = r.status.lock().unwrap().failing_since.is_some();
        let h = r.health.lock().unwrap();
        PrimaryObservation {
            known_here: true,
            failing,
            stalled: h.stalled_for(now()).is_some(),
            answering: h.overdue.answered_within(now(), ANSWERING),
        }
    })
}

pub async fn run(f: Arc<ClusterNode>) {
    let mut groups: BTreeMap<Name, Group> = BTreeMap::new();
    let mut mine = true;
    loop {
        seam::sleep(Duration::from_millis(if mine || f.ports.is_none() { 100 } else { 250 })).await;
        if f.ports.is_some() {
            held_watch::try_again(&f);
        }
        if !f.proxy.registry.has_lease() || f.proxy.registry.is_stopping() {
            continue;
        }
        let live: Vec<Name> = f.gossip.live_nodes().into_iter().map(|member| member.name).collect();
        let names: std::collections::BTreeSet<Name> =
            f.proxy.registry.servers().iter().map(|r| r.group()).filter(|g| !g.is_empty()).collect();
        mine = false;
        for g in names {
            let st = groups.entry(g.clone()).or_default();
            let leadership = f.feed_state.lock().unwrap().primary_state(&g);
            st.look(leadership, f.promotion_state.own_fence(&g));
            let owner = quincehatch_gossip::ownership::owner(&promotion_duty_key(&g), &live);
            mine |= owner == Some(&f.gossip.local_name);
            f.promotion_state
                .keep_settled(&g, st.lead.as_ref().filter(|_| owner == Some(&f.gossip.local_name)));
            if owner != Some(&f.gossip.local_name) {
                if let Some(o) = owner {
                    suspect(&f, &g, o, st);
                }
                continue;
            }
            if st.task.as_ref().is_some_and(|t| !t.is_finished()) {
                continue;
            }
            if st.task.take().is_some() {
                st.rest_until = now() + st.rest(&f, &g);
            }
            match f.ports {
                None => look(&f, &g, st).await,
                Some(_) => held_duty::look(&f, &g, st).await,
            }
        }
    }
}

/// A lead that stalls is told to whoever looks after its group, who may have no visits there.
fn suspect(f: &Arc<ClusterNode>, g: &Name, owner: &Name, st: &mut Group) {
    let Some(server) = st.lead.as_ref().and_then(|l| l.server.clone()) else { return };
    if now() < st.told_at + TELL || !eye(f, &server).stalled {
        return;
    }
    st.told_at = now();
    let (f, ask, owner) = (f.clone(), NodeQuery::SuspectPrimary { group: g.clone(), server }, owner.clone());
    seam::spawn(async move { drop(f.gossip.query(&owner, ask).await) });
}

fn sight(f: &ClusterNode, g: &Name, st: &mut Group) -> GroupObservation {
    let rows: Vec<_> = f.proxy.registry.servers().into_iter().filter(|r| r.group() == *g).collect();
    let copies = rows
        .iter()
        .filter_map(|r| r.heartbeat.read().unwrap().labels.get("copies").and_then(|c| c.parse().ok()))
        .max()
        .unwrap_or(3);
    let mut s = GroupObservation {
        primary: st.lead.clone(),
        primary_unchanged_for: now().saturating_sub(st.since),
        other_promotion_for: st.begun_for(),
        servers: rows.iter().map(|r| r.name.clone()).collect(),
        server_count: copies,
        requested_handover: f.promotion_state.handover_requests.lock().unwrap().get(g).cloned(),
        ..Default::default()
    };
    let must = st.lead.as_ref().map_or(&[][..], |l| &l.voters);
    let odd = strange(copies, &seen(f, g), must);
    st.strange = if odd { st.strange.or(Some(now())) } else { None };
    s.membership_changed_for = st.strange.map(|at| now() - at);
    let named = st.lead.as_ref().and_then(|l| l.server.clone().map(|s| (s, l.fence)));
    let Some((row, fence)) = named.and_then(|(n, fe)| rows.iter().find(|r| r.name == n).map(|r| (r, fe)))
    else {
        return s;
    };
    let status = row.status.lock().unwrap().clone();
    s.failing_for = status.failing_since.map(|at| now().saturating_sub(at));
    s.connection_refused = status.refused;
    s.draining = row.is_draining();
    s.stalled_for =
        f.promotion_state.suspected_for(g, &row.name).max(row.health.lock().unwrap().stalled_for(now()));
    let b = row.heartbeat.read().unwrap().clone();
    let leads =
        b.role == quincehatch_core::Role::Primary && b.fence == fence && b.state != ServerState::Starting;
    let wrong_now = !leads && status.failing_since.is_none() && status.answered_at > 0;
    st.wrong = if wrong_now { st.wrong.or(Some(now())) } else { None };
    s.not_primary_for = st.wrong.map(|at| now().saturating_sub(at));
    s
}

async fn look(f: &Arc<ClusterNode>, g: &Name, st: &mut Group) {
    let s = sight(f, g, st);
    fence_stragglers(f, g, st).await;
    settle_lists(f, g, &s);
    if now() < st.rest_until {
        return;
    }
    let planned = match need(&s) {
        PromotionNeed::Nothing => return,
        PromotionNeed::Now { planned } => planned,
        PromotionNeed::Confirm => {
            if !others_agree(f, &s).await {
                return;
            }
            false
        }
    };
    let want = f.promotion_state.handover_requests.lock().unwrap().remove(g).flatten();
    let old = s.primary.as_ref().and_then(|l| l.server.clone().or_else(|| l.demoted.clone()));
    // Where only the servers changed, the lead stays, under a new fence.
    let stays = planned && !s.draining && s.requested_handover.is_none();
    let want = if stays { old.clone() } else { want };
    let last = s.primary.as_ref().map_or_else(Vec::new, |l| l.voters.clone());
    let counts = to_count(s.server_count, &seen(f, g), &last);
    let plan = quincehatch_failover::promotion::PromotionPlan {
        group: g.clone(),
        coordinator: f.gossip.local_name.clone(),
        attempt: format!("{}/{}/{:x}", promotion_duty_key(g), f.gossip.local_name, fastrand::u64(..)).into(),
        primary: s.primary.clone(),
        expected_fence: st.over,
        old_primary: old,
        servers: s.servers.clone(),
        server_count: s.server_count,
        planned,
        preferred: want,
        voters: counts,
        sync_group: None,
    };
    st.planned_over = st.over;
    st.task = Some(seam::spawn(promoting::promote(f.clone(), plan)));
}

/// Asks the other nodes what they see of the lead's server: one node that is cut off deposes nobody.
async fn others_agree(f: &Arc<ClusterNode>, s: &GroupObservation) -> bool {
    others_see(f, s, dead(s)).await
}

pub async fn others_see(f: &Arc<ClusterNode>, s: &GroupObservation, dead: bool) -> bool {
    let Some(server) = s.primary.as_ref().and_then(|l| l.server.clone()) else { return false };
    let mut others: Vec<Name> = f
        .gossip
        .live_nodes()
        .into_iter()
        .map(|member| member.name)
        .filter(|n| *n != f.gossip.local_name)
        .collect();
    // A silence each of them looks into by itself, over a link of its own: some of many are enough (§5.13).
    if dead && f.ports.is_some() {
        fastrand::shuffle(&mut others);
        others.truncate(WITNESSES);
    }
    let mut c = FailureVotes::begin(dead, eye(f, &server), others.len());
    for (_, r) in f.gossip.query_all(others, NodeQuery::ServerEvidence { server }).await {
        if let Some(NodeReply::ServerEvidence { heard, failing, stalled, answering }) = r {
            c.add(dead, PrimaryObservation { known_here: heard, failing, stalled, answering });
        }
    }
    c.confirmed()
}

/// Servers that have not heard of the fence in force are told: an old primary that returns leads no more.
async fn fence_stragglers(f: &ClusterNode, g: &Name, st: &mut Group) {
    let Some(lead) = st.lead.clone().filter(|l| l.server.is_some()) else { return };
    if now() < st.fenced_at + 1_000 {
        return;
    }
    st.fenced_at = now();
    for r in f
        .proxy
        .registry
        .servers()
        .into_iter()
        .filter(|r| r.group() == *g && Some(&r.name) != lead.server.as_ref())
    {
        let low = r.heartbeat.read().unwrap().fence < lead.fence;
        if low && r.status.lock().unwrap().failing_since.is_none() {
            let request = quincehatch_proxy::server_protocol::call::fence(lead.fence);
            let _ = f.proxy.call_once(&r.addr(), &request, Duration::from_millis(500)).await;
        }
    }
}
