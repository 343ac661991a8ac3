//! Looks after the lead of one group whose servers are met over held links (§3.6, §5.5): few questions, from one node.
use crate::duties::others_see;
use crate::fencing::{Taken, next_fence};
use crate::group::Group;
use crate::held_watch::{LEAD, mend, watch};
use crate::{ClusterNode, acknowledged, handover, promoting};
use quincehatch_core::{FencingToken, Millis, Name, PrimaryAssignment, Role, ServerState};
use quincehatch_failover::promotion::PromotionPlan;
use quincehatch_failover::sync::{self, dead, need};
use quincehatch_failover::watch::{GroupObservation, PromotionNeed};
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::{now, seam};
use quincehatch_store::store::promotion_duty_key;
use quincehatch_store::{Command, PrimaryState};
use std::sync::Arc;
use std::time::Duration;

/// How often it is found out up to where all servers hold what was acknowledged.
const SETTLE: Millis = 3_000;
/// A lead that no replica hears is replaced no oftener.
const CUT_REST: Millis = 15_000;
/// Without exactly one server that says it leads, a first lead is chosen after so long.
const FIRST: Millis = 3_000;
/// Whoever takes the address of a server that went away is heard of within that.
const GONE: Millis = 60_000;
const WRITE: Duration = Duration::from_secs(3);

/// The group's servers as the chain knows them.
fn rows(f: &ClusterNode, g: &Name) -> Vec<Arc<ServerEntry>> {
    let names: Vec<Name> = {
        let s = f.feed_state.lock().unwrap();
        s.servers.values().filter(|s| s.group == *g).map(|s| s.server.clone()).collect()
    };
    names.iter().filter_map(|n| f.proxy.registry.server(n)).collect()
}

/// Servers that went away lately, at whose address nobody is known yet: their log may be with someone who is there
/// already, and receives and counts before the chain hears of it.
fn gone(f: &ClusterNode, g: &Name, rows: &[Arc<ServerEntry>]) -> Vec<Name> {
    let left = |r: &ServerEntry| r.status.lock().unwrap().draining_since;
    let all: Vec<_> = f.proxy.registry.servers().into_iter().filter(|r| r.group() == *g).collect();
    let lately = |r: &ServerEntry| left(r).is_some_and(|at| now() < at + GONE);
    let heir = |r: &ServerEntry| {
        let at = |x: &ServerEntry| x.name != r.name && x.addr() == r.addr();
        rows.iter().any(|x| x.name == r.name || at(x)) || all.iter().any(|x| at(x) && left(x) > left(r))
    };
    all.iter().filter(|r| lately(r) && !heir(r)).map(|r| r.name.clone()).collect()
}

/// Servers that may hold what was acknowledged: all that are known, and those known when the lead was named, unless
/// one said that it leaves and its log went to a new server at its address. One that a stranger pushed out of its
/// address said nothing, and took its log with it.
fn holders(
    f: &ClusterNode,
    g: &Name,
    rows: &[Arc<ServerEntry>],
    lead: Option<&PrimaryAssignment>,
) -> Vec<Name> {
    let mut out: Vec<Name> = rows.iter().map(|r| r.name.clone()).chain(gone(f, g, rows)).collect();
    for n in lead.map_or(&[][..], |l| &l.voters) {
        let row = f.proxy.registry.server(n);
        let passed_on = row.is_some_and(|o| {
            o.heartbeat.read().unwrap().state == ServerState::Draining
                && rows.iter().any(|r| r.name != o.name && r.addr() == o.addr())
        });
        if !out.contains(n) && !passed_on {
            out.push(n.clone());
        }
    }
    let old = lead.and_then(|l| l.server.as_ref().or(l.demoted.as_ref()));
    out.retain(|n| Some(n) != old);
    out
}

