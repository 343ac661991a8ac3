//! Which server a held visit goes to (§4.7, §4.10).
use crate::board::{Board, ServerRow};
use crate::direct::{DirectProxy, ResolvedRoute};
use quincehatch_core::{ErrorCode, Error, FencingToken, Millis, Position};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

/// When whoever was declined for want of a lead is to come again.
const BACK: Millis = 250;

/// May this node use a lead that it sees named?
fn leased(b: &Board) -> bool {
    b.has_lease() || seam::injected_bug("held-lead-unleased")
}

/// The group's lead at this moment, if this node may use it: named, and the node's lease holds.
pub fn lead_now(held: &DirectProxy, group: &str) -> Option<Arc<ServerRow>> {
    let b = &held.proxy.board;
    let lead = b.lead(group).and_then(|l| l.server).filter(|_| leased(b))?;
    b.row(&lead).filter(|r| !r.left_long())
}

/// Is that still the lead, under a lease? The fence under which it leads.
pub fn leads(held: &DirectProxy, group: &str, row: &ServerRow) -> Option<FencingToken> {
    let b = &held.proxy.board;
    b.lead(group).filter(|l| leased(b) && l.server.as_ref() == Some(&row.name)).map(|l| l.fence)
}

/// The same, where it may be given new work.
pub fn takes(held: &DirectProxy, group: &str, row: &ServerRow) -> Option<FencingToken> {
    leads(held, group, row).filter(|_| !row.left_long())
}

/// The lead, waited for until `until` in bounded holding while hands change (§5.5).
pub async fn lead(held: &DirectProxy, group: &str, until: Millis) -> Result<Arc<ServerRow>, Error> {
    let mut place = None;
    loop {
        let changed = held.proxy.board.changed.notified();
        if let Some(r) = lead_now(held, group) {
            return Ok(r);
        }
        if !held.proxy.board.has_lease() {
            return Err(ErrorCode::NoLease.without_detail().with_retry_after(BACK));
        }
        if now() >= until {
            return Err(ErrorCode::NoPrimary.without_detail().with_retry_after(BACK));
        }
        if place.is_none() {
            let most = held.proxy.board.plan().blueprint.as_ref().map_or(512, |b| b.queue.max_waiting);
            place = held.proxy.board.works.hold(group, most as usize);
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
    pub row: Arc<ServerRow>,
    pub floor: Option<Position>,
}

/// The best server for a lookup among those not tried yet: a replica that is in rotation (§4.7), else the lead.
pub fn lookup(held: &DirectProxy, way: &ResolvedRoute, tried: &[Arc<ServerRow>], trial: bool) -> Option<ReadTarget> {
    let b = &held.proxy.board;
    let lead = b.lead(&way.group).and_then(|l| l.server);
    let floor = b.seen(&way.group, |s| s.needed(now(), way.fresh));
    let new = |r: &Arc<ServerRow>| !tried.iter().any(|t| Arc::ptr_eq(t, r));
    if floor.is_some() {
        let fits = |r: &&Arc<ServerRow>| {
            r.group() == way.group && Some(&r.name) != lead.as_ref() && !r.leaving() && new(r)
        };
        let rows = b.rows();
        let on_trial = rows.iter().filter(fits).find(|r| trial && r.health.lock().unwrap().may_try());
        let in_rotation = rows.iter().filter(fits).filter(|r| r.health.lock().unwrap().may_serve());
        let best = in_rotation.min_by_key(|r| {
            let away = usize::from(r.district() != held.proxy.set.zone);
            (r.held.checked_out() + r.held.waiting() * 2) * 2 + away
        });
        if let Some(row) = on_trial.or(best) {
            return Some(ReadTarget { row: row.clone(), floor });
        }
    }
    lead_now(held, &way.group).filter(|r| new(r) && !r.leaving()).map(|row| ReadTarget { row, floor: None })
}
