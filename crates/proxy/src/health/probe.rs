//! Asks every server for its STATUS about each second, primaries more often, and lets time pass for the health states.
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

/// How often a primary is asked, in milliseconds.
pub const PRIMARY_INTERVAL: Millis = 250;
/// How often any other server is asked, in milliseconds.
pub const REPLICA_INTERVAL: Millis = 900;
/// A slow answer puts the next question off by this at least, in milliseconds.
const MIN_PAUSE: Millis = 20;
/// How often new servers are looked for, and time passes for the health states.
const NEW_SERVER_INTERVAL: Duration = Duration::from_millis(50);
/// How often time passes for the health states where STATUS is asked elsewhere.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// A STATUS that is not answered in this time has failed.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1_000);
/// An ejected server that is no more behind than this may go on probation, in milliseconds.
const PROBATION_MAX_STALENESS: Millis = 1_500;

/// Asks all servers for ever; one task for each.
pub async fn run_status_probes(registry: Arc<Registry>, spawner: seam::Spawner) {
    let mut tasks: BTreeMap<Name, seam::TaskHandle> = BTreeMap::new();
    loop {
        for server in registry.servers() {
            let name = server.name.clone();
            tasks.entry(name).or_insert_with(|| spawner.spawn(probe_server(registry.clone(), server)));
        }
        tick_health(&registry);
        seam::sleep(NEW_SERVER_INTERVAL).await;
    }
}

/// Where STATUS is asked by whoever looks after a group, every node weighs only what it observed itself.
pub async fn run_health_ticks(registry: Arc<Registry>) {
    loop {
        seam::sleep(TICK_INTERVAL).await;
        tick_health(&registry);
    }
}

/// Time passes for the health states: replies become overdue, and idle connections have ended.
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

/// The connection over which a server is asked, and the address it was opened to.
struct ProbeConnection {
    http: HttpConnection,
    addr: Name,
}

async fn probe_server(registry: Arc<Registry>, server: Arc<ServerEntry>) {
    let mut connection = None;
    loop {
        let is_primary = registry.is_primary(&server.group(), &server.name);
        let asked_at = now();
        match ask_status(&server, &mut connection).await {
            Ok(reply) => note_reply(&registry, &server, reply, asked_at),
            Err(error) => note_failure(&registry, &server, &error, asked_at),
        }
        server.pool.prune();
        let interval = if is_primary { PRIMARY_INTERVAL } else { REPLICA_INTERVAL };
        let pause = (asked_at + interval).saturating_sub(now()).max(MIN_PAUSE);
        seam::sleep(Duration::from_millis(pause)).await;
    }
}

/// Asks once. The connection is kept for the next time unless it failed or the server has moved.
async fn ask_status(
    server: &Arc<ServerEntry>,
    connection: &mut Option<ProbeConnection>,
) -> io::Result<Reply> {
    let addr = server.addr();
    let request = call::status();
    let call = JsonRequest { method: "POST", path: request.path, body: &request.body, token: None };
    let asking = async {
        let reusable = connection.take().filter(|kept| kept.addr == addr && !kept.http.is_closed());
        let mut http = match reusable {
            Some(kept) => kept.http,
            None => HttpConnection::open_watched(&addr, None, server.on_disconnect()).await?,
        };
        let (_, body) = http.call(&call).await?;
        *connection = Some(ProbeConnection { http, addr });
        Reply::read(body).ok_or_else(|| io::Error::other("not a STATUS reply"))
    };
    seam::timeout(STATUS_TIMEOUT, asking).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

fn note_reply(registry: &Registry, server: &ServerEntry, reply: Reply, asked_at: Millis) {
    let Some(status) = reply.status() else { return };
    if status.stamp.server != server.name {
        return;
    }
    {
        let mut record = server.status.lock().unwrap();
        record.asked_at = asked_at;
        record.answered_at = now();
        record.failing_since = None;
        record.refused = false;
    }
    server.set_draining(status.is_draining());
    note_primary_position(registry, server, &status, asked_at);
    note_freshness(registry, server, &status);
    registry.apply_heartbeat(status.heartbeat);
}

/// A primary's position counts only if it shows all of its log: one that is still starting may lack what the primary
/// before it acknowledged.
fn note_primary_position(registry: &Registry, server: &ServerEntry, status: &Status, asked_at: Millis) {
    let group = server.group();
    let is_named = registry.primary(&group).is_some_and(|primary| {
        primary.server.as_ref() == Some(&server.name) && primary.fence == status.stamp.fence
    });
    let is_complete = server.status.lock().unwrap().shows_complete_log(&status.heartbeat);
    if is_named && status.stamp.role == Role::Primary && is_complete {
        registry.record_primary_position(&group, asked_at, status.stamp.position);
    }
}

fn note_freshness(registry: &Registry, server: &ServerEntry, status: &Status) {
    let needed = registry.needed_position(&server.group(), PROBATION_MAX_STALENESS);
    let is_fresh = needed.is_some_and(|position| status.stamp.position >= position);
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

fn note_failure(registry: &Registry, server: &ServerEntry, error: &io::Error, asked_at: Millis) {
    {
        let mut record = server.status.lock().unwrap();
        record.asked_at = asked_at;
        record.failing_since = record.failing_since.or(Some(asked_at));
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
        log::warn!(target: "health", "server {} is ejected: STATUS {}", server.name, error.kind());
    }
}
