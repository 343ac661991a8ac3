//! Which server a read goes to, and how long it stays there.
use crate::client_api::reply::{SITE_HEALTHY, SITE_PRIMARY_SHARE, SITE_PROBATION};
use crate::retry_budget::RetryBudget;
use crate::routing::cluster_state::ClusterState;
use crate::routing::registry::Registry;
use crate::routing::server_entry::ServerEntry;
use quincehatch_core::{Millis, Name, Role};
use quincehatch_runtime::now;
use std::sync::Arc;

/// Why a server may be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// A healthy replica.
    Healthy,
    /// A replica on probation: the request tells whether it is healthy again.
    Probation,
    /// A replica that may stall: the request is a canary that tells a stall from a long query.
    Canary,
    /// The primary, as no replica can be asked.
    Primary,
}

impl ChoiceReason {
    /// The reason's name in replies to clients.
    pub fn label(self) -> &'static str {
        match self {
            ChoiceReason::Primary => SITE_PRIMARY_SHARE,
            ChoiceReason::Probation => SITE_PROBATION,
            ChoiceReason::Healthy | ChoiceReason::Canary => SITE_HEALTHY,
        }
    }
}

/// A server to ask, and why.
pub struct ServerChoice {
    /// The server.
    pub server: Arc<ServerEntry>,
    /// Why it may be asked.
    pub reason: ChoiceReason,
    /// Number of the attempt it was chosen for.
    pub attempt_id: u64,
}

impl ServerChoice {
    fn new(server: &Arc<ServerEntry>, reason: ChoiceReason, query: &ReadQuery<'_>) -> ServerChoice {
        ServerChoice { server: server.clone(), reason, attempt_id: query.attempt_id }
    }
}

/// What a server is chosen by.
pub struct ReadQuery<'a> {
    /// Configuration and primaries as known when the request came.
    pub cluster_state: &'a ClusterState,
    /// The placement of its route.
    pub placement: &'a str,
    /// The zone of this node.
    pub zone: &'a str,
    /// Servers that were asked already.
    pub tried: &'a [Name],
    /// There is time to retry elsewhere.
    pub can_retry: bool,
    /// The route's queries are known to take long.
    pub long_running: bool,
    /// Number of the attempt.
    pub attempt_id: u64,
}

/// A replica on probation takes one request, and only one with time left to be retried elsewhere; the same goes for a
/// canary. Else the best healthy replica is chosen, and the primary if none is left.
pub fn choose_server(registry: &Registry, query: &ReadQuery<'_>) -> Option<ServerChoice> {
    let configuration = query.cluster_state.configuration.as_ref()?;
    let placement = configuration.placement(query.placement)?;
    let servers = registry.servers_in_placement(configuration, placement);
    let replicas: Vec<_> = servers.iter().filter(|server| is_usable_replica(server, query)).collect();
    if query.can_retry
        && let Some(server) = find_on_probation(&replicas, query)
    {
        server.health.lock().unwrap().begin_probation_request(query.attempt_id);
        return Some(ServerChoice::new(server, ChoiceReason::Probation, query));
    }
    let healthy: Vec<_> =
        replicas.into_iter().filter(|server| server.health.lock().unwrap().is_healthy()).collect();
    let may_be_canary = query.can_retry && query.tried.is_empty() && !query.long_running;
    if may_be_canary && let Some(server) = healthy.iter().find(|server| wants_canary(server)) {
        return Some(ServerChoice::new(server, ChoiceReason::Canary, query));
    }
    let capacity = configuration.connections.per_replica as usize;
    if let Some(server) = best_replica(&healthy, query, capacity) {
        return Some(ServerChoice::new(server, ChoiceReason::Healthy, query));
    }
    let primary = servers.iter().find(|server| is_usable_primary(server, query))?;
    Some(ServerChoice::new(primary, ChoiceReason::Primary, query))
}

