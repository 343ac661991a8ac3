//! The reply to an operator call that failed.
use serde::{Deserialize, Serialize};

/// Body of a reply whose HTTP status is not 200.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// The error that made the call fail.
    pub error: ErrorDetail,
}

/// A numeric result code (see `docs/codes.md`) with a human-readable description.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The result code.
    pub code: u16,
    /// Describes the failure in one sentence.
    pub text: String,
}
