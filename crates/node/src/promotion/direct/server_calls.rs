//! Calls of the control plane to direct servers, over one kept connection each.
use super::server_statuses::StatusSample;
use crate::node::Node;
use quincehatch_core::{Name, Position, Role};
use quincehatch_proxy::ports::{ConnectRequest, RejectReason, ServerCall, ServerReply, ServerStatus};
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::{now, seam};
use quincehatch_wire::http::KeepaliveSettings;
use std::io;
use std::time::Duration;

/// A server that has not answered by then is unresponsive.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Asks a server for its status.
pub(super) async fn query_status(node: &Node, server: &Name) -> Option<ServerStatus> {
    call(node, server, ServerCall::Status).await
}

/// Calls a server. What it reports of itself is recorded, and so is whether it answered. None if it did not answer, or
/// rejected the call.
pub(super) async fn call(node: &Node, server: &Name, call: ServerCall) -> Option<ServerStatus> {
    let entry = node.proxy.registry.server(server)?;
    let asked_at = now();
    let exchange = exchange(node, &entry, &call);
    let result = seam::timeout(CALL_TIMEOUT, exchange).await;
    match result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
        Ok(reply) => {
            entry.note_answer(asked_at);
            let status = reply.status?;
            record_status(node, &entry, StatusSample { asked_at, status });
            Some(status)
        }
        Err(error) => {
            let refused = matches!(error.kind(), io::ErrorKind::ConnectionRefused);
            entry.note_failure(asked_at, refused);
            None
        }
    }
}

fn record_status(node: &Node, entry: &ServerEntry, sample: StatusSample) {
    let registry = &node.proxy.registry;
    let group = entry.group();
    if sample.status.role == Role::Primary && registry.is_primary(&group, &entry.name) {
        registry.record_primary_position(&group, sample.asked_at, sample.status.received);
    }
    node.promotion_state.server_statuses.record(&entry.name, sample);
}

/// Over the kept connection if it still holds, else over a new one.
async fn exchange(node: &Node, entry: &ServerEntry, call: &ServerCall) -> io::Result<ServerReply> {
    let server = &entry.name;
    let (addr, group) = (entry.addr(), entry.group());
    let statuses = &node.promotion_state.server_statuses;
    if let Some(mut kept) = statuses.take_connection(server).filter(|kept| kept.addr == addr)
        && kept.connection.idle_error().is_none()
        && let Ok(reply) = kept.connection.call(call).await
    {
        statuses.keep_connection(server, kept.addr, kept.connection);
        return Ok(reply);
    }
    let ports = node.ports.clone().ok_or_else(|| io::Error::from(io::ErrorKind::Unsupported))?;
    let request = ConnectRequest {
        addr: addr.clone(),
        group,
        server: server.clone(),
        tenant: None,
        keepalive: KeepaliveSettings::default(),
    };
    match ports.servers.connect(request).await? {
        Ok(mut opened) => {
            let reply = opened.connection.call(call).await?;
            statuses.keep_connection(server, addr, opened.connection);
            Ok(reply)
        }
        // Another server is there now, so this one is not.
        Err(rejection) if rejection.reason == RejectReason::WrongServer => {
            Err(io::ErrorKind::ConnectionRefused.into())
        }
        // It runs, and says no more.
        Err(rejection) => Ok(ServerReply { rejection: Some(rejection), ..Default::default() }),
    }
}

/// Suspends a server's log: a replica stops receiving, a primary of a lower term is demoted. Returns the end of its
/// log; none if it may still grow. `group`: all servers whose terms the new one must exceed.
pub(super) async fn suspend(node: &Node, server: &Name, group: &[Name]) -> Option<Position> {
    let before = query_status(node, server).await?;
    let term = node.promotion_state.server_statuses.highest_term(group) + 1;
    let request = match before.role {
        Role::Primary => ServerCall::Demote { term },
        Role::Replica => ServerCall::Suspend { term },
    };
    let after = call(node, server, request).await?;
    // A primary that was demoted receives nothing more until another is promoted.
    let is_suspended = before.role == Role::Primary || after.suspended_term >= term;
    (after.role == Role::Replica && is_suspended).then_some(after.received)
}
