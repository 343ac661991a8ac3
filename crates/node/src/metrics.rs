//! The metrics of a node; docs/operate.md lists them.
mod promotions;
mod servers;
mod tenants;

use crate::Node;
use quincehatch_metrics::Metric;
use quincehatch_proxy::direct::{DirectProxy, StatementOutcome};
use quincehatch_wire::call_counters::{CallCounts, call_counts};
use std::sync::atomic::Ordering;

const MS_PER_SECOND: f64 = 1_000.0;

/// Returns all metrics of the node, computed from its current state.
pub fn node_metrics(node: &Node, direct: &DirectProxy) -> Vec<Metric> {
    let mut metrics = lease_and_state(node);
    metrics.extend(sessions(node, direct));
    metrics.extend(servers::server_metrics(node));
    metrics.extend(promotions::promotion_metrics(node));
    metrics.extend(tenants::tenant_metrics(node));
    metrics.extend(call_metrics());
    metrics
}

fn lease_and_state(node: &Node) -> Vec<Metric> {
    let registry = &node.proxy.registry;
    let state = registry.cluster_state();
    let is_ready = node.proxy.readiness().is_ok();
    let lease = registry.lease_remaining() as f64 / MS_PER_SECOND;
    let view = node.store_client.view();
    vec![
        Metric::gauge("ready", "1 if the node takes new clients").with_value(f64::from(u8::from(is_ready))),
        Metric::gauge("lease_remaining_seconds", "Time until the node's lease ends").with_value(lease),
        Metric::gauge("change_applied", "Last change of the feed that is in force here")
            .with_value(state.number as f64),
        Metric::gauge("configuration_version", "Version of the configuration in force")
            .with_value(state.version as f64),
        Metric::gauge("view_version", "Newest view of the keepers that is known")
            .with_value(view.version as f64),
        Metric::gauge("nodes_live", "Nodes that gossip considers alive, with this one")
            .with_value(node.gossip.live_nodes().len() as f64),
    ]
}

fn sessions(node: &Node, direct: &DirectProxy) -> Vec<Metric> {
    let mut statements = Metric::counter("statements", "Statements of direct sessions by result");
    for (outcome, count) in direct.statement_counts.counts() {
        let result = match outcome {
            StatementOutcome::Succeeded => "succeeded".to_owned(),
            StatementOutcome::ServerRejected => "server_rejected".to_owned(),
            StatementOutcome::Code(code) => code.to_string(),
        };
        statements = statements.with_label("result", &result, count as f64);
    }
    let opens = direct.open_counts.totals();
    let open = direct.open_sessions.load(Ordering::Relaxed) as f64;
    let (texts, settings) = (direct.prepared_texts.bytes() as f64, direct.settings_budget.bytes() as f64);
    vec![
        Metric::gauge("sessions_open", "Open direct sessions").with_value(open),
        Metric::gauge("prepared_text_bytes", "Memory of prepared texts").with_value(texts),
        Metric::gauge("session_settings_bytes", "Memory of sessions' settings").with_value(settings),
        Metric::gauge("requests_in_flight", "Requests over the client API under way")
            .with_value(node.proxy.requests_in_flight.load(Ordering::Relaxed) as f64),
        Metric::gauge("retries_left", "Retries that are left in the budget")
            .with_value(node.proxy.retry_budget.remaining_retries() as f64),
        statements,
        Metric::counter("server_connections", "Attempts to open connections to servers by how they ended")
            .with_label("result", "opened", opens.opened as f64)
            .with_label("result", "full", opens.full as f64)
            .with_label("result", "failed", opens.failed as f64),
    ]
}

/// Returns the counts of this process's calls to other processes of the cluster, by kind of request.
pub fn call_metrics() -> Vec<Metric> {
    let counts = call_counts();
    let sample = |metric: Metric, value: fn(&CallCounts) -> u64| {
        counts
            .iter()
            .fold(metric, |metric, (kind, counts)| metric.with_label("kind", kind, value(counts) as f64))
    };
    let request_bytes = Metric::counter("call_request_bytes", "Bytes of requests to other processes");
    let answer_bytes = Metric::counter("call_answer_bytes", "Bytes of answers from other processes");
    vec![
        sample(Metric::counter("call_requests", "Requests to other processes"), |counts| counts.requests),
        sample(Metric::counter("call_answers", "Answers from other processes"), |counts| counts.answers),
        sample(request_bytes, |counts| counts.request_bytes),
        sample(answer_bytes, |counts| counts.answer_bytes),
        sample(Metric::counter("call_connections", "Connections opened for calls"), |counts| {
            counts.connections
        }),
    ]
}
