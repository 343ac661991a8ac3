//! Repair of servers whose role or suspension is stale under the primary's term.
use super::super::group_state::GroupState;
use super::server_calls::{call, query_status};
use crate::node::Node;
use quincehatch_core::{Millis, Name, Role};
use quincehatch_proxy::ports::{ServerCall, ServerStatus};
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::{now, seam};
use std::sync::Arc;
use std::time::Duration;

/// A server is repaired once it has been stale for this long. An earlier repair could disturb the promotion that
/// suspended the server and is about to choose a candidate among the suspended ones.
const REPAIR_DELAY: Millis = 5_000;
/// The maximum number of attempts to restore a server's role.
const RESTORE_ATTEMPTS: u32 = 10;
/// The pause after an attempt that the server did not answer.
const RESTORE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Demotes an old primary of a lower term that has returned, and resumes replicas that a promotion left suspended.
pub(super) fn repair_stale_servers(node: &Arc<Node>, servers: &[Arc<ServerEntry>], state: &mut GroupState) {
    let Some(primary) = state.primary_server() else { return };
    let seen_since = state.primary_since;
    let status = |server: &Name| {
        let sample = node.promotion_state.server_statuses.latest_since(server, seen_since);
        sample.map(|sample| sample.status)
    };
    let primary_status = status(&primary).filter(|status| status.role == Role::Primary);
    let term = primary_status.map(|status| status.term);
    for server in servers {
        let server_status = if server.name == primary { None } else { status(&server.name) };
        let stale_term = term.filter(|term| server_status.is_some_and(|status| is_stale(&status, *term)));
        let Some(term) = stale_term else {
            state.direct.stale_since.remove(&server.name);
            continue;
        };
        let since = *state.direct.stale_since.entry(server.name.clone()).or_insert(now());
        if now() >= since + REPAIR_DELAY {
            state.direct.stale_since.remove(&server.name);
            seam::spawn(restore_role(node.clone(), server.name.clone(), term));
        }
    }
}

fn is_stale(status: &ServerStatus, primary_term: u64) -> bool {
    match status.role {
        Role::Primary => status.term < primary_term,
        Role::Replica => status.suspended_term > 0,
    }
}

/// Resumes a replica that is suspended, and demotes a primary of a lower term than `term`. The status query is retried
/// if the server does not answer: a server whose log was truncated by the promotion is busy for a moment, and until it
/// is resumed the new primary may have no replica that receives.
pub(super) async fn restore_role(node: Arc<Node>, server: Name, term: u64) {
    for _ in 0..RESTORE_ATTEMPTS {
        if let Some(status) = query_status(&node, &server).await {
            return send_restoring_call(&node, &server, status, term).await;
        }
        seam::sleep(RESTORE_RETRY_PAUSE).await;
    }
}

async fn send_restoring_call(node: &Node, server: &Name, status: ServerStatus, term: u64) {
    let request = match status.role {
        Role::Primary if status.term < term => ServerCall::Demote { term },
        Role::Replica if status.suspended_term > 0 => ServerCall::Resume,
        _ => return,
    };
    let line =
        format!("sending {request:?} to server {server}: another server is the primary of term {term}");
    node.promotion_state.record_event(line);
    call(node, server, request).await;
}
