//! HTTP calls that each open a new connection.
use super::connection::{HttpConnection, JsonRequest};
use quincehatch_runtime::seam;
use serde_json::Value;
use std::io;
use std::time::Duration;

/// Sends one request over a new connection; returns the status and the JSON body of the reply.
///
/// # Errors
/// `TimedOut` after `timeout`; otherwise the error of opening or using the connection.
pub async fn call_once(addr: &str, request: &JsonRequest<'_>, timeout: Duration) -> io::Result<(u16, Value)> {
    let exchange = async { HttpConnection::open(addr, None).await?.call(request).await };
    match seam::timeout(timeout, exchange).await {
        Ok(reply) => reply,
        Err(_) => Err(io::Error::new(io::ErrorKind::TimedOut, "no answer in time")),
    }
}

/// Sends one request with additional headers over a new connection; returns the status of the reply alone.
///
/// # Errors
/// `TimedOut` after `timeout`; otherwise the error of opening or using the connection.
pub async fn call_for_status(
    addr: &str,
    request: &JsonRequest<'_>,
    headers: &[(&str, &str)],
    timeout: Duration,
) -> io::Result<u16> {
    let exchange = async { HttpConnection::open(addr, None).await?.call_for_status(request, headers).await };
    match seam::timeout(timeout, exchange).await {
        Ok(reply) => reply,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// POSTs `body` over a new connection; returns the status and the JSON body of the reply.
///
/// # Errors
/// As [`call_once`].
pub async fn post_once(addr: &str, path: &str, body: &Value, timeout: Duration) -> io::Result<(u16, Value)> {
    call_once(addr, &JsonRequest { method: "POST", path, body, token: None }, timeout).await
}
