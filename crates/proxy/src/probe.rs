//! STATUS asked of every server about each second, of primaries more often (§4.8, §4.9).
use crate::evidence::{HealthSignal, classify_end};
use crate::proxy::Proxy;
use crate::registry::{ServerEntry, StatusRecord};
use crate::server_protocol::{Reply, call};
use crate::state::HealthState;
use quincehatch_core::{Millis, Role, ServerHeartbeat, ServerState};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_wire::http::{HttpConnection, JsonRequest};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How often a primary and any other server is asked.
pub const PRIMARY_INTERVAL: Millis = 250;
pub const REPLICA_INTERVAL: Millis = 900;
/// How often verdicts are looked at where STATUS is asked elsewhere.
const JUDGE: Duration = Duration::from_millis(100);
/// A STATUS not answered in this time has failed.
const WITHIN: Duration = Duration::from_millis(1_000);

/// Asks for ever; one task a server.
pub async fn run_status_probes(n: Arc<Proxy>) {
    let mut tasks: BTreeMap<quincehatch_core::Name, seam::TaskHandle> = BTreeMap::new();
    loop {
        for row in n.registry.servers() {
            tasks.entry(row.name.clone()).or_insert_with(|| n.rt.spawn(watch(n.clone(), row.clone())));
        }
        judge(&n);
        seam::sleep(Duration::from_millis(50)).await;
    }
}

/// Time passes for the verdicts: replies become overdue, and idle links have broken.
pub fn judge(n: &Proxy) {
    let j = n.health_settings();
    for row in n.registry.servers() {
        let left = row.is_draining();
        let mut h = row.health.lock().unwrap();
        let had = h.ejections;
        // Links of a server that said it leaves may break as they like.
        for e in row.idle_errors.lock().unwrap().drain(..) {
            let end = classify_end(&e, false, left);
            if h.state != HealthState::Ejected {
                h.connection_ended(now(), &j, end);
            }
        }
        h.tick(now(), &j);
        if h.ejections > had {
            let why = h.transitions.back().map(|t| t.reason.clone()).unwrap_or_default();
            log::warn!(target: "verdict", "server {} is set aside: {why}", row.name);
            drop(h);
            row.pool.shut(false);
        }
    }
}

/// Where STATUS is asked by whoever looks after a group (§5.5), every node only judges what it saw itself.
pub async fn run_health_ticks(n: Arc<Proxy>) {
    loop {
        seam::sleep(JUDGE).await;
        judge(&n);
    }
}

async fn watch(n: Arc<Proxy>, row: Arc<ServerEntry>) {
    let mut wire: Option<(HttpConnection, quincehatch_core::Name)> = None;
    loop {
        let lead = n.registry.primary(&row.group());
        let leads = lead.as_ref().is_some_and(|l| l.server.as_ref() == Some(&row.name));
        let asked = now();
        let got = one(&row, &mut wire).await;
        match got {
            Ok(r) => heard(&n, &row, r, asked),
            Err(e) => failed(&n, &row, &e, asked),
        }
        row.pool.prune();
        let gap = if leads { PRIMARY_INTERVAL } else { REPLICA_INTERVAL };
        seam::sleep(Duration::from_millis((asked + gap).saturating_sub(now()).max(20))).await;
    }
}

async fn one(
    row: &Arc<ServerEntry>,
    wire: &mut Option<(HttpConnection, quincehatch_core::Name)>,
) -> std::io::Result<Reply> {
    let addr = row.addr();
    let (path, body) = call::status();
    let c = JsonRequest { method: "POST", path, body: &body, token: None };
    let work = async {
        let mut w = match wire.take() {
            Some((w, a)) if a == addr && !w.is_closed() => w,
            _ => HttpConnection::open_watched(&addr, None, row.on_break()).await?,
        };
        let (_, v) = w.call(&c).await?;
        *wire = Some((w, addr));
        Reply::read(v).ok_or_else(|| std::io::Error::other("not a STATUS reply"))
    };
    seam::timeout(WITHIN, work).await.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}

impl StatusRecord {
    /// Does this primary show all of its log? One that leaves does not say whether it is still starting: it must have
    /// said so before, in this life and under this fence (§4.8).
    pub fn shows_complete_log(&mut self, b: &ServerHeartbeat) -> bool {
        if b.role == Role::Primary && b.state == ServerState::Up {
            self.complete_under = Some((b.boot, b.fence));
        }
        b.role == Role::Primary
            && b.state != ServerState::Starting
            && self.complete_under == Some((b.boot, b.fence))
    }
}

fn heard(n: &Proxy, row: &ServerEntry, r: Reply, asked: Millis) {
    let Some(st) = r.status().filter(|s| s.stamp.server == row.name) else { return };
    {
        let mut s = row.status.lock().unwrap();
        (s.asked_at, s.answered_at, s.failing_since, s.refused) = (asked, now(), None, false);
    }
    row.set_draining(st.leaving());
    let group = row.group();
    let lead = n.registry.primary(&group);
    let leads =
        lead.as_ref().is_some_and(|l| l.server.as_ref() == Some(&row.name) && l.fence == st.stamp.fence);
    // A primary that is still starting may not show all that its forerunner acknowledged (§3.2).
    let whole = row.status.lock().unwrap().shows_complete_log(&st.beat);
    if leads && st.stamp.role == Role::Primary && whole {
        n.registry.record_primary_position(&group, asked, st.stamp.position);
    }
    let fresh = n
        .registry
        .with_primary_positions(&group, |s| s.needed(now(), 1_500))
        .is_some_and(|p| st.stamp.position >= p);
    let mut h = row.health.lock().unwrap();
    if fresh && h.state == HealthState::Ejected {
        h.status_succeeded(now());
        if h.state == HealthState::Probation {
            log::info!(target: "verdict", "server {} is on trial", row.name);
        }
    }
    drop(h);
    n.registry.apply_heartbeat(st.beat);
}

fn failed(n: &Proxy, row: &ServerEntry, e: &std::io::Error, asked: Millis) {
    use std::io::ErrorKind as K;
    let declined = matches!(e.kind(), K::ConnectionRefused);
    {
        let mut s = row.status.lock().unwrap();
        s.asked_at = asked;
        s.failing_since = s.failing_since.or(Some(asked));
        s.refused = declined;
    }
    let j = n.health_settings();
    let mut h = row.health.lock().unwrap();
    if h.state != HealthState::Ejected && !row.is_draining() {
        let sign = if e.kind() == K::TimedOut { HealthSignal::Late } else { HealthSignal::Reset };
        h.add_evidence(now(), &j, sign);
        if h.state == HealthState::Ejected {
            log::warn!(target: "verdict", "server {} is set aside: STATUS {}", row.name, e.kind());
        }
    }
}
