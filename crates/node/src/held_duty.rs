//! Looks after the lead of one group whose servers are met over held links (§3.6, §5.5): few questions, from one node.
use crate::duties::others_see;
use crate::fencing::{Taken, next_fence};
use crate::group::Group;
use crate::held_watch::{LEAD, mend, watch};
use crate::{Fleet, acknowledged, handover, promoting};
use quincehatch_core::{FencingToken, PrimaryAssignment, Millis, Name, Role, ServerState};
use quincehatch_failover::promotion::Plan;
use quincehatch_failover::sync::{self, dead, need};
use quincehatch_failover::watch::{Need, Sight};
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
fn rows(f: &Fleet, g: &Name) -> Vec<Arc<ServerEntry>> {
    let names: Vec<Name> = {
        let s = f.known.lock().unwrap();
        s.servers.values().filter(|s| s.group == *g).map(|s| s.server.clone()).collect()
    };
    names.iter().filter_map(|n| f.node.registry.server(n)).collect()
}

/// Servers that went away lately, at whose address nobody is known yet: their log may be with someone who is there
/// already, and receives and counts before the chain hears of it.
fn gone(f: &Fleet, g: &Name, rows: &[Arc<ServerEntry>]) -> Vec<Name> {
    let left = |r: &ServerEntry| r.status.lock().unwrap().draining_since;
    let all: Vec<_> = f.node.registry.servers().into_iter().filter(|r| r.group() == *g).collect();
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
fn holders(f: &Fleet, g: &Name, rows: &[Arc<ServerEntry>], lead: Option<&PrimaryAssignment>) -> Vec<Name> {
    let mut out: Vec<Name> = rows.iter().map(|r| r.name.clone()).chain(gone(f, g, rows)).collect();
    for n in lead.map_or(&[][..], |l| &l.voters) {
        let row = f.node.registry.server(n);
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

fn sight(f: &Fleet, g: &Name, rows: &[Arc<ServerEntry>], st: &mut Group) -> Sight {
    let mut s = Sight {
        lead: st.lead.clone(),
        lead_for: now().saturating_sub(st.since),
        begun: st.begun_for(),
        servers: rows.iter().map(|r| r.name.clone()).collect(),
        asked: f.duty.wants.lock().unwrap().get(g).cloned(),
        ..Default::default()
    };
    // A change of hands that this node itself left unfinished is no one else's.
    if s.lead.as_ref().is_some_and(|l| l.server.is_none() && l.assigned_by == f.mesh.me) {
        s.lead_for = s.lead_for.max(sync::STUCK);
    }
    let Some(server) = s.lead.as_ref().and_then(|l| l.server.clone()) else { return s };
    let Some(row) = f.node.registry.server(&server) else { return s };
    let status = row.status.lock().unwrap().clone();
    s.failing = status.failing_since.map(|at| now().saturating_sub(at));
    s.declined = status.refused;
    s.leaving = row.is_draining();
    s.stalled = f.duty.suspected(g, &server).max(row.health.lock().unwrap().stalled_for(now()));
    let not = f.duty.asking.look(&server).is_some_and(|(at, l)| at >= st.since && l.role != Role::Primary);
    st.wrong = if not { st.wrong.or(Some(now())) } else { None };
    s.wrong = st.wrong.map(|at| now().saturating_sub(at));
    s
}

pub async fn look(f: &Arc<Fleet>, g: &Name, st: &mut Group) {
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
    let old = s.lead.as_ref().and_then(|l| l.server.clone().or_else(|| l.demoted.clone()));
    let heir = rows.iter().any(|r| Some(&r.name) != old.as_ref() && !r.is_draining() && heard(r));
    let cut =
        heir && st.minded.behind >= sync::CUT && (st.minded.cut == 0 || now() >= st.minded.cut + CUT_REST);
    let planned = match need(&s, heir) {
        Need::Nothing if cut => {
            st.minded.cut = now();
            f.duty.tell(format!("no replica in {g} receives what its lead has"));
            false
        }
        Need::Nothing => return,
        Need::Now { planned } => planned,
        Need::Confirm => {
            if !others_see(f, &s, dead(&s)).await {
                return;
            }
            false
        }
    };
    promote(f, g, &rows, st, old, planned);
}

fn promote(
    f: &Arc<Fleet>,
    g: &Name,
    rows: &[Arc<ServerEntry>],
    st: &mut Group,
    old: Option<Name>,
    planned: bool,
) {
    let want = f.duty.wants.lock().unwrap().remove(g).flatten();
    let bp = f.node.registry.cluster_state().configuration.clone();
    let group = sync::Group {
        n: bp.and_then(|b| b.group(g).and_then(|x| x.sync_replicas)).unwrap_or(0),
        holders: holders(f, g, rows, st.lead.as_ref()),
        leaving: rows.iter().filter(|r| r.is_draining()).map(|r| r.name.clone()).collect(),
        lead: f.duty.settled.lock().unwrap().get(g).map(|s| s.lead),
    };
    let plan = Plan {
        group: g.clone(),
        by: f.mesh.me.clone(),
        attempt: format!("{}/{}/{:x}", promotion_duty_key(g), f.mesh.me, fastrand::u64(..)).into(),
        lead: st.lead.clone(),
        over: st.over,
        old,
        servers: rows.iter().map(|r| r.name.clone()).collect(),
        copies: rows.len(),
        planned,
        want,
        counts: rows.iter().map(|r| r.name.clone()).chain(gone(f, g, rows)).collect(),
        sync: Some(group),
    };
    let f = f.clone();
    st.planned_over = st.over;
    st.task = Some(seam::spawn(async move {
        let mut plan = plan;
        if !plan.planned || !handover::over(&f, &plan).await {
            // A hand-over that came to no end took a fence, over which this goes on.
            plan.over = plan.over.max(f.duty.own_fence(&plan.group));
            promoting::promote(f, plan).await;
        }
    }));
}

fn settle(f: &Arc<Fleet>, g: &Name, rows: &[Arc<ServerEntry>], st: &mut Group, s: &Sight) {
    let Some(lead) = s.lead.as_ref().filter(|_| s.failing.is_none()) else { return };
    let Some(server) = lead.server.clone() else { return };
    let busy = st.minded.settling.as_ref().is_some_and(|t| !t.is_finished());
    let known = f.duty.settled.lock().unwrap().get(g).is_some_and(|x| x.lead == lead.fence);
    if busy || now() < st.minded.settled + if known { SETTLE } else { LEAD } {
        return;
    }
    st.minded.settled = now();
    let (f, g, fence, lists) = (f.clone(), g.clone(), lead.fence, !lead.previous_voters.is_empty());
    let others = rows.iter().map(|r| r.name.clone()).filter(|n| *n != server).collect::<Vec<_>>();
    st.minded.settling = Some(seam::spawn(async move {
        if acknowledged::settle(&f, &g, fence, &server, &others).await.is_some() && lists {
            let (key, cmd) = (format!("{}/lists/{fence}", promotion_duty_key(&g)), Command::DropPreviousVoters { group: g, fence });
            let _ = f.chain.write(&key, cmd, WRITE).await;
        }
    }));
}

/// No lead yet: the one server that says it leads is taken as it is; nobody is suspended or promoted for that.
fn first(f: &Arc<Fleet>, g: &Name, rows: &[Arc<ServerEntry>], st: &mut Group) {
    let looks: Vec<_> = rows.iter().map(|r| f.duty.asking.look(&r.name).map(|(_, l)| l.role)).collect();
    let say: Vec<&Name> = rows
        .iter()
        .zip(&looks)
        .filter(|(r, l)| l.map_or(r.heartbeat.read().unwrap().role == Role::Primary, |l| l == Role::Primary))
        .map(|(r, _)| &r.name)
        .collect();
    if let [one] = say[..] {
        let sure = f.duty.asking.look(one).is_some_and(|(_, l)| l.role == Role::Primary);
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

async fn adopt(f: Arc<Fleet>, g: Name, server: Name, counts: Vec<Name>, over: FencingToken) {
    let by = f.mesh.me.clone();
    let key = format!("{}/{by}/first/{:x}", promotion_duty_key(&g), fastrand::u64(..));
    let over = PrimaryState { fence: over, primary: None };
    let Taken::Fence(fence) = next_fence(&f, &key, &g, &by, over, WRITE).await else { return };
    let lead = PrimaryAssignment { fence, server: Some(server.clone()), assigned_by: by, voters: counts, ..Default::default() };
    let named =
        f.chain.write(&format!("{key}/name"), Command::AssignPrimary { group: g.clone(), primary: lead }, WRITE).await;
    f.duty.tell(format!("server {server} leads {g} and is named under fence {fence}: {}", named.is_ok()));
}
