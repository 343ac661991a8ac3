//! The response to a write or commit that a server has confirmed.
use super::DirectProxy;
use super::response::StatementResponse;
use super::route::ResolvedRoute;
use crate::ports::{ServerReply, TransactionState};
use crate::routing::commit_evidence::{Acknowledgement, Commit};
use quincehatch_core::{ErrorCode, FencingToken, Millis, Position};
use quincehatch_runtime::{now, seam};
use std::time::Duration;

/// How long a pending commit waits for a report or a change of the cluster state before it is decided again.
const RECHECK_INTERVAL: Millis = 50;

/// How a write or commit was sent.
#[derive(Clone, Copy)]
pub(super) struct SentCommit {
    /// The fence of the assignment under which it was sent.
    pub fence: FencingToken,
    /// The end of the primary's log as observed before.
    pub after: Position,
    /// The time by which the client must have the response.
    pub finish_by: Millis,
}

/// Returns the response to a write or commit that got `reply`.
///
/// It is reported as committed only if whichever server may lead next holds it: the node that chooses the next primary can
/// still learn its position, or a server that must be asked before has reported to hold it. Else its outcome is unknown.
pub(super) async fn commit_response(
    direct: &DirectProxy,
    route: &ResolvedRoute,
    sent: SentCommit,
    reply: ServerReply,
) -> StatementResponse {
    let is_acknowledged = match reply.log_end {
        _ if reply.rejection.is_some() => true,
        Some(end) => {
            let commit = Commit { fence: sent.fence, end, after: sent.after };
            is_acknowledged(direct, route, commit, sent.finish_by).await
        }
        None => false,
    };
    if is_acknowledged {
        return StatementResponse::from_reply(reply, TransactionState::Idle);
    }
    let error = ErrorCode::Unknown
        .with_detail("a new primary is being chosen, and the commit may be lost")
        .with_unknown_outcome();
    StatementResponse::failed(error, TransactionState::Idle)
}

/// Waits until it is decided whether the commit may be acknowledged. Returns false if it is not decided by `finish_by`.
async fn is_acknowledged(
    direct: &DirectProxy,
    route: &ResolvedRoute,
    commit: Commit,
    finish_by: Millis,
) -> bool {
    let registry = &direct.proxy.registry;
    loop {
        // Registered before the decision, so that no report is missed between the decision and the wait.
        let reported = registry.evidence_recorded.notified();
        let changed = registry.changed.notified();
        match registry.acknowledge(&route.group, &commit) {
            Acknowledgement::Granted => return true,
            Acknowledgement::Refused => return false,
            Acknowledgement::Pending if now() >= finish_by => return false,
            Acknowledgement::Pending => registry.evidence_awaited.notify_one(),
        }
        let time_left = finish_by.saturating_sub(now()).clamp(1, RECHECK_INTERVAL);
        let either = seam::select_first(reported, changed);
        let _ = seam::timeout(Duration::from_millis(time_left), either).await;
    }
}