fn sight(f: &ClusterNode, g: &Name, rows: &[Arc<ServerEntry>], st: &mut Group) -> GroupObservation {
    let mut s = GroupObservation {
        primary: st.lead.clone(),
        primary_unchanged_for: now().saturating_sub(st.since),
        other_promotion_for: st.begun_for(),
        servers: rows.iter().map(|r| r.name.clone()).collect(),
        requested_handover: f.promotion_state.handover_requests.lock().unwrap().get(g).cloned(),
        ..Default::default()
    };
    // A change of hands that this node itself left unfinished is no one else's.
    if s.primary.as_ref().is_some_and(|l| l.server.is_none() && l.assigned_by == f.gossip.local_name) {
        s.primary_unchanged_for = s.primary_unchanged_for.max(sync::STUCK);
    }
    let Some(server) = s.primary.as_ref().and_then(|l| l.server.clone()) else { return s };
    let Some(row) = f.proxy.registry.server(&server) else { return s };
    let status = row.status.lock().unwrap().clone();
    s.failing_for = status.failing_since.map(|at| now().saturating_sub(at));
    s.connection_refused = status.refused;
    s.draining = row.is_draining();
    s.stalled_for =
        f.promotion_state.suspected_for(g, &server).max(row.health.lock().unwrap().stalled_for(now()));
    let not = f
        .promotion_state
        .server_queries
        .look(&server)
        .is_some_and(|(at, l)| at >= st.since && l.role != Role::Primary);
    st.wrong = if not { st.wrong.or(Some(now())) } else { None };
    s.not_primary_for = st.wrong.map(|at| now().saturating_sub(at));
    s
}

pub async fn look(f: &Arc<ClusterNode>, g: &Name, st: &mut Group) {
    let rows = rows(f, g);
    if rows.is_empty() {
        return;
    }
    watch(f, &rows, st);
    mend(f, &rows, st);
    let heard = |r: &ServerEntry| r.status.lock().unwrap().failing_since.is_none() && r.answered_recently();
    if now() < st.rest_until {
        return;
    }
    if st.lead.is_none() {
        if st.begun_for().is_some_and(|ms| ms < sync::STUCK) {
            return;
        }
        return first(f, g, &rows, st);
    }
    let s = sight(f, g, &rows, st);
    settle(f, g, &rows, st, &s);
    let old = s.primary.as_ref().and_then(|l| l.server.clone().or_else(|| l.demoted.clone()));
    let heir = rows.iter().any(|r| Some(&r.name) != old.as_ref() && !r.is_draining() && heard(r));
    let cut =
        heir && st.minded.behind >= sync::CUT && (st.minded.cut == 0 || now() >= st.minded.cut + CUT_REST);
    let planned = match need(&s, heir) {
        PromotionNeed::Nothing if cut => {
            st.minded.cut = now();
            f.promotion_state.record_event(format!("no replica in {g} receives what its lead has"));
            false
        }
        PromotionNeed::Nothing => return,
        PromotionNeed::Now { planned } => planned,
        PromotionNeed::Confirm => {
            if !others_see(f, &s, dead(&s)).await {
                return;
            }
            false
        }
    };
    promote(f, g, &rows, st, old, planned);
}

fn promote(
    f: &Arc<ClusterNode>,
    g: &Name,
    rows: &[Arc<ServerEntry>],
    st: &mut Group,
    old: Option<Name>,
    planned: bool,
) {
    let want = f.promotion_state.handover_requests.lock().unwrap().remove(g).flatten();
    let bp = f.proxy.registry.cluster_state().configuration.clone();
    let group = sync::Group {
        n: bp.and_then(|b| b.group(g).and_then(|x| x.sync_replicas)).unwrap_or(0),
        holders: holders(f, g, rows, st.lead.as_ref()),
        leaving: rows.iter().filter(|r| r.is_draining()).map(|r| r.name.clone()).collect(),
        lead: f.promotion_state.settled.lock().unwrap().get(g).map(|s| s.lead),
    };
    let plan = PromotionPlan {
        group: g.clone(),
        coordinator: f.gossip.local_name.clone(),
        attempt: format!("{}/{}/{:x}", promotion_duty_key(g), f.gossip.local_name, fastrand::u64(..)).into(),
        primary: st.lead.clone(),
        expected_fence: st.over,
        old_primary: old,
        servers: rows.iter().map(|r| r.name.clone()).collect(),
        server_count: rows.len(),
        planned,
        preferred: want,
        voters: rows.iter().map(|r| r.name.clone()).chain(gone(f, g, rows)).collect(),
        sync_group: Some(group),
    };
    let f = f.clone();
    st.planned_over = st.over;
    st.task = Some(seam::spawn(async move {
        let mut plan = plan;
        if !plan.planned || !handover::over(&f, &plan).await {
            // A hand-over that came to no end took a fence, over which this goes on.
            plan.expected_fence = plan.expected_fence.max(f.promotion_state.own_fence(&plan.group));
            promoting::promote(f, plan).await;
        }
    }));
}

