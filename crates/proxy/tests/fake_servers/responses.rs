//! Assertions on responses.
use assert_matches::assert_matches;
use quincehatch_core::{ErrorCode, Outcome};
use quincehatch_proxy::direct::{StatementError, StatementResponse};

/// Returns the code number and the outcome of the proxy's error in a response.
#[track_caller]
pub fn proxy_error(response: &StatementResponse) -> (u16, Outcome) {
    match &response.result {
        Err(StatementError::Proxy(error)) => (error.code, error.outcome),
        other => panic!("expected an error of the proxy, got {other:?}"),
    }
}

/// Asserts that the response is a success with the server's stamp.
#[track_caller]
pub fn assert_stamped(response: &StatementResponse) {
    assert_matches!(response.result, Ok(Some(_)), "expected a success with a stamp");
}

/// Returns the expected value of [`proxy_error`].
pub fn error(code: ErrorCode, outcome: Outcome) -> (u16, Outcome) {
    (code.number(), outcome)
}
