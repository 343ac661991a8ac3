//! Metrics of database servers and the connections to them, summed over all servers.
use crate::Node;
use quincehatch_metrics::Metric;
use quincehatch_proxy::state::HealthState;
use std::sync::atomic::Ordering;

/// Sums over all servers that this node knows.
#[derive(Default)]
struct Totals {
    healthy: usize,
    ejected: usize,
    probation: usize,
    draining: usize,
    failing: usize,
    ejections: u64,
    pending_replies: usize,
    idle: usize,
    checked_out: usize,
    queued: usize,
}

pub(super) fn server_metrics(node: &Node) -> Vec<Metric> {
    let totals = totals(node);
    vec![
        Metric::gauge("servers", "Servers by health state as this node sees it")
            .with_label("state", "healthy", totals.healthy as f64)
            .with_label("state", "ejected", totals.ejected as f64)
            .with_label("state", "probation", totals.probation as f64),
        Metric::gauge("servers_draining", "Servers that drain").with_value(totals.draining as f64),
        Metric::gauge("servers_failing", "Servers whose status probes fail")
            .with_value(totals.failing as f64),
        Metric::counter("ejections", "Ejections of servers").with_value(totals.ejections as f64),
        Metric::gauge("replies_pending", "Replies that are pending at servers")
            .with_value(totals.pending_replies as f64),
        Metric::gauge("connections", "Connections to servers")
            .with_label("state", "idle", totals.idle as f64)
            .with_label("state", "checked_out", totals.checked_out as f64),
        Metric::gauge("connections_queued", "Requests that wait for a connection")
            .with_value(totals.queued as f64),
    ]
}

fn totals(node: &Node) -> Totals {
    let mut totals = Totals::default();
    for server in node.proxy.registry.servers() {
        totals.draining += usize::from(server.is_draining());
        totals.failing += usize::from(server.status.lock().unwrap().failing_since.is_some());
        let pooled = server.pool.slots.count();
        let direct = server.direct_pool.counts();
        totals.idle += pooled.idle + direct.idle;
        totals.checked_out += pooled.open.saturating_sub(pooled.idle) + direct.checked_out;
        totals.queued += server.pool.queued.load(Ordering::Relaxed) + server.direct_pool.waiter_count();
        let health = server.health.lock().unwrap();
        totals.ejections += health.ejections;
        totals.pending_replies += health.overdue.pending_count();
        match health.state {
            HealthState::Healthy => totals.healthy += 1,
            HealthState::Ejected => totals.ejected += 1,
            HealthState::Probation => totals.probation += 1,
        }
    }
    totals
}