fn settle(f: &Arc<ClusterNode>, g: &Name, rows: &[Arc<ServerEntry>], st: &mut Group, s: &GroupObservation) {
    let Some(lead) = s.primary.as_ref().filter(|_| s.failing_for.is_none()) else { return };
    let Some(server) = lead.server.clone() else { return };
    let busy = st.minded.settling.as_ref().is_some_and(|t| !t.is_finished());
    let known = f.promotion_state.settled.lock().unwrap().get(g).is_some_and(|x| x.lead == lead.fence);
    if busy || now() < st.minded.settled + if known { SETTLE } else { LEAD } {
        return;
    }
    st.minded.settled = now();
    let (f, g, fence, lists) = (f.clone(), g.clone(), lead.fence, !lead.previous_voters.is_empty());
    let others = rows.iter().map(|r| r.name.clone()).filter(|n| *n != server).collect::<Vec<_>>();
    st.minded.settling = Some(seam::spawn(async move {
        if acknowledged::settle(&f, &g, fence, &server, &others).await.is_some() && lists {
            let (key, cmd) = (
                format!("{}/lists/{fence}", promotion_duty_key(&g)),
                Command::DropPreviousVoters { group: g, fence },
            );
            let _ = f.store_client.write(&key, cmd, WRITE).await;
        }
    }));
}

/// No lead yet: the one server that says it leads is taken as it is; nobody is suspended or promoted for that.
fn first(f: &Arc<ClusterNode>, g: &Name, rows: &[Arc<ServerEntry>], st: &mut Group) {
    let looks: Vec<_> =
        rows.iter().map(|r| f.promotion_state.server_queries.look(&r.name).map(|(_, l)| l.role)).collect();
    let say: Vec<&Name> = rows
        .iter()
        .zip(&looks)
        .filter(|(r, l)| l.map_or(r.heartbeat.read().unwrap().role == Role::Primary, |l| l == Role::Primary))
        .map(|(r, _)| &r.name)
        .collect();
    if let [one] = say[..] {
        let sure = f.promotion_state.server_queries.look(one).is_some_and(|(_, l)| l.role == Role::Primary);
        if sure {
            let (f, g, one) = (f.clone(), g.clone(), one.clone());
            let counts = rows.iter().map(|r| r.name.clone()).collect();
            st.planned_over = st.over;
            st.task = Some(seam::spawn(adopt(f, g, one, counts, st.over)));
        }
    } else if now() >= st.since + FIRST {
        promote(f, g, rows, st, None, false);
    }
}

async fn adopt(f: Arc<ClusterNode>, g: Name, server: Name, counts: Vec<Name>, over: FencingToken) {
    let by = f.gossip.local_name.clone();
    let key = format!("{}/{by}/first/{:x}", promotion_duty_key(&g), fastrand::u64(..));
    let over = PrimaryState { fence: over, primary: None };
    let Taken::Fence(fence) = next_fence(&f, &key, &g, &by, over, WRITE).await else { return };
    let lead = PrimaryAssignment {
        fence,
        server: Some(server.clone()),
        assigned_by: by,
        voters: counts,
        ..Default::default()
    };
    let named = f
        .store_client
        .write(&format!("{key}/name"), Command::AssignPrimary { group: g.clone(), primary: lead }, WRITE)
        .await;
    f.promotion_state.record_event(format!(
        "server {server} leads {g} and is named under fence {fence}: {}",
        named.is_ok()
    ));
}
