//! Chooses the server for a read, and how long the read waits for that server.
use crate::client_api::reply::{SITE_HEALTHY, SITE_PRIMARY_SHARE, SITE_PROBATION};
use crate::retry_budget::RetryBudget;
use crate::routing::cluster_state::ClusterState;
use crate::routing::registry::Registry;
use crate::routing::server_entry::ServerEntry;
use quincehatch_core::{Millis, Name, Role};
use quincehatch_runtime::now;
use std::sync::Arc;

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// The server is a healthy replica.
    Healthy,
    /// The server is a replica on probation: the request shows whether it is healthy again.
    Probation,
    /// The server is a replica that may stall: the request is a canary that distinguishes a stall from a long query.
    Canary,
    /// The server is the primary, because no replica is available.
    Primary,
}

impl ChoiceReason {
    /// Returns the name of the reason in replies to clients.
    pub fn label(self) -> &'static str {
        match self {
            ChoiceReason::Primary => SITE_PRIMARY_SHARE,
            ChoiceReason::Probation => SITE_PROBATION,
            ChoiceReason::Healthy | ChoiceReason::Canary => SITE_HEALTHY,
        }
    }
}

/// A chosen server, and the reason.
pub struct ServerChoice {
    /// The server.
    pub server: Arc<ServerEntry>,
    /// Why the server was chosen.
    pub reason: ChoiceReason,
    /// The number of the attempt that the server was chosen for.
    pub attempt_id: u64,
}

impl ServerChoice {
    fn new(server: &Arc<ServerEntry>, reason: ChoiceReason, criteria: &ChoiceCriteria<'_>) -> ServerChoice {
        ServerChoice { server: server.clone(), reason, attempt_id: criteria.attempt_id }
    }
}

/// The criteria by which a server is chosen.
pub struct ChoiceCriteria<'a> {
    /// The cluster state when the request was received.
    pub cluster_state: &'a ClusterState,
    /// The placement of the request's route.
    pub placement: &'a str,
    /// The zone of this node.
    pub zone: &'a str,
    /// The servers that were already tried.
    pub tried: &'a [Name],
    /// Whether there is time left for a retry at another server.
    pub can_retry: bool,
    /// Whether the route's queries are expected to take long.
    pub long_running: bool,
    /// The number of the attempt.
    pub attempt_id: u64,
}

/// Chooses a server for a read. A replica on probation gets one request, and only if time is left for a retry at
/// another server; the same holds for a canary. Otherwise the best healthy replica is chosen, or the primary if no
/// replica is left.
pub fn choose_server(registry: &Registry, criteria: &ChoiceCriteria<'_>) -> Option<ServerChoice> {
    let configuration = criteria.cluster_state.configuration.as_ref()?;
    let placement = configuration.placement(criteria.placement)?;
    let servers = registry.servers_in_placement(configuration, placement);
    let replicas: Vec<_> = servers.iter().filter(|server| is_usable_replica(server, criteria)).collect();
    if criteria.can_retry
        && let Some(server) = find_on_probation(&replicas, criteria)
    {
        server.health.lock().unwrap().begin_probation_request(criteria.attempt_id);
        return Some(ServerChoice::new(server, ChoiceReason::Probation, criteria));
    }
    let healthy: Vec<_> =
        replicas.into_iter().filter(|server| server.health.lock().unwrap().is_healthy()).collect();
    let may_be_canary = criteria.can_retry && criteria.tried.is_empty() && !criteria.long_running;
    if may_be_canary && let Some(server) = healthy.iter().find(|server| needs_canary(server)) {
        return Some(ServerChoice::new(server, ChoiceReason::Canary, criteria));
    }
    let capacity = configuration.connections.per_replica as usize;
    if let Some(server) = best_replica(&healthy, criteria, capacity) {
        return Some(ServerChoice::new(server, ChoiceReason::Healthy, criteria));
    }
    let primary = servers.iter().find(|server| is_usable_primary(server, criteria))?;
    Some(ServerChoice::new(primary, ChoiceReason::Primary, criteria))
}

fn is_primary(server: &ServerEntry, criteria: &ChoiceCriteria<'_>) -> bool {
    criteria.cluster_state.primary_of(&server.group()) == Some(&server.name)
}

