//! Sends a call to a node's operator listener.
use crate::arguments::Endpoint;
use quincehatch_core::{Error, ErrorCode};
use quincehatch_operator_api::{ErrorReply, OperatorCall};
use quincehatch_wire::http::{JsonRequest, call_once};
use serde_json::Value;
use std::time::Duration;

/// Timeout of a call. It is long because a push waits until every node has applied the new configuration.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const HTTP_OK: u16 = 200;

/// Sends a request and returns the reply as the node sent it.
///
/// Returns the node's own error, or `Unreachable` if the node did not answer.
pub fn call<Request: OperatorCall>(endpoint: &Endpoint, request: &Request) -> Result<Value, Error> {
    let unreachable = |error: std::io::Error| {
        ErrorCode::Unreachable.with_detail(format_args!("{}: {error}", endpoint.address))
    };
    let path = Request::NAME.path();
    let body = serde_json::to_value(request).map_err(|error| ErrorCode::Malformed.with_detail(error))?;
    let call = JsonRequest { method: "POST", path: &path, body: &body, token: Some(&endpoint.token) };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(unreachable)?;
    let response = runtime.block_on(call_once(&endpoint.address, &call, CALL_TIMEOUT));
    let (status, reply) = response.map_err(unreachable)?;
    if status == HTTP_OK { Ok(reply) } else { Err(parse_error(reply)) }
}

/// Parses a reply into the reply type of the request.
pub fn typed_reply<Request: OperatorCall>(reply: Value) -> Result<Request::Reply, Error> {
    serde_json::from_value(reply).map_err(|error| {
        ErrorCode::Malformed
            .with_detail(format_args!("the node's reply could not be parsed: {error}; try --json"))
    })
}

/// Parses the error in a node's reply. A result code that this program does not know is preserved.
fn parse_error(reply: Value) -> Error {
    let Ok(ErrorReply { error }) = serde_json::from_value(reply) else {
        return Error {
            code: 0,
            text: "the node's error reply could not be parsed".into(),
            ..ErrorCode::Unreachable.without_detail()
        };
    };
    let known = ErrorCode::from_number(error.code).unwrap_or(ErrorCode::Unreachable);
    Error { code: error.code, text: error.text.into(), ..known.without_detail() }
}
