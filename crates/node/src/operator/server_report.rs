//! Reports on database servers, as observed by this node.
use crate::Node;
use quincehatch_operator_api::explain::{EvidenceReport, HealthReport, TransitionReport};
use quincehatch_operator_api::servers::{ServerReport, ServersReply};
use quincehatch_proxy::evidence::Evidence;
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_proxy::state::HealthTransition;
use quincehatch_runtime::now;
use std::sync::atomic::Ordering;

/// Returns the reports on all servers that this node knows.
pub fn servers(node: &Node) -> ServersReply {
    let servers = node.proxy.registry.servers();
    ServersReply {
        node: node.proxy.settings.name.as_str().into(),
        servers: servers.iter().map(|server| server_report(node, server)).collect(),
    }
}

fn server_report(node: &Node, server: &ServerEntry) -> ServerReport {
    let heartbeat = server.heartbeat.read().unwrap().clone();
    let status = server.status.lock().unwrap().clone();
    let connections = server.pool.slots.count();
    let health = server.health.lock().unwrap();
    ServerReport {
        server: server.name.clone(),
        is_primary: node.proxy.registry.is_primary(heartbeat.group(), &server.name),
        addr: heartbeat.addr,
        labels: heartbeat.labels,
        role: heartbeat.role,
        state: heartbeat.state,
        fence: heartbeat.fence,
        position: heartbeat.position,
        health: health.state.label().to_owned(),
        ejections: health.ejections,
        pending_replies: health.overdue.pending_count(),
        status_age_ms: now().saturating_sub(status.answered_at),
        failing_ms: status.failing_since.map(|since| now().saturating_sub(since)),
        connections: connections.open,
        idle_connections: connections.idle,
        queued: server.pool.queued.load(Ordering::Relaxed),
    }
}

/// Returns a server's health with the transitions and evidence that led to it; `None` if this node does not know the
/// server.
pub fn health_report(node: &Node, server: &str) -> Option<HealthReport> {
    let server = node.proxy.registry.server(server)?;
    let health = server.health.lock().unwrap();
    let probation_in_ms =
        if health.is_healthy() { None } else { Some(health.ejected_until.saturating_sub(now())) };
    Some(HealthReport {
        node: node.proxy.settings.name.as_str().into(),
        server: server.name.clone(),
        health: health.state.label().to_owned(),
        probation_in_ms,
        transitions: health.transitions.iter().map(transition_report).collect(),
    })
}

fn transition_report(transition: &HealthTransition) -> TransitionReport {
    TransitionReport {
        ago_ms: now().saturating_sub(transition.at),
        to: transition.to.label().to_owned(),
        why: transition.reason.clone(),
        evidence: transition.evidence.iter().map(evidence_report).collect(),
    }
}

fn evidence_report(evidence: &Evidence) -> EvidenceReport {
    EvidenceReport {
        signal: format!("{:?}", evidence.signal),
        weight: evidence.weight,
        ago_ms: now().saturating_sub(evidence.at),
    }
}
