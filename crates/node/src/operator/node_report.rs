//! A node's report on its own state, and the traces of recent requests that it handled.
use crate::Node;
use quincehatch_core::Error;
use quincehatch_operator_api::explain::{RequestLocation, RequestTrace};
use quincehatch_operator_api::nodes::NodeReport;
use serde_json::Value;
use std::sync::atomic::Ordering;

/// Returns this node's report on its own state.
pub fn node_report(node: &Node) -> NodeReport {
    let proxy = &node.proxy;
    let settings = &proxy.settings;
    let cluster_state = proxy.registry.cluster_state();
    let readiness = proxy.readiness();
    let counts = &proxy.outcome_counts;
    let membership = node.gossip.membership.lock().unwrap();
    NodeReport {
        name: settings.name.as_str().into(),
        zone: settings.zone.as_str().into(),
        client_listener: settings.client_listener.clone(),
        operator_listener: settings.operator_listener.clone(),
        ready: readiness.is_ok(),
        why: readiness_reason(&readiness),
        lease_ms: proxy.registry.lease_remaining(),
        version: cluster_state.version,
        change: cluster_state.number,
        sessions: proxy.sessions.len(),
        session_replicas: node.gossip.replicas.lock().unwrap().len(),
        in_flight: proxy.requests_in_flight.load(Ordering::Relaxed),
        committed: counts.committed.load(Ordering::Relaxed),
        not_applied: counts.not_applied.load(Ordering::Relaxed),
        unknown: counts.unknown.load(Ordering::Relaxed),
        live: membership.live_members().len(),
        view: membership.view().to_vec(),
        gossip_messages_sent: membership.messages_sent,
    }
}

/// Returns why the node is not ready or which part of its service is unavailable; empty if neither applies.
fn readiness_reason(readiness: &Result<Value, Error>) -> String {
    match readiness {
        Err(error) => error.to_string(),
        Ok(state) => match state["reduced"].as_array().map_or(0, Vec::len) {
            0 => String::new(),
            groups => format!("reduced: {groups} group(s) without a reachable primary"),
        },
    }
}

/// Returns the trace of a request through this node; `None` if this node did not handle it or no longer retains its
/// trace.
pub fn request_trace(node: &Node, id: &str) -> Option<RequestTrace> {
    let id = id.parse::<u64>().ok()?;
    let traces = node.proxy.traces.lock().unwrap();
    let trace = traces.iter().rev().find(|trace| trace.id == id)?;
    let site = &trace.site;
    Some(RequestTrace {
        request_id: trace.id,
        what: trace.operation.clone(),
        ms: trace.duration_ms,
        code: trace.code,
        location: RequestLocation {
            node: site.node.clone(),
            server: site.server.clone(),
            placement: site.placement.clone(),
            zone: site.zone.clone(),
            version: site.version,
            health: site.health.clone(),
        },
        path: trace.steps.clone(),
    })
}