fn is_usable_replica(server: &ServerEntry, criteria: &ChoiceCriteria<'_>) -> bool {
    !is_primary(server, criteria)
        && !server.is_draining()
        && server.role() == Role::Replica
        && server.answered_recently()
}

fn is_usable_primary(server: &ServerEntry, criteria: &ChoiceCriteria<'_>) -> bool {
    is_primary(server, criteria)
        && !server.is_draining()
        && server.answered_recently()
        && !criteria.tried.contains(&server.name)
}

fn find_on_probation<'a>(
    replicas: &[&'a Arc<ServerEntry>],
    criteria: &ChoiceCriteria<'_>,
) -> Option<&'a Arc<ServerEntry>> {
    let is_on_probation = |server: &&&Arc<ServerEntry>| {
        !criteria.tried.contains(&server.name) && server.health.lock().unwrap().accepts_probation_request()
    };
    replicas.iter().find(is_on_probation).copied()
}

fn needs_canary(server: &ServerEntry) -> bool {
    server.health.lock().unwrap().overdue.needs_canary(now())
}

/// Returns the least busy replica, preferring this node's zone. Ties are broken at random.
fn best_replica<'a>(
    healthy: &[&'a Arc<ServerEntry>],
    criteria: &ChoiceCriteria<'_>,
    capacity: usize,
) -> Option<&'a Arc<ServerEntry>> {
    let untried = healthy.iter().filter(|server| !criteria.tried.contains(&server.name));
    let least_busy = untried.min_by_key(|server| {
        let pending_replies = server.health.lock().unwrap().overdue.pending_count();
        let connections = server.pool.slots.count();
        let is_full = connections.idle == 0 && connections.open >= capacity;
        let is_remote = server.zone() != criteria.zone;
        (is_full, is_remote, pending_replies, fastrand::u8(..))
    });
    least_busy.copied()
}

/// The timeout of a canary before it is retried at another server.
const CANARY_TIMEOUT: Millis = 400;
/// One attempt gets the time that is left divided by this before it is retried at another server.
const ATTEMPTS_PER_REQUEST: Millis = 3;
/// The shortest timeout of one attempt, if that much time is left.
const MIN_ATTEMPT_TIMEOUT: Millis = 50;

/// Returns the time until which a request with this deadline waits for the chosen server before it is retried at
/// another one as well.
pub fn attempt_deadline(choice: &ServerChoice, long_running: bool, deadline: Millis) -> Millis {
    let time_left = deadline.saturating_sub(now());
    let share = (time_left / ATTEMPTS_PER_REQUEST).max(MIN_ATTEMPT_TIMEOUT).min(time_left);
    match choice.reason {
        ChoiceReason::Primary => deadline,
        ChoiceReason::Canary if long_running => deadline,
        ChoiceReason::Canary => now() + share.min(CANARY_TIMEOUT),
        ChoiceReason::Probation => now() + share,
        ChoiceReason::Healthy if long_running => deadline,
        ChoiceReason::Healthy => now() + share,
    }
}

/// The time by which the deadline of an attempt is extended each time.
const DEADLINE_EXTENSION: Millis = 250;
/// With less time left, the deadline of an attempt is not extended.
const MIN_TIME_FOR_EXTENSION: Millis = 20;

/// Returns the extended deadline of an attempt whose deadline has passed, or `None` if the request is to be retried at
/// another server.
///
/// The attempt goes on while the server answers other requests, because then the query takes long and would take as
/// long at another server. It is retried as soon as the server stops answering, unless the node's retry budget is
/// spent.
pub fn extend_deadline(choice: &ServerChoice, budget: &RetryBudget, deadline: Millis) -> Option<Millis> {
    let time_left = deadline.saturating_sub(now());
    if time_left < MIN_TIME_FOR_EXTENSION {
        return None;
    }
    let answers_other_requests =
        choice.server.health.lock().unwrap().overdue.answered_within(now(), DEADLINE_EXTENSION);
    if matches!(choice.reason, ChoiceReason::Probation | ChoiceReason::Canary) {
        return None;
    }
    let keeps_waiting = answers_other_requests || !budget.try_spend();
    keeps_waiting.then(|| now() + time_left.min(DEADLINE_EXTENSION))
}
