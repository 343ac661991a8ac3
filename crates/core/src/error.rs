//! The error type of all calls: a code, a message and the outcome of the failed write.
use crate::{ErrorCode, messages};
use compact_str::{CompactString, ToCompactString};
use std::fmt;

messages! {
    /// The outcome of a write.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// The write is committed.
        Committed,
        /// No part of the write was or will be applied.
        NotApplied,
        /// The write may or may not be committed: the caller asks again with its idempotency key to learn which.
        Unknown
    }

    /// An error with a numeric code and a human-readable message.
    #[derive(Eq)]
    pub struct Error {
        /// Number of an [`ErrorCode`]; a process of a newer version may send one that this version does not define.
        pub code: u16,
        /// The message, one sentence.
        pub text: CompactString,
        /// The outcome of the failed write.
        pub outcome: Outcome,
        /// The delay in milliseconds after which a retry may succeed.
        pub retry_after_ms: Option<u64>
    }
}

impl ErrorCode {
    /// Returns an error of this code with `detail` after its description and the outcome [`Outcome::NotApplied`].
    pub fn with_detail(self, detail: impl fmt::Display) -> Error {
        let detail = detail.to_compact_string();
        let text = if detail.is_empty() {
            self.description().into()
        } else {
            format!("{}: {}", self.description(), detail).into()
        };
        Error { code: self.number(), text, outcome: Outcome::NotApplied, retry_after_ms: None }
    }

    /// Returns an error of this code whose text is the description alone, with the outcome [`Outcome::NotApplied`].
    pub fn without_detail(self) -> Error {
        self.with_detail("")
    }
}

/// Status of a reply whose code this version does not define.
const INTERNAL_SERVER_ERROR: u16 = 500;

impl Error {
    /// Returns the same error with the outcome [`Outcome::Unknown`].
    pub fn with_unknown_outcome(mut self) -> Self {
        self.outcome = Outcome::Unknown;
        self
    }

    /// Returns the same error with the advice to retry after `ms` milliseconds.
    pub fn with_retry_after(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Whether the error has the given code.
    pub fn has_code(&self, code: ErrorCode) -> bool {
        self.code == code.number()
    }

    /// Returns the status of the HTTP response that carries the error.
    pub fn http_status(&self) -> u16 {
        ErrorCode::from_number(self.code).map_or(INTERNAL_SERVER_ERROR, ErrorCode::http_status)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.code, self.text)
    }
}

impl std::error::Error for Error {}
