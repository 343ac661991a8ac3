//! Control-plane calls to direct servers, over one reused connection to each server.
use super::server_statuses::StatusSample;
use crate::node::Node;
use quincehatch_core::{Name, Position, Role};
use quincehatch_proxy::ports::{ConnectRequest, RejectReason, ServerCall, ServerReply, ServerStatus};
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::{now, seam};
use quincehatch_wire::http::KeepaliveSettings;
use std::io;
use std::time::Duration;

/// A server that does not answer within this time counts as unresponsive.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Queries a server for its status.
pub(super) async fn query_status(node: &Node, server: &Name) -> Option<ServerStatus> {
    call(node, server, ServerCall::Status).await
}

/// Calls a server. Records whether it answered, and the status that it reported. Returns `None` if it did not answer or
/// rejected the call.
pub(super) async fn call(node: &Node, server: &Name, call: ServerCall) -> Option<ServerStatus> {
    let entry = node.proxy.registry.server(server)?;
    let requested_at = now();
    let exchange = exchange(node, &entry, &call);
    let result = seam::timeout(CALL_TIMEOUT, exchange).await;
    match result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
        Ok(reply) => {
            entry.record_answer(requested_at);
            let status = reply.status?;
            record_status(node, &entry, StatusSample { requested_at, status });
            Some(status)
        }
        Err(error) => {
            let refused = matches!(error.kind(), io::ErrorKind::ConnectionRefused);
            entry.record_failure(requested_at, refused);
            None
        }
    }
}

fn record_status(node: &Node, entry: &ServerEntry, sample: StatusSample) {
    let registry = &node.proxy.registry;
    let group = entry.group();
    if sample.status.role == Role::Primary && registry.is_primary(&group, &entry.name) {
        registry.record_primary_position(&group, sample.requested_at, sample.status.received);
    }
    node.promotion_state.server_statuses.record(&entry.name, sample);
}

/// Sends a call over the idle connection if that still works, else over a new connection. Returns the reply.
async fn exchange(node: &Node, entry: &ServerEntry, call: &ServerCall) -> io::Result<ServerReply> {
    let server = &entry.name;
    let (addr, group) = (entry.addr(), entry.group());
    let statuses = &node.promotion_state.server_statuses;
    if let Some(mut reused) = statuses.take_connection(server).filter(|reused| reused.addr == addr)
        && reused.connection.idle_error().is_none()
        && let Ok(reply) = reused.connection.call(call).await
    {
        statuses.return_connection(server, reused.addr, reused.connection);
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
            statuses.return_connection(server, addr, opened.connection);
            Ok(reply)
        }
        // Another server has this address now, so the called one no longer runs there.
        Err(rejection) if rejection.reason == RejectReason::WrongServer => {
            Err(io::ErrorKind::ConnectionRefused.into())
        }
        // The server runs, but reports no status.
        Err(rejection) => Ok(ServerReply { rejection: Some(rejection), ..Default::default() }),
    }
}

/// Suspends a server's log: a replica stops receiving, a primary of a lower term is demoted. Returns the end of its
/// log; `None` if the log may still grow. `group`: all servers whose terms the new term must exceed.
pub(super) async fn suspend(node: &Node, server: &Name, group: &[Name]) -> Option<Position> {
    let before = query_status(node, server).await?;
    let term = node.promotion_state.server_statuses.highest_term(group) + 1;
    let request = match before.role {
        Role::Primary => ServerCall::Demote { term },
        Role::Replica => ServerCall::Suspend { term },
    };
    let after = call(node, server, request).await?;
    // A demoted primary receives nothing more until another server is promoted.
    let is_suspended = before.role == Role::Primary || after.suspended_term >= term;
    (after.role == Role::Replica && is_suspended).then_some(after.received)
}
