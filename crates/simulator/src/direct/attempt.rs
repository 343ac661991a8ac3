//! The result of one attempt at an operation, as its client sees it.
use quincehatch_core::{ErrorCode, Outcome};
use quincehatch_proxy::direct::StatementError;
use quincehatch_proxy::ports::RejectReason;

/// How an attempt of an operation ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The attempt succeeded.
    Succeeded,
    /// The operation can be retried: it was not applied, it only read and failed, or it was abandoned before its
    /// commit.
    Retry,
    /// The attempt failed for good, or it is unknown whether it was applied.
    Failed,
}

/// Whether the error guarantees that no part of the attempt is applied.
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
