//! Where a lookup goes, and how long it stays there (§4.5, §4.7).
use crate::proxy::Proxy;
use crate::registry::ServerEntry;
use crate::request::ClientRequest;
use quincehatch_core::{Millis, Name, Role};
use quincehatch_runtime::now;
use std::sync::Arc;

/// One server to ask, and why it may be asked.
pub struct Choice {
    pub row: Arc<ServerEntry>,
    pub primary: bool,
    pub trial: bool,
    /// It goes there to find out whether the server stalls (§4.5).
    pub witness: bool,
}

pub fn choose(
    n: &Proxy,
    v: &ClientRequest,
    tried: &[Name],
    (room, long): (bool, bool),
    id: u64,
) -> Option<Choice> {
    let bp = v.plan.configuration.as_ref()?;
    let p = bp.placement(&v.ran.placement)?;
    let rows = n.registry.servers_in_placement(bp, p);
    let lead_of = |r: &ServerEntry| v.plan.primaries.get(&r.group()).and_then(|l| l.server.clone());
    let is_lead = |r: &ServerEntry| lead_of(r).as_ref() == Some(&r.name);
    let here = &n.settings.zone;
    let near = |r: &Arc<ServerEntry>| r.zone() != here.as_str();
    let usable: Vec<_> = rows
        .iter()
        .filter(|r| !is_lead(r) && !r.is_draining() && r.heartbeat.read().unwrap().role == Role::Replica)
        .filter(|r| r.answered_recently())
        .collect();
    // A trial takes one visit, and only one with time left to go elsewhere.
    if room
        && let Some(r) = usable
            .iter()
            .find(|r| !tried.contains(&r.name) && r.health.lock().unwrap().accepts_probation_request())
    {
        r.health.lock().unwrap().begin_probation_request(id);
        return Some(Choice { row: (*r).clone(), primary: false, trial: true, witness: false });
    }
    let good: Vec<_> = usable.iter().filter(|r| r.health.lock().unwrap().is_healthy()).collect();
    // A first visit may be a witness, if there is time to go elsewhere.
    let doubtful = |r: &&&&Arc<ServerEntry>| r.health.lock().unwrap().overdue.wants_canary(now());
    if room
        && tried.is_empty()
        && !long
        && let Some(r) = good.iter().find(doubtful)
    {
        return Some(Choice { row: (**r).clone(), primary: false, trial: false, witness: true });
    }
    let cap = bp.connections.per_replica as usize;
    let best = good.iter().filter(|r| !tried.contains(&r.name)).min_by_key(|r| {
        let owing = r.health.lock().unwrap().overdue.pending_count();
        let (live, idle) = r.pool.slots.count();
        (idle == 0 && live >= cap, near(r), owing, fastrand::u8(..))
    });
    if let Some(r) = best {
        return Some(Choice { row: (**r).clone(), primary: false, trial: false, witness: false });
    }
    // None is left: the primary, if the placement holds it, under a share of its links (§4.7).
    rows.iter()
        .find(|r| is_lead(r) && !r.is_draining() && r.answered_recently() && !tried.contains(&r.name))
        .map(|r| Choice { row: r.clone(), primary: true, trial: false, witness: false })
}

/// A witness goes elsewhere after this.
const WITNESS: Millis = 400;

/// The share of the time one server gets before the visit goes elsewhere as well.
pub fn patience(v: &ClientRequest, long: bool, c: &Choice) -> Millis {
    let share = (v.left() / 3).max(50).min(v.left());
    match (long || c.primary, c.witness) {
        (true, _) => v.until,
        (_, true) => now() + share.min(WITNESS),
        _ => now() + share,
    }
}

/// A visit whose time at a server is over stays there while the server answers others: then it is the visit that is
/// long, and would be elsewhere too (§4.5). It goes on as soon as the server falls silent, or while the node's budget
/// for carrying is spent stays all the same (§4.7).
pub fn stay(n: &Proxy, c: &Choice, till: Millis) -> Option<Millis> {
    const STEP: Millis = 250;
    let left = till.saturating_sub(now());
    if left < 20 {
        return None;
    }
    let answers = c.row.health.lock().unwrap().overdue.answered_within(now(), STEP);
    (!c.trial && !c.witness && (answers || !n.retry_budget.try_spend())).then(|| now() + left.min(STEP))
}
