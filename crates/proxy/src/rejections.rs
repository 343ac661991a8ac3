//! Maps rejections of servers to errors for clients.
use crate::server_protocol::{FENCE_LOW, NOT_PRIMARY, Reply, STARTING};
use quincehatch_core::{Error, ErrorCode, Millis};

/// Suggested wait before a client retries after the server turned out not to be the primary.
const NOT_PRIMARY_RETRY_AFTER: Millis = 500;
/// The codes of rejections before the statement ran, because the server is not the primary or not yet.
const NOT_RUN: [&str; 3] = [STARTING, FENCE_LOW, NOT_PRIMARY];

/// Returns the error for a reply that rejects a request. The server's text may contain values that must not be logged,
/// so only the client receives it.
pub fn rejection_error(reply: &Reply) -> Error {
    if NOT_RUN.iter().any(|code| reply.has_error_code(code)) {
        return ErrorCode::NoPrimary
            .with_detail("the server is not the primary, or not yet; the statement was not run")
            .with_retry_after(NOT_PRIMARY_RETRY_AFTER);
    }
    let text = match &reply.error {
        Some(error) => format!("{} {}", error.code, error.text),
        None => String::new(),
    };
    ErrorCode::ServerRejected.with_detail(text)
}
