//! How a call fails, and what is known of its effect then.
use crate::{ProcessId, RetrySafety};
use compact_str::{CompactString, format_compact};
use quincehatch_core::{Error, ErrorCode};

/// Why a call brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// There was no connection, or the frame was not written whole: the receiver cannot have acted on it.
    NotSent(CompactString),
    /// The process at the address is not the one that was meant, and has done nothing.
    WrongReceiver {
        /// Who listens there.
        by: ProcessId,
    },
    /// A call that alters nothing was not answered.
    NoAnswer(CompactString),
    /// The frame may have arrived and taken effect; it was not sent again.
    OutcomeUnknown(CompactString),
}

impl CallError {
    /// The error of a call whose frame may have arrived.
    pub(super) fn unanswered(repeat: RetrySafety, why: impl std::fmt::Display) -> CallError {
        let why = format_compact!("{why}");
        match repeat {
            RetrySafety::ReadOnly => CallError::NoAnswer(why),
            RetrySafety::Idempotent(_) | RetrySafety::Never => CallError::OutcomeUnknown(why),
        }
    }
    /// May the call be sent on another connection after this?
    pub fn allows_retry(&self, repeat: RetrySafety) -> bool {
        match self {
            CallError::NotSent(_) | CallError::WrongReceiver { .. } => true,
            CallError::NoAnswer(_) | CallError::OutcomeUnknown(_) => repeat.allows_retry(),
        }
    }
}

impl From<CallError> for Error {
    fn from(error: CallError) -> Error {
        match error {
            CallError::NotSent(why) | CallError::NoAnswer(why) => ErrorCode::Unreachable.with_detail(why),
            CallError::WrongReceiver { .. } => ErrorCode::WrongReceiver.without_detail(),
            CallError::OutcomeUnknown(why) => {
                ErrorCode::OutcomeUnknown.with_detail(why).with_unknown_outcome()
            }
        }
    }
}
