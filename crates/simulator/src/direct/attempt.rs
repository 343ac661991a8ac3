//! How an attempt of an operation ended for its client.
use quincehatch_core::{ErrorCode, Outcome};
use quincehatch_proxy::direct::StatementError;
use quincehatch_proxy::ports::RejectReason;

/// How an attempt of an operation ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// It succeeded.
    Succeeded,
    /// It is not applied, or only reads and failed, or was abandoned before its commit: it is tried again.
    Retry,
    /// It failed, or whether it is applied is unknown.
    Failed,
}

/// True if the error guarantees that nothing of the attempt is applied.
pub fn guarantees_not_applied(error: &StatementError) -> bool {
    match error {
        StatementError::Server(reason, _) => matches!(
            reason,
            RejectReason::Busy
                | RejectReason::Behind
                | RejectReason::NotPrimary
                | RejectReason::WrongServer
                | RejectReason::TooManyConnections
        ),
        StatementError::Proxy(error) => {
            let is_final = [
                ErrorCode::DeadlinePassed,
                ErrorCode::NoRoute,
                ErrorCode::Malformed,
                ErrorCode::TooLarge,
                ErrorCode::ServerRejected,
            ]
            .iter()
            .any(|code| error.has_code(*code));
            error.outcome == Outcome::NotApplied && !is_final
        }
    }
}
