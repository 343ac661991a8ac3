//! Repair of servers whose role or suspension is stale under the primary's term.
use super::super::group_state::GroupState;
use super::handover::is_token_unused;
use super::server_calls::{call, query_status};
use crate::node::Node;
use quincehatch_core::{FencingToken, Millis, Name, Role};
use quincehatch_proxy::ports::{ServerCall, ServerStatus};
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::{now, seam};
use quincehatch_store::store::promotion_role_key;
use std::sync::Arc;
use std::time::Duration;

/// A server is repaired once it has been stale for this long. An earlier repair could disturb the promotion that
/// suspended the server and is about to choose a candidate among the suspended ones.
const REPAIR_DELAY: Millis = 5_000;
/// A server's role is restored within this time, or later by another repair.
const RESTORE_TIMEOUT: Millis = 3_000;
/// No restoration of another node is sent any more once its assignment has been in force for this long. The margin covers
/// calls in flight.
pub(super) const RESTORATIONS_END: Millis = RESTORE_TIMEOUT + 1_000;
/// The pause after an attempt that the server did not answer.
const RESTORE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Demotes an old primary of a lower term that has returned, and resumes replicas that a promotion left suspended. Changes
/// nothing while a promotion that was begun under the assignment may still be carried out.
pub(super) fn repair_stale_servers(node: &Arc<Node>, servers: &[Arc<ServerEntry>], state: &mut GroupState) {
    if !is_token_unused(state.latest_fence, state.primary.as_ref()) {
        state.direct.stale_since.clear();
        return;
    }
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
            let restoration = Restoration::new(server.group(), state.latest_fence, term);
            seam::spawn(restoration.run(node.clone(), server.name.clone()));
        }
    }
}

fn is_stale(status: &ServerStatus, primary_term: u64) -> bool {
    match status.role {
        Role::Primary => status.term < primary_term,
        Role::Replica => status.suspended_term > 0,
    }
}

/// Resumes a replica that is suspended, or demotes a primary of a lower term.
///
/// A replica must not be resumed while a later promotion may have suspended it under an assignment that is still open: a
/// commit could be acknowledged that the promoted server lacks. So a restoration ends when a higher token is issued or
/// when its time has passed.
#[derive(Clone)]
pub(super) struct Restoration {
    group: Name,
    /// The token of the promotion that suspended the server.
    fence: FencingToken,
    /// The primary's term; 0 if no primary is to be demoted.
    term: u64,
    started_at: Millis,
}

impl Restoration {
    /// Begins a restoration after the promotion with the token `fence`.
    pub(super) fn new(group: Name, fence: FencingToken, term: u64) -> Self {
        Restoration { group, fence, term, started_at: now() }
    }

    fn is_in_force(&self, node: &Node) -> bool {
        let in_feed = node.feed_state.lock().unwrap().fence(&promotion_role_key(&self.group));
        let latest_fence = in_feed.max(node.promotion_state.own_fence(&self.group));
        latest_fence <= self.fence && now() < self.started_at + RESTORE_TIMEOUT
    }

    /// Restores the server's role. The status query is retried if the server does not answer: a server whose log was
    /// truncated by the promotion is busy for a moment, and until it is resumed the new primary may have no replica that
    /// receives.
    pub(super) async fn run(self, node: Arc<Node>, server: Name) {
        while self.is_in_force(&node) {
            if let Some(status) = query_status(&node, &server).await {
                return self.send_call(&node, &server, status).await;
            }
            seam::sleep(RESTORE_RETRY_PAUSE).await;
        }
    }

    async fn send_call(&self, node: &Node, server: &Name, status: ServerStatus) {
        let request = match status.role {
            Role::Primary if status.term < self.term => ServerCall::Demote { term: self.term },
            Role::Replica if status.suspended_term > 0 => ServerCall::Resume,
            _ => return,
        };
        if !self.is_in_force(node) {
            return;
        }
        let line = format!(
            "sending {request:?} to server {server}: another server is the primary of term {}",
            self.term
        );
        node.promotion_state.record_event(line);
        call(node, server, request).await;
    }
}
