//! The error that every call of the project returns.
use crate::{ErrorCode, messages};
use compact_str::{CompactString, ToCompactString};
use std::fmt;

messages! {
    /// What became of a write.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// It is committed.
        Committed,
        /// Nothing of it was or will be applied.
        NotApplied,
        /// It may or may not be committed: the caller asks again with its idempotency key.
        Unknown
    }

    /// A numbered error with one sentence for people.
    #[derive(Eq)]
    pub struct Error {
        /// Number of an [`ErrorCode`]; one of a newer version may be unknown here.
        pub code: u16,
        /// The sentence.
        pub text: CompactString,
        /// What became of the write that failed.
        pub outcome: Outcome,
        /// When a retry may succeed, in milliseconds from now.
        pub retry_after_ms: Option<u64>
    }
}

impl ErrorCode {
    /// An error of this code with `detail` after its description. Nothing was applied.
    pub fn with_detail(self, detail: impl fmt::Display) -> Error {
        let detail = detail.to_compact_string();
        let text = if detail.is_empty() {
            self.description().into()
        } else {
            format!("{}: {}", self.description(), detail).into()
        };
        Error { code: self.number(), text, outcome: Outcome::NotApplied, retry_after_ms: None }
    }

    /// An error of this code whose text is the description alone. Nothing was applied.
    pub fn without_detail(self) -> Error {
        self.with_detail("")
    }
}

/// Status of a reply whose code this version does not know.
const INTERNAL_SERVER_ERROR: u16 = 500;

impl Error {
    /// The same error where it is not known whether the write was applied.
    pub fn with_unknown_outcome(mut self) -> Self {
        self.outcome = Outcome::Unknown;
        self
    }

    /// The same error with advice to retry after `ms` milliseconds.
    pub fn with_retry_after(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Is the error of that code?
    pub fn has_code(&self, code: ErrorCode) -> bool {
        self.code == code.number()
    }

    /// Status of the HTTP response that carries the error.
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
