//! Which server a statement goes to.
use super::DirectProxy;
use super::route::ResolvedRoute;
use crate::in_flight::QueueSlot;
use crate::registry::{Registry, ServerEntry};
use quincehatch_core::{Error, ErrorCode, FencingToken, Millis, Name, Position};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

/// When a client that was rejected for want of a primary is to come again.
const RETRY_AFTER: Millis = 250;
/// How long a queued statement waits for a change of the cluster state before it looks again.
const RECHECK_INTERVAL: Millis = 100;
/// Statements queued for a group where no configuration says how many.
const DEFAULT_MAX_WAITING: u64 = 512;
/// How much more a waiter weighs than a connection that is in use.
const WAITER_WEIGHT: usize = 2;

/// Whether this node may use a primary that it sees assigned: only under a lease, as else the assignment may be old.
fn may_use_primary(registry: &Registry) -> bool {
    registry.has_lease() || seam::injected_bug("held-lead-unleased")
}

/// The group's primary at this moment, if this node may use it and it still takes new work.
fn usable_primary(direct: &DirectProxy, group: &str) -> Option<Arc<ServerEntry>> {
    let registry = &direct.proxy.registry;
    let primary = registry.primary(group)?.server?;
    if !may_use_primary(registry) {
        return None;
    }
    registry.server(&primary).filter(|server| !server.past_drain_grace())
}

/// The fence under which this server is the primary now; `None` if it is not, or this node has no lease.
pub(super) fn fence_if_primary(
    direct: &DirectProxy,
    group: &str,
    server: &ServerEntry,
) -> Option<FencingToken> {
    let registry = &direct.proxy.registry;
    let assignment = registry.primary(group)?;
    let assigned = assignment.server.as_ref() == Some(&server.name);
    (assigned && may_use_primary(registry)).then_some(assignment.fence)
}

/// The same for a server that also takes new work.
pub(super) fn fence_if_accepting(
    direct: &DirectProxy,
    group: &str,
    server: &ServerEntry,
) -> Option<FencingToken> {
    fence_if_primary(direct, group, server).filter(|_| !server.past_drain_grace())
}

/// The group's primary. While another one is being promoted the caller is queued, until `until`.
///
/// # Errors
/// Without a lease, without a primary in time, or when the queue is full.
pub(super) async fn wait_for_primary(
    direct: &DirectProxy,
    group: &str,
    until: Millis,
) -> Result<Arc<ServerEntry>, Error> {
    let registry = &direct.proxy.registry;
    let mut queue_slot = None;
    loop {
        // Taken before the look, so that no change is missed between the look and the wait.
        let changed = registry.changed.notified();
        if let Some(server) = usable_primary(direct, group) {
            return Ok(server);
        }
        if !registry.has_lease() {
            return Err(rejection(ErrorCode::NoLease));
        }
        if now() >= until {
            return Err(rejection(ErrorCode::NoPrimary));
        }
        if queue_slot.is_none() {
            queue_slot = Some(enter_queue(registry, group)?);
        }
        let left = until.saturating_sub(now()).clamp(1, RECHECK_INTERVAL);
        let _ = seam::timeout(Duration::from_millis(left), changed).await;
    }
}

fn enter_queue(registry: &Registry, group: &str) -> Result<QueueSlot, Error> {
    let state = registry.cluster_state();
    let config = state.configuration.as_ref();
    let max_waiting = config.map_or(DEFAULT_MAX_WAITING, |config| config.queue.max_waiting);
    let slot = registry.in_flight.enter_queue(group, max_waiting as usize);
    slot.ok_or_else(|| rejection(ErrorCode::QueueFull))
}

fn rejection(code: ErrorCode) -> Error {
    code.without_detail().with_retry_after(RETRY_AFTER)
}

/// Where a read may run.
pub(super) struct ReadTarget {
    pub server: Arc<ServerEntry>,
    /// The position that a replica's log must have reached; `None` for the primary, which needs none.
    pub floor: Option<Position>,
}

impl ReadTarget {
    /// Whether the read goes to the primary.
    pub fn is_primary(&self) -> bool {
        self.floor.is_none()
    }
}

/// The best server for a read among those not in `tried`: a healthy replica, else the primary. With `allow_probation` a
/// replica on probation comes first.
pub(super) fn choose_read_target(
    direct: &DirectProxy,
    route: &ResolvedRoute,
    tried: &[Arc<ServerEntry>],
    allow_probation: bool,
) -> Option<ReadTarget> {
    let registry = &direct.proxy.registry;
    let floor = registry.needed_position(&route.group, route.max_staleness);
    if floor.is_some() {
        let replicas = replicas_of(registry, route, tried);
        if let Some(server) = choose_replica(direct, &replicas, allow_probation) {
            return Some(ReadTarget { server, floor });
        }
    }
    let primary = usable_primary(direct, &route.group)?;
    let eligible = !was_tried(tried, &primary) && !primary.is_draining();
    eligible.then_some(ReadTarget { server: primary, floor: None })
}

fn replicas_of(
    registry: &Registry,
    route: &ResolvedRoute,
    tried: &[Arc<ServerEntry>],
) -> Vec<Arc<ServerEntry>> {
    let primary: Option<Name> = registry.primary(&route.group).and_then(|assignment| assignment.server);
    let mut servers = registry.servers();
    servers.retain(|server| {
        server.group() == route.group
            && Some(&server.name) != primary.as_ref()
            && !server.is_draining()
            && !was_tried(tried, server)
    });
    servers
}

fn choose_replica(
    direct: &DirectProxy,
    replicas: &[Arc<ServerEntry>],
    allow_probation: bool,
) -> Option<Arc<ServerEntry>> {
    if allow_probation {
        let on_probation =
            |server: &&Arc<ServerEntry>| server.health.lock().unwrap().accepts_probation_request();
        if let Some(server) = replicas.iter().find(on_probation) {
            return Some(server.clone());
        }
    }
    let healthy = replicas.iter().filter(|server| server.health.lock().unwrap().is_healthy());
    healthy.min_by_key(|server| load(direct, server)).cloned()
}

/// How busy this proxy keeps the server; between equals one in the proxy's own zone is less.
fn load(direct: &DirectProxy, server: &ServerEntry) -> usize {
    let pool = &server.direct_pool;
    let elsewhere = server.zone() != direct.proxy.settings.zone;
    (pool.checked_out() + pool.waiting() * WAITER_WEIGHT) * 2 + usize::from(elsewhere)
}

fn was_tried(tried: &[Arc<ServerEntry>], server: &Arc<ServerEntry>) -> bool {
    tried.iter().any(|other| Arc::ptr_eq(other, server))
}
