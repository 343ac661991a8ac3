//! One call to a node's operator listener.
use crate::arguments::Endpoint;
use quincehatch_core::{Error, ErrorCode};
use quincehatch_operator_api::{ErrorReply, OperatorCall};
use quincehatch_wire::http::{JsonRequest, call_once};
use serde_json::Value;
use std::time::Duration;

/// Longest time a call takes: a push waits until every node has applied it.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const HTTP_OK: u16 = 200;

/// Sends a request and gives the reply as the node sent it.
///
/// Fails with the node's own error, or with `Unreachable` if the node did not answer.
pub fn call<Request: OperatorCall>(endpoint: &Endpoint, request: &Request) -> Result<Value, Error> {
    let unreachable = |error: std::io::Error| {
        ErrorCode::Unreachable.with_detail(format_args!("{}: {error}", endpoint.address))
    };
    let path = Request::NAME.path();
    let body = serde_json::to_value(request).map_err(|error| ErrorCode::Malformed.with_detail(error))?;
    let call = JsonRequest { method: "POST", path: &path, body: &body, token: Some(&endpoint.token) };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(unreachable)?;
    let sent = runtime.block_on(call_once(&endpoint.address, &call, CALL_TIMEOUT));
    let (status, reply) = sent.map_err(unreachable)?;
    if status == HTTP_OK { Ok(reply) } else { Err(error_of(reply)) }
}

/// The reply as the type that belongs to the request.
pub fn typed_reply<Request: OperatorCall>(reply: Value) -> Result<Request::Reply, Error> {
    serde_json::from_value(reply).map_err(|error| {
        ErrorCode::Malformed
            .with_detail(format_args!("the node's reply is not understood: {error}; try --json"))
    })
}

/// The error that a node replied with; its code is kept even if it is unknown here.
fn error_of(reply: Value) -> Error {
    let Ok(ErrorReply { error }) = serde_json::from_value(reply) else {
        return Error {
            code: 0,
            text: "the node gave no reason".into(),
            ..ErrorCode::Unreachable.without_detail()
        };
    };
    let known = ErrorCode::from_number(error.code).unwrap_or(ErrorCode::Unreachable);
    Error { code: error.code, text: error.text.into(), ..known.without_detail() }
}
