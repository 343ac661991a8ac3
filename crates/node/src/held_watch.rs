//! Few questions to servers met over held links, from the node that looks after their group (§3.6, §5.5).
use crate::group::Group;
use crate::server_queries::ask;
use crate::{ClusterNode, held_promotion};
use quincehatch_core::{Millis, Name, Role};
use quincehatch_failover::sync::Mark;
use quincehatch_proxy::ports::ServerCall;
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_proxy::state::HealthState;
use quincehatch_runtime::{now, seam};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How often the lead is asked for its STATUS, unless it answered anything within `FRESH`; and the others.
pub const LEAD: Millis = 400;
const FRESH: Millis = 300;
const OTHER: Millis = 2_000;
/// What a node saw of a server for so long answers another node's question.
const SEEN: Millis = 500;
const SILENT_HERE: Millis = 250;
/// Replicas are asked oftener once none of them was seen to receive anything for so long.
const SOON: Millis = 500;
/// A server that is held, or leads a lower term, for so long is told.
const ODD: Millis = 5_000;

/// What is under way for one group.
#[derive(Default)]
pub struct Minded {
    asked: BTreeMap<Name, (Millis, Option<seam::TaskHandle>)>,
    odd: BTreeMap<Name, Millis>,
    mark: Mark,
    /// For how long no replica was seen to receive what the lead had.
    pub behind: Millis,
    /// When it was replaced for that.
    pub cut: Millis,
    pub settled: Millis,
    pub settling: Option<seam::TaskHandle>,
}

/// Asks the server itself where nothing was heard of it lately, for another node's question.
pub async fn look_again(f: &Arc<ClusterNode>, server: &Name) {
    let Some(row) = f.proxy.registry.server(server) else { return };
    let st = row.status.lock().unwrap().clone();
    // A silence that this node sees itself needs no other question.
    let silent = st.failing_since.is_some_and(|at| now() >= at + SILENT_HERE);
    if !silent && now() >= st.answered_at + SEEN {
        ask(f, server, ServerCall::Status).await;
    }
}

/// Asks those servers that are due, each by a task of its own.
pub fn watch(f: &Arc<ClusterNode>, rows: &[Arc<ServerEntry>], st: &mut Group) {
    let lead = st.lead.as_ref().and_then(|l| l.server.clone());
    st.minded.asked.retain(|n, _| rows.iter().any(|r| r.name == *n));
    let seen = |n: &Name| f.promotion_state.server_queries.look(n).filter(|(at, _)| *at >= st.since);
    let others = rows.iter().filter(|r| lead.as_ref() != Some(&r.name)).filter_map(|r| seen(&r.name));
    let others: Vec<_> = others.map(|(at, l)| (at, l.received)).collect();
    let at_lead = lead.as_ref().and_then(seen).filter(|(_, l)| l.role == Role::Primary);
    (st.minded.mark, st.minded.behind) = at_lead.map_or_else(Default::default, |(at, l)| {
        let mut m = st.minded.mark;
        let behind = m.behind((at, l.received), &others);
        (m, behind)
    });
    for r in rows {
        let leads = lead.as_ref() == Some(&r.name);
        let (at, task) = st.minded.asked.entry(r.name.clone()).or_default();
        let busy = task.as_ref().is_some_and(|t| !t.is_finished());
        let status = r.status.lock().unwrap().clone();
        // Whoever is silent is asked oftener: the count of its silence must not wait.
        let gap = if leads || lead.is_none() || st.minded.behind > SOON { LEAD } else { OTHER };
        let fresh = leads && status.failing_since.is_none() && now() < status.answered_at + FRESH;
        // Whoever declined as one that does not lead is asked at once.
        let wrong = leads && (st.wrong.is_some() || status.denied_primary_at.is_some_and(|t| t > *at));
        let gap = if leads && status.denied_primary_at.is_some_and(|t| t > *at) { SOON / 5 } else { gap };
        if busy || (fresh && !wrong && *at > 0 && now() < *at + OTHER) || (*at > 0 && now() < *at + gap) {
            continue;
        }
        *at = now();
        let (f, name) = (f.clone(), r.name.clone());
        *task = Some(seam::spawn(async move {
            let _ = ask(&f, &name, ServerCall::Status).await;
        }));
    }
}

/// An old primary of a lower term that comes back is told, and replicas that someone left held receive again: not at
/// once, as whoever holds them may be about to choose among them.
pub fn mend(f: &Arc<ClusterNode>, rows: &[Arc<ServerEntry>], st: &mut Group) {
    let Some(lead) = st.lead.as_ref().and_then(|l| l.server.as_ref()) else { return };
    let look =
        |s: &Name| f.promotion_state.server_queries.look(s).filter(|(at, _)| *at >= st.since).map(|(_, l)| l);
    let term = look(lead).filter(|l| l.role == Role::Primary).map(|l| l.term);
    for r in rows {
        let odd = term.is_some_and(|term| {
            let l = look(&r.name).filter(|_| r.name != *lead);
            l.is_some_and(|l| if l.role == Role::Primary { l.term < term } else { l.suspended_term > 0 })
        });
        if !odd {
            st.minded.odd.remove(&r.name);
        } else if now() >= *st.minded.odd.entry(r.name.clone()).or_insert(now()) + ODD {
            st.minded.odd.remove(&r.name);
            seam::spawn(held_promotion::follow(f.clone(), r.name.clone(), term.unwrap_or(0)));
        }
    }
}

/// By how much less often each node asks where many do (§5.13).
pub fn crowd(nodes: usize) -> u64 {
    (nodes as u64 / 16).max(1)
}

/// A server that is set aside goes on trial once its wait is over and it has what was seen of the lead (§4.5).
pub fn try_again(f: &Arc<ClusterNode>) {
    let times = crowd(f.gossip.live_nodes().len());
    f.promotion_state.server_queries.forget(times, |s| f.feed_state.lock().unwrap().servers.contains_key(s));
    for r in f.proxy.registry.servers() {
        let h = r.health.lock().unwrap();
        let due = h.state == HealthState::Ejected && now() >= h.ejected_until;
        drop(h);
        if !due || now() < r.status.lock().unwrap().asked_at + LEAD * times {
            continue;
        }
        r.status.lock().unwrap().asked_at = now();
        let f = f.clone();
        seam::spawn(async move {
            let Some(l) = ask(&f, &r.name, ServerCall::Status).await else { return };
            let needed = f.proxy.registry.with_primary_positions(&r.group(), |s| s.needed(now(), 1_500));
            if needed.is_some_and(|p| l.received >= p) {
                r.health.lock().unwrap().status_succeeded(now());
            }
        });
    }
}
