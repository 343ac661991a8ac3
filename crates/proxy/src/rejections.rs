//! What a server's rejection means to a client.
use crate::server_protocol::{FENCE_LOW, NOT_PRIMARY, Reply, STARTING};
use quincehatch_core::{Error, ErrorCode, Millis};

/// When a client may come again after the server turned out not to be the primary.
const NOT_PRIMARY_RETRY_AFTER: Millis = 500;
/// What was not run, as the server is not primary or not yet, says nothing of the statement.
const NOT_RUN: [&str; 3] = [STARTING, FENCE_LOW, NOT_PRIMARY];

/// The error of a reply that rejects. The server's text may hold what must not be logged, so it goes to the client alone.
pub fn rejection_error(reply: &Reply) -> Error {
    if NOT_RUN.iter().any(|code| reply.has_error_code(code)) {
        return ErrorCode::NoPrimary
            .with_detail("the server is not the primary, or not yet; it ran nothing")
            .with_retry_after(NOT_PRIMARY_RETRY_AFTER);
    }
    let text = match &reply.error {
        Some(error) => format!("{} {}", error.code, error.text),
        None => String::new(),
    };
    ErrorCode::ServerRejected.with_detail(text)
}
