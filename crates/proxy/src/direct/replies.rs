//! Interprets server replies and missing replies: the client's response or error, and what the proxy records.
use super::DirectProxy;
use super::connection::ConnectionError;
use super::route::ResolvedRoute;
use super::server_choice::fence_if_primary;
use crate::ports::{RejectReason, ServerReply, TransactionState};
use crate::registry::ServerEntry;
use quincehatch_core::{Error, ErrorCode, Millis};

/// When a client may retry after a rejection by a server, or if no attempt could be started in time.
pub(super) const RETRY_AFTER_REJECTION: Millis = 100;
/// When a client may retry after a connection broke.
const RETRY_AFTER_DISCONNECT: Millis = 50;
const NO_REPLY: &str = "the server did not reply before the deadline";

/// Whether a rejection with this reason means that the server ran nothing.
pub(super) fn was_not_run(reason: RejectReason) -> bool {
    matches!(
        reason,
        RejectReason::Busy
            | RejectReason::Behind
            | RejectReason::NotPrimary
            | RejectReason::WrongServer
            | RejectReason::TooManyConnections
            | RejectReason::Unprepared
    )
}

/// Whether no transaction is open on the connection after the reply, so that it may serve another session.
pub(super) fn leaves_idle(reply: &ServerReply) -> bool {
    reply.transaction_state == TransactionState::Idle
}

/// Returns the reason why the server rejected the call, if it did.
pub(super) fn reject_reason(reply: &ServerReply) -> Option<RejectReason> {
    reply.rejection.as_ref().map(|rejection| rejection.reason)
}

/// Records the end of the primary's log from its reply, as the reference for later reads. Does nothing if the server is
/// not the primary according to this proxy's cluster state.
pub(super) fn record_primary_position(
    direct: &DirectProxy,
    route: &ResolvedRoute,
    server: &ServerEntry,
    sent_at: Millis,
    reply: &ServerReply,
) {
    let Some(log_end) = reply.log_end else { return };
    if fence_if_primary(direct, &route.group, server).is_some() {
        direct.proxy.registry.record_primary_position(&route.group, sent_at, log_end);
    }
}

/// Returns the error of a statement that got no reply and cannot have committed anything.
pub(super) fn unanswered_error(error: &ConnectionError) -> Error {
    match error {
        ConnectionError::Broke(cause) => {
            ErrorCode::ServerFailed.with_detail(cause.kind()).with_retry_after(RETRY_AFTER_DISCONNECT)
        }
        ConnectionError::TimedOut => ErrorCode::DeadlinePassed.with_detail(NO_REPLY).with_unknown_outcome(),
    }
}

/// Returns the error of a write or commit that got no reply and may have been committed.
pub(super) fn in_doubt_error(error: &ConnectionError) -> Error {
    let error = match error {
        ConnectionError::Broke(cause) => ErrorCode::Unknown.with_detail(cause.kind()),
        ConnectionError::TimedOut => ErrorCode::Unknown.with_detail(NO_REPLY),
    };
    error.with_unknown_outcome()
}

/// Returns the error of a statement that a server did not run.
pub(super) fn rejection_error(reason: RejectReason) -> Error {
    let error = match reason {
        RejectReason::Busy | RejectReason::TooManyConnections => {
            ErrorCode::ConnectionsBusy.with_detail("the server is busy or has reached its connection limit")
        }
        RejectReason::Behind => ErrorCode::Stale.without_detail(),
        RejectReason::NotPrimary => ErrorCode::NoPrimary.without_detail(),
        _ => ErrorCode::ServerFailed.without_detail(),
    };
    error.with_retry_after(RETRY_AFTER_REJECTION)
}

/// Returns the error of a transaction that is rolled back.
pub(super) fn transaction_lost(cause: &str) -> Error {
    ErrorCode::TransactionLost.with_detail(cause).with_retry_after(RETRY_AFTER_DISCONNECT)
}

/// Returns the error of a transaction in which a statement got no reply.
pub(super) fn transaction_lost_by(error: &ConnectionError) -> Error {
    match error {
        ConnectionError::Broke(cause) => transaction_lost(&cause.kind().to_string()),
        ConnectionError::TimedOut => transaction_lost(NO_REPLY),
    }
}
