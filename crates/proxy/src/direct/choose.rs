//! Which server a held visit goes to (§4.7, §4.10).
use crate::direct::{DirectProxy, ResolvedRoute};
use crate::registry::{Registry, ServerEntry};
use quincehatch_core::{Error, ErrorCode, FencingToken, Millis, Position};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

/// When whoever was declined for want of a lead is to come again.
const BACK: Millis = 250;

/// May this node use a lead that it sees named?
fn leased(b: &Registry) -> bool {
    b.has_lease() || seam::injected_bug("held-lead-unleased")
}

/// The group's lead at this moment, if this node may use it: named, and the node's lease holds.
pub fn lead_now(held: &DirectProxy, group: &str) -> Option<Arc<ServerEntry>> {
    let b = &held.proxy.registry;
    let lead = b.primary(group).and_then(|l| l.server).filter(|_| leased(b))?;
    b.server(&lead).filter(|r| !r.past_drain_grace())
}

/// Is that still the lead, under a lease? The fence under which it leads.
pub fn leads(held: &DirectProxy, group: &str, row: &ServerEntry) -> Option<FencingToken> {
    let b = &held.proxy.registry;
    b.primary(group).filter(|l| leased(b) && l.server.as_ref() == Some(&row.name)).map(|l| l.fence)
}

/// The same, where it may be given new work.
pub fn takes(held: &DirectProxy, group: &str, row: &ServerEntry) -> Option<FencingToken> {
    leads(held, group, row).filter(|_| !row.past_drain_grace())
}

/// The lead, waited for until `until` in bounded holding while hands change (§5.5).
pub async fn lead(held: &DirectProxy, group: &str, until: Millis) -> Result<Arc<ServerEntry>, Error> {
    let mut place = None;
    loop {
        let changed = held.proxy.registry.changed.notified();
        if let Some(r) = lead_now(held, group) {
            return Ok(r);
        }
        if !held.proxy.registry.has_lease() {
            return Err(ErrorCode::NoLease.without_detail().with_retry_after(BACK));
        }
        if now() >= until {
            return Err(ErrorCode::NoPrimary.without_detail().with_retry_after(BACK));
        }
        if place.is_none() {
            let most = held
                .proxy
                .registry
                .cluster_state()
                .configuration
                .as_ref()
                .map_or(512, |b| b.queue.max_waiting);
            place = held.proxy.registry.in_flight.enter_queue(group, most as usize);
            if place.is_none() {
                return Err(ErrorCode::QueueFull.without_detail().with_retry_after(BACK));
            }
        }
        let left = until.saturating_sub(now()).clamp(1, 100);
        let _ = seam::timeout(Duration::from_millis(left), changed).await;
    }
}

/// Where a lookup may go: a replica that has the floor, or the lead, which needs none.
pub struct ReadTarget {
    pub row: Arc<ServerEntry>,
    pub floor: Option<Position>,
}

/// The best server for a lookup among those not tried yet: a replica that is in rotation (§4.7), else the lead.
pub fn lookup(
    held: &DirectProxy,
    way: &ResolvedRoute,
    tried: &[Arc<ServerEntry>],
    trial: bool,
) -> Option<ReadTarget> {
    let b = &held.proxy.registry;
    let lead = b.primary(&way.group).and_then(|l| l.server);
    let floor = b.with_primary_positions(&way.group, |s| s.needed(now(), way.fresh));
    let new = |r: &Arc<ServerEntry>| !tried.iter().any(|t| Arc::ptr_eq(t, r));
    if floor.is_some() {
        let fits = |r: &&Arc<ServerEntry>| {
            r.group() == way.group && Some(&r.name) != lead.as_ref() && !r.is_draining() && new(r)
        };
        let rows = b.servers();
        let on_trial =
            rows.iter().filter(fits).find(|r| trial && r.health.lock().unwrap().accepts_probation_request());
        let in_rotation = rows.iter().filter(fits).filter(|r| r.health.lock().unwrap().is_healthy());
        let best = in_rotation.min_by_key(|r| {
            let away = usize::from(r.zone() != held.proxy.settings.zone);
            (r.direct_pool.checked_out() + r.direct_pool.waiting() * 2) * 2 + away
        });
        if let Some(row) = on_trial.or(best) {
            return Some(ReadTarget { row: row.clone(), floor });
        }
    }
    lead_now(held, &way.group)
        .filter(|r| new(r) && !r.is_draining())
        .map(|row| ReadTarget { row, floor: None })
}
