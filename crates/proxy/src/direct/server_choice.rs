//! Chooses the server that a statement is sent to.
use super::DirectProxy;
use super::route::ResolvedRoute;
use crate::in_flight::QueueSlot;
use crate::registry::{Registry, ServerEntry};
use quincehatch_core::{Error, ErrorCode, FencingToken, Millis, Name, Position};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

/// When a client may retry after a rejection because there is no primary, no lease or no room in the queue.
const RETRY_AFTER_NO_PRIMARY: Millis = 250;
/// How long a queued statement waits for a change of the cluster state before it checks for a primary again.
const RECHECK_INTERVAL: Millis = 100;
/// The maximum number of statements queued for a group if there is no configuration.
const DEFAULT_MAX_WAITING: u64 = 512;
/// The weight of a queued request in a server's load, relative to a connection in use.
const WAITER_WEIGHT: usize = 2;

/// Whether this node may use the assigned primary: only under a lease, as the assignment may be stale otherwise.
fn may_use_primary(registry: &Registry) -> bool {
    registry.has_lease() || seam::injected_bug("held-lead-unleased")
}

/// Returns the group's current primary, if this node may use it and it still accepts new work.
fn usable_primary(direct: &DirectProxy, group: &str) -> Option<Arc<ServerEntry>> {
    let registry = &direct.proxy.registry;
    let primary = registry.primary(group)?.server?;
    if !may_use_primary(registry) {
        return None;
    }
    registry.server(&primary).filter(|server| !server.is_past_drain_grace())
}

/// Returns the fence under which this server is the primary now; `None` if it is not, or if this node has no lease.
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

/// Returns the same as [`fence_if_primary`], but `None` also if the server accepts no new work.
pub(super) fn fence_if_accepting(
    direct: &DirectProxy,
    group: &str,
    server: &ServerEntry,
) -> Option<FencingToken> {
    fence_if_primary(direct, group, server).filter(|_| !server.is_past_drain_grace())
}

/// Returns the group's primary. While a new primary is being promoted the caller is queued, at most until `deadline`.
///
/// # Errors
/// `NoLease` without a lease, `NoPrimary` if there is no primary in time, `QueueFull` when the queue is full.
pub(super) async fn wait_for_primary(
    direct: &DirectProxy,
    group: &str,
    deadline: Millis,
) -> Result<Arc<ServerEntry>, Error> {
    let registry = &direct.proxy.registry;
    let mut queue_slot = None;
    loop {
        // Registered before the check, so that no change is missed between the check and the wait.
        let changed = registry.changed.notified();
        if let Some(server) = usable_primary(direct, group) {
            return Ok(server);
        }
        if !registry.has_lease() {
            return Err(retryable_error(ErrorCode::NoLease));
        }
        if now() >= deadline {
            return Err(retryable_error(ErrorCode::NoPrimary));
        }
        if queue_slot.is_none() {
            queue_slot = Some(enter_queue(registry, group)?);
        }
        let left = deadline.saturating_sub(now()).clamp(1, RECHECK_INTERVAL);
        let _ = seam::timeout(Duration::from_millis(left), changed).await;
    }
}

fn enter_queue(registry: &Registry, group: &str) -> Result<QueueSlot, Error> {
    let state = registry.cluster_state();
    let config = state.configuration.as_ref();
    let max_waiting = config.map_or(DEFAULT_MAX_WAITING, |config| config.queue.max_waiting);
    let slot = registry.in_flight.enter_queue(group, max_waiting as usize);
    slot.ok_or_else(|| retryable_error(ErrorCode::QueueFull))
}

fn retryable_error(code: ErrorCode) -> Error {
    code.without_detail().with_retry_after(RETRY_AFTER_NO_PRIMARY)
}

/// A server that may run a read.
pub(super) struct ReadTarget {
    pub server: Arc<ServerEntry>,
    /// The position that a replica's log must have reached; `None` for the primary, whose log is always current.
    pub floor: Option<Position>,
}

impl ReadTarget {
    /// Whether the read goes to the primary.
    pub fn is_primary(&self) -> bool {
        self.floor.is_none()
    }
}

/// Returns the best server for a read among those not in `tried`: the least loaded healthy replica, else the primary.
/// With `allow_probation`, a replica on probation that accepts a request is preferred.
pub(super) fn choose_read_target(
    direct: &DirectProxy,
    route: &ResolvedRoute,
    tried: &[Arc<ServerEntry>],
    allow_probation: bool,
) -> Option<ReadTarget> {
    let registry = &direct.proxy.registry;
    let floor = registry.required_position(&route.group, route.max_staleness);
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

/// Returns the load that this proxy puts on the server. A server in the proxy's own zone ranks below an equally loaded
/// server of another zone.
fn load(direct: &DirectProxy, server: &ServerEntry) -> usize {
    let pool = &server.direct_pool;
    let in_other_zone = server.zone() != direct.proxy.settings.zone;
    (pool.checked_out() + pool.waiter_count() * WAITER_WEIGHT) * 2 + usize::from(in_other_zone)
}

fn was_tried(tried: &[Arc<ServerEntry>], server: &Arc<ServerEntry>) -> bool {
    tried.iter().any(|other| Arc::ptr_eq(other, server))
}
