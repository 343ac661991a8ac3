//! What tests expect of responses.
use assert_matches::assert_matches;
use quincehatch_core::{ErrorCode, Outcome};
use quincehatch_proxy::direct::{StatementError, StatementResponse};

/// The proxy's error in a response: its number and its outcome.
#[track_caller]
pub fn proxy_error(response: &StatementResponse) -> (u16, Outcome) {
    match &response.result {
        Err(StatementError::Proxy(error)) => (error.code, error.outcome),
        other => panic!("not an error of the proxy: {other:?}"),
    }
}

/// The response is a success with the server's stamp.
#[track_caller]
pub fn assert_stamped(response: &StatementResponse) {
    assert_matches!(response.result, Ok(Some(_)), "no success with a stamp");
}

/// An expected error of the proxy, as [`proxy_error`] gives it.
pub fn error(code: ErrorCode, outcome: Outcome) -> (u16, Outcome) {
    (code.number(), outcome)
}
