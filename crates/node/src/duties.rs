//! Duties of this node (§6.3): looks after the leads of the groups that fall to it.
use crate::commit_lists::{seen, settle_lists};
pub use crate::duty_state::Asked;
use crate::group::Group;
use crate::{Fleet, held_duty, held_watch, promoting};
use quincehatch_core::{Millis, Name, ServerState};
use quincehatch_failover::watch::{Count, Eye, Need, Sight, dead, need, strange, to_count};
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
pub fn eye(f: &Fleet, server: &str) -> Eye {
    f.node.registry.server(server).map_or_else(Eye::default, |r| {
        let failing = r.status.lock().unwrap().failing_since.is_some();
        let h = r.health.lock().unwrap();
        Eye {
            heard: true,
            failing,
            stalled: h.stalled_for(now()).is_some(),
            answering: h.overdue.answered_within(now(), ANSWERING),
        }
    })
}

pub async fn run(f: Arc<Fleet>) {
    let mut groups: BTreeMap<Name, Group> = BTreeMap::new();
    let mut mine = true;
    loop {
        seam::sleep(Duration::from_millis(if mine || f.ports.is_none() { 100 } else { 250 })).await;
        if f.ports.is_some() {
            held_watch::try_again(&f);
        }
        if !f.node.registry.has_lease() || f.node.registry.is_stopping() {
            continue;
        }
        let live: Vec<Name> = f.mesh.live().into_iter().map(|(n, _)| n).collect();
        let names: std::collections::BTreeSet<Name> =
            f.node.registry.servers().iter().map(|r| r.group()).filter(|g| !g.is_empty()).collect();
        mine = false;
        for g in names {
            let st = groups.entry(g.clone()).or_default();
            let leadership = f.known.lock().unwrap().primary_state(&g);
            st.look(leadership, f.duty.own_fence(&g));
            let owner = quincehatch_gossip::duty::owner(&promotion_duty_key(&g), &live);
            mine |= owner == Some(&f.mesh.me);
            f.duty.keep_settled(&g, st.lead.as_ref().filter(|_| owner == Some(&f.mesh.me)));
            if owner != Some(&f.mesh.me) {
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
fn suspect(f: &Arc<Fleet>, g: &Name, owner: &Name, st: &mut Group) {
    let Some(server) = st.lead.as_ref().and_then(|l| l.server.clone()) else { return };
    if now() < st.told_at + TELL || !eye(f, &server).stalled {
        return;
    }
    st.told_at = now();
    let (f, ask, owner) = (f.clone(), NodeQuery::SuspectPrimary { group: g.clone(), server }, owner.clone());
    seam::spawn(async move { drop(f.mesh.ask(&owner, ask).await) });
}

fn sight(f: &Fleet, g: &Name, st: &mut Group) -> Sight {
    let rows: Vec<_> = f.node.registry.servers().into_iter().filter(|r| r.group() == *g).collect();
    let copies = rows
        .iter()
        .filter_map(|r| r.heartbeat.read().unwrap().labels.get("copies").and_then(|c| c.parse().ok()))
        .max()
        .unwrap_or(3);
    let mut s = Sight {
        lead: st.lead.clone(),
        lead_for: now().saturating_sub(st.since),
        begun: st.begun_for(),
        servers: rows.iter().map(|r| r.name.clone()).collect(),
        copies,
        asked: f.duty.wants.lock().unwrap().get(g).cloned(),
        ..Default::default()
    };
    let must = st.lead.as_ref().map_or(&[][..], |l| &l.voters);
    let odd = strange(copies, &seen(f, g), must);
    st.strange = if odd { st.strange.or(Some(now())) } else { None };
    s.strange = st.strange.map(|at| now() - at);
    let named = st.lead.as_ref().and_then(|l| l.server.clone().map(|s| (s, l.fence)));
    let Some((row, fence)) = named.and_then(|(n, fe)| rows.iter().find(|r| r.name == n).map(|r| (r, fe)))
    else {
        return s;
    };
    let status = row.status.lock().unwrap().clone();
    s.failing = status.failing_since.map(|at| now().saturating_sub(at));
    s.declined = status.refused;
    s.leaving = row.is_draining();
    s.stalled = f.duty.suspected(g, &row.name).max(row.health.lock().unwrap().stalled_for(now()));
    let b = row.heartbeat.read().unwrap().clone();
    let leads = b.role == quincehatch_core::Role::Primary && b.fence == fence && b.state != ServerState::Starting;
    let wrong_now = !leads && status.failing_since.is_none() && status.answered_at > 0;
    st.wrong = if wrong_now { st.wrong.or(Some(now())) } else { None };
    s.wrong = st.wrong.map(|at| now().saturating_sub(at));
    s
}

async fn look(f: &Arc<Fleet>, g: &Name, st: &mut Group) {
    let s = sight(f, g, st);
    fence_stragglers(f, g, st).await;
    settle_lists(f, g, &s);
    if now() < st.rest_until {
        return;
    }
    let planned = match need(&s) {
        Need::Nothing => return,
        Need::Now { planned } => planned,
        Need::Confirm => {
            if !others_agree(f, &s).await {
                return;
            }
            false
        }
    };
    let want = f.duty.wants.lock().unwrap().remove(g).flatten();
    let old = s.lead.as_ref().and_then(|l| l.server.clone().or_else(|| l.demoted.clone()));
    // Where only the servers changed, the lead stays, under a new fence.
    let stays = planned && !s.leaving && s.asked.is_none();
    let want = if stays { old.clone() } else { want };
    let last = s.lead.as_ref().map_or_else(Vec::new, |l| l.voters.clone());
    let counts = to_count(s.copies, &seen(f, g), &last);
    let plan = quincehatch_failover::promotion::Plan {
        group: g.clone(),
        by: f.mesh.me.clone(),
        attempt: format!("{}/{}/{:x}", promotion_duty_key(g), f.mesh.me, fastrand::u64(..)).into(),
        lead: s.lead.clone(),
        over: st.over,
        old,
        servers: s.servers.clone(),
        copies: s.copies,
        planned,
        want,
        counts,
        sync: None,
    };
    st.planned_over = st.over;
    st.task = Some(seam::spawn(promoting::promote(f.clone(), plan)));
}

/// Asks the other nodes what they see of the lead's server: one node that is cut off deposes nobody.
async fn others_agree(f: &Arc<Fleet>, s: &Sight) -> bool {
    others_see(f, s, dead(s)).await
}

pub async fn others_see(f: &Arc<Fleet>, s: &Sight, dead: bool) -> bool {
    let Some(server) = s.lead.as_ref().and_then(|l| l.server.clone()) else { return false };
    let mut others: Vec<Name> =
        f.mesh.live().into_iter().map(|(n, _)| n).filter(|n| *n != f.mesh.me).collect();
    // A silence each of them looks into by itself, over a link of its own: some of many are enough (§5.13).
    if dead && f.ports.is_some() {
        fastrand::shuffle(&mut others);
        others.truncate(WITNESSES);
    }
    let mut c = Count::begin(dead, eye(f, &server), others.len());
    for (_, r) in f.mesh.ask_all(others, NodeQuery::ServerEvidence { server }).await {
        if let Some(NodeReply::ServerEvidence { heard, failing, stalled, answering }) = r {
            c.add(dead, Eye { heard, failing, stalled, answering });
        }
    }
    c.confirmed()
}

/// Servers that have not heard of the fence in force are told: an old primary that returns leads no more.
async fn fence_stragglers(f: &Fleet, g: &Name, st: &mut Group) {
    let Some(lead) = st.lead.clone().filter(|l| l.server.is_some()) else { return };
    if now() < st.fenced_at + 1_000 {
        return;
    }
    st.fenced_at = now();
    for r in
        f.node.registry.servers().into_iter().filter(|r| r.group() == *g && Some(&r.name) != lead.server.as_ref())
    {
        let low = r.heartbeat.read().unwrap().fence < lead.fence;
        if low && r.status.lock().unwrap().failing_since.is_none() {
            let (path, body) = quincehatch_proxy::server_protocol::call::fence(lead.fence);
            let _ = f.node.call_once(&r.addr(), path, body, Duration::from_millis(500)).await;
        }
    }
}
