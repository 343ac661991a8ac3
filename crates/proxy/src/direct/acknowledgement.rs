//! The response to a write or commit that a server has confirmed.
use super::DirectProxy;
use super::response::StatementResponse;
use super::route::ResolvedRoute;
use crate::ports::{ServerReply, TransactionState};
use crate::routing::commit_evidence::Commit;
use quincehatch_core::{ErrorCode, FencingToken, Millis, Position};

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
            direct.proxy.registry.acknowledge_by(&route.group, &commit, sent.finish_by).await
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
