//! Errors of calls, which tell what is known of the effect of the request.
use crate::{ProcessId, RetrySafety};
use compact_str::{CompactString, format_compact};
use quincehatch_core::{Error, ErrorCode};

/// The reason why a call returned no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// There was no connection, or the frame was not written completely: the receiver cannot have acted on it.
    NotSent(CompactString),
    /// The process at the address is not the intended one and has done nothing.
    WrongReceiver {
        /// The process that listens at the address.
        by: ProcessId,
    },
    /// A request that changes nothing was not answered.
    NoAnswer(CompactString),
    /// The frame may have arrived and taken effect; it was not sent again.
    OutcomeUnknown(CompactString),
}

impl CallError {
    /// Returns the error of a call whose frame may have arrived.
    pub(super) fn unanswered(safety: RetrySafety, cause: impl std::fmt::Display) -> CallError {
        let cause = format_compact!("{cause}");
        match safety {
            RetrySafety::ReadOnly => CallError::NoAnswer(cause),
            RetrySafety::Idempotent(_) | RetrySafety::Never => CallError::OutcomeUnknown(cause),
        }
    }

    /// Whether the call may be sent on another connection after this error.
    pub fn allows_retry(&self, safety: RetrySafety) -> bool {
        match self {
            CallError::NotSent(_) | CallError::WrongReceiver { .. } => true,
            CallError::NoAnswer(_) | CallError::OutcomeUnknown(_) => safety.allows_retry(),
        }
    }
}

impl From<CallError> for Error {
    fn from(error: CallError) -> Error {
        match error {
            CallError::NotSent(cause) | CallError::NoAnswer(cause) => {
                ErrorCode::Unreachable.with_detail(cause)
            }
            CallError::WrongReceiver { .. } => ErrorCode::WrongReceiver.without_detail(),
            CallError::OutcomeUnknown(cause) => {
                ErrorCode::OutcomeUnknown.with_detail(cause).with_unknown_outcome()
            }
        }
    }
}