fn is_primary(server: &ServerEntry, query: &ReadQuery<'_>) -> bool {
    query.cluster_state.primary_of(&server.group()) == Some(&server.name)
}

fn is_usable_replica(server: &ServerEntry, query: &ReadQuery<'_>) -> bool {
    !is_primary(server, query)
        && !server.is_draining()
        && server.role() == Role::Replica
        && server.answered_recently()
}

fn is_usable_primary(server: &ServerEntry, query: &ReadQuery<'_>) -> bool {
    is_primary(server, query)
        && !server.is_draining()
        && server.answered_recently()
        && !query.tried.contains(&server.name)
}

fn find_on_probation<'a>(
    replicas: &[&'a Arc<ServerEntry>],
    query: &ReadQuery<'_>,
) -> Option<&'a Arc<ServerEntry>> {
    let is_on_probation = |server: &&&Arc<ServerEntry>| {
        !query.tried.contains(&server.name) && server.health.lock().unwrap().accepts_probation_request()
    };
    replicas.iter().find(is_on_probation).copied()
}

fn wants_canary(server: &ServerEntry) -> bool {
    server.health.lock().unwrap().overdue.wants_canary(now())
}

/// The replica that is least busy, those of this node's zone first; equals are drawn.
fn best_replica<'a>(
    healthy: &[&'a Arc<ServerEntry>],
    query: &ReadQuery<'_>,
    capacity: usize,
) -> Option<&'a Arc<ServerEntry>> {
    let untried = healthy.iter().filter(|server| !query.tried.contains(&server.name));
    let least_busy = untried.min_by_key(|server| {
        let pending_replies = server.health.lock().unwrap().overdue.pending_count();
        let connections = server.pool.slots.count();
        let is_full = connections.idle == 0 && connections.open >= capacity;
        let is_remote = server.zone() != query.zone;
        (is_full, is_remote, pending_replies, fastrand::u8(..))
    });
    least_busy.copied()
}

/// A canary is retried elsewhere after this.
const CANARY_PATIENCE: Millis = 400;
/// One server gets this part of the time that is left before the request is retried elsewhere.
const ATTEMPTS_PER_REQUEST: Millis = 3;
/// One server gets at least this long, if there is so much.
const MIN_PATIENCE: Millis = 50;

/// Until when a request with this deadline waits for the chosen server before it is retried elsewhere as well.
pub fn patience(choice: &ServerChoice, long_running: bool, deadline: Millis) -> Millis {
    let time_left = deadline.saturating_sub(now());
    let share = (time_left / ATTEMPTS_PER_REQUEST).max(MIN_PATIENCE).min(time_left);
    match choice.reason {
        ChoiceReason::Primary => deadline,
        ChoiceReason::Canary if long_running => deadline,
        ChoiceReason::Canary => now() + share.min(CANARY_PATIENCE),
        ChoiceReason::Probation => now() + share,
        ChoiceReason::Healthy if long_running => deadline,
        ChoiceReason::Healthy => now() + share,
    }
}

/// Patience is extended by this, again and again.
const EXTENSION: Millis = 250;
/// With less time left patience is not extended.
const MIN_EXTENSION: Millis = 20;

/// Until when a request whose patience is over stays all the same; `None` if it is to be retried elsewhere.
///
/// It stays while the server answers others: then the query takes long, and would elsewhere too. It is retried as soon as
/// the server falls silent, unless the node's budget for retries is spent.
pub fn extend_patience(choice: &ServerChoice, budget: &RetryBudget, deadline: Millis) -> Option<Millis> {
    let time_left = deadline.saturating_sub(now());
    if time_left < MIN_EXTENSION {
        return None;
    }
    let answers_others = choice.server.health.lock().unwrap().overdue.answered_within(now(), EXTENSION);
    if matches!(choice.reason, ChoiceReason::Probation | ChoiceReason::Canary) {
        return None;
    }
    let stays = answers_others || !budget.try_spend();
    stays.then(|| now() + time_left.min(EXTENSION))
}
