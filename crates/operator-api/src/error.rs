//! The reply to an operator call that failed.
use serde::{Deserialize, Serialize};

/// Body of a reply whose HTTP status is not 200.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// What went wrong.
    pub error: ErrorDetail,
}

/// A numbered result code (`docs/codes.md`) with one sentence for people.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Number of the result code.
    pub code: u16,
    /// What failed, in one sentence.
    pub text: String,
}
