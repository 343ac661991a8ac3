//! Probes the STATUS of every server about once a second, that of primaries more often, and updates the health states.
use crate::health::evidence::{HealthSignal, classify_end};
use crate::health::state::HealthState;
use crate::pool::PooledServer;
use crate::routing::registry::{Registry, ServerEntry};
use crate::server_protocol::{Reply, Status, call};
use quincehatch_core::{Millis, Name, Role};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_wire::http::{HttpConnection, JsonRequest};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// The interval between probes of a primary, in milliseconds.
pub const PRIMARY_INTERVAL: Millis = 250;
/// The interval between probes of any other server, in milliseconds.
pub const REPLICA_INTERVAL: Millis = 900;
/// The shortest pause between an answer and the next probe, in milliseconds.
const MIN_PROBE_PAUSE: Millis = 20;
/// How often new servers get a probe task and the health states are updated.
const SERVER_SCAN_INTERVAL: Duration = Duration::from_millis(50);
/// How often the health states are updated on a node that does not probe STATUS itself.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The timeout of a STATUS probe.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The staleness up to which an ejected server may go on probation, in milliseconds.
const PROBATION_MAX_STALENESS: Millis = 1_500;

/// Probes all servers, each in a task of its own. Never returns.
pub async fn run_status_probes(registry: Arc<Registry>, spawner: seam::Spawner) {
    let mut tasks: BTreeMap<Name, seam::TaskHandle> = BTreeMap::new();
    loop {
        for server in registry.servers() {
            let name = server.name.clone();
            tasks.entry(name).or_insert_with(|| spawner.spawn(probe_server(registry.clone(), server)));
        }
        tick_health(&registry);
        seam::sleep(SERVER_SCAN_INTERVAL).await;
    }
}

/// Updates the health states on a node that does not probe STATUS: the node that manages a group probes its servers,
/// while every node weighs only the evidence that it observed itself.
pub async fn run_health_ticks(registry: Arc<Registry>) {
    loop {
        seam::sleep(TICK_INTERVAL).await;
        tick_health(&registry);
    }
}

/// Updates the health states from pending replies that became late or overdue and from idle connections that ended.
pub fn tick_health(registry: &Registry) {
    let settings = registry.health_settings();
    for server in registry.servers() {
        let usage = server.connection_usage(false);
        let mut health = server.health.lock().unwrap();
        let ejections_before = health.ejections;
        for error in server.idle_errors.lock().unwrap().drain(..) {
            let end = classify_end(&error, usage);
            if health.state != HealthState::Ejected {
                health.connection_ended(now(), &settings, end);
            }
        }
        health.tick(now(), &settings);
        if health.ejections > ejections_before {
            let reason = health.transitions.back().map(|last| last.reason.clone()).unwrap_or_default();
            log::warn!(target: "health", "server {} is ejected: {reason}", server.name);
            drop(health);
            server.pool.reset();
        }
    }
}

/// The connection that a server is probed over, and the address it was opened to.
struct ProbeConnection {
    http: HttpConnection,
    addr: Name,
}

async fn probe_server(registry: Arc<Registry>, server: Arc<ServerEntry>) {
    let mut connection = None;
    loop {
        let is_primary = registry.is_primary(&server.group(), &server.name);
        let sent_at = now();
        match request_status(&server, &mut connection).await {
            Ok(reply) => record_reply(&registry, &server, reply, sent_at),
            Err(error) => record_failure(&registry, &server, &error, sent_at),
        }
        server.pool.prune();
        let interval = if is_primary { PRIMARY_INTERVAL } else { REPLICA_INTERVAL };
        let pause = (sent_at + interval).saturating_sub(now()).max(MIN_PROBE_PAUSE);
        seam::sleep(Duration::from_millis(pause)).await;
    }
}

/// Sends one STATUS request. The connection is reused for the next one unless it failed or the server's address
/// changed.
async fn request_status(
    server: &Arc<ServerEntry>,
    connection: &mut Option<ProbeConnection>,
) -> io::Result<Reply> {
    let addr = server.addr();
    let request = call::status();
    let call = JsonRequest { method: "POST", path: request.path, body: &request.body, token: None };
    let exchange = async {
        let reusable =
            connection.take().filter(|previous| previous.addr == addr && !previous.http.is_closed());
        let mut http = match reusable {
            Some(previous) => previous.http,
            None => {
                HttpConnection::open_with_disconnect_callback(&addr, None, server.on_disconnect()).await?
            }
        };
        let (_, body) = http.call(&call).await?;
        *connection = Some(ProbeConnection { http, addr });
        Reply::read(body).ok_or_else(|| io::Error::other("malformed reply to STATUS"))
    };
    seam::timeout(STATUS_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

fn record_reply(registry: &Registry, server: &ServerEntry, reply: Reply, sent_at: Millis) {
    let Some(status) = reply.status() else { return };
    if status.stamp.server != server.name {
        return;
    }
    {
        let mut record = server.status.lock().unwrap();
        record.queried_at = sent_at;
        record.answered_at = now();
        record.failing_since = None;
        record.refused = false;
    }
    server.set_draining(status.is_draining());
    observe_primary_position(registry, server, &status, sent_at);
    begin_probation_if_fresh(registry, server, &status);
    registry.apply_heartbeat(status.heartbeat);
}

/// Records the primary's position if it shows its complete log. A primary that is still starting may lack commits that
/// the previous primary acknowledged.
fn observe_primary_position(registry: &Registry, server: &ServerEntry, status: &Status, sent_at: Millis) {
    let group = server.group();
    let is_assigned_primary = registry.primary(&group).is_some_and(|primary| {
        primary.server.as_ref() == Some(&server.name) && primary.fence == status.stamp.fence
    });
    let is_complete = server.status.lock().unwrap().shows_complete_log(&status.heartbeat);
    if is_assigned_primary && status.stamp.role == Role::Primary && is_complete {
        registry.record_primary_position(&group, sent_at, status.stamp.position);
    }
}

fn begin_probation_if_fresh(registry: &Registry, server: &ServerEntry, status: &Status) {
    let required = registry.required_position(&server.group(), PROBATION_MAX_STALENESS);
    let is_fresh = required.is_some_and(|position| status.stamp.position >= position);
    if !is_fresh || server.health.lock().unwrap().state != HealthState::Ejected {
        return;
    }
    let group_health = registry.group_health(&server.group());
    let mut health = server.health.lock().unwrap();
    if health.state == HealthState::Ejected {
        health.status_succeeded(now(), group_health);
        if health.state == HealthState::Probation {
            log::info!(target: "health", "server {} is on probation", server.name);
        }
    }
}

fn record_failure(registry: &Registry, server: &ServerEntry, error: &io::Error, sent_at: Millis) {
    {
        let mut record = server.status.lock().unwrap();
        record.queried_at = sent_at;
        record.failing_since = record.failing_since.or(Some(sent_at));
        record.refused = error.kind() == io::ErrorKind::ConnectionRefused;
    }
    let settings = registry.health_settings();
    let mut health = server.health.lock().unwrap();
    if health.state == HealthState::Ejected || server.is_draining() {
        return;
    }
    let signal = match error.kind() {
        io::ErrorKind::TimedOut => HealthSignal::Late,
        _ => HealthSignal::Reset,
    };
    health.add_evidence(now(), &settings, signal);
    if health.state == HealthState::Ejected {
        log::warn!(target: "health", "server {} is ejected: STATUS failed: {}", server.name, error.kind());
    }
}
