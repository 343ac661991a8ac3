//! The body of a client's request.
use quincehatch_core::{Error, ErrorCode, Labels, Name, Version};
use serde::Deserialize;
use serde_json::Value;
use std::sync::Once;

/// The body of a request. Unknown fields are rejected.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestBody {
    /// The session that the request belongs to.
    pub session: Option<Name>,
    /// The version of the session that the client last received.
    pub version: Option<Version>,
    /// The idempotency key of a write, which is committed at most once.
    pub idempotency_key: Option<Name>,
    /// The deprecated name of `idempotency_key`.
    #[serde(rename = "try")]
    deprecated_try: Option<Name>,
    /// The name of a statement to be prepared.
    pub name: Option<Name>,
    /// The text of the statement, verbatim.
    pub text: Option<String>,
    /// The parameters of the statement.
    pub params: Value,
    /// The labels by which the route is chosen.
    pub labels: Labels,
    /// The deadline of the request after it is received, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether a read must run on the primary.
    pub primary_read: bool,
    /// The deprecated name of `primary_read`.
    #[serde(rename = "order_side")]
    deprecated_order_side: Option<bool>,
    /// For `outcome` requests: whether to seal the idempotency key if the write was not committed, so that it never can
    /// be.
    pub seal: bool,
}

impl RequestBody {
    /// Adopts the values of fields that came under their deprecated names. The first such request is logged.
    fn adopt_deprecated_fields(&mut self) {
        static LOGGED: Once = Once::new();
        let has_deprecated_field = self.deprecated_try.is_some() || self.deprecated_order_side.is_some();
        if !has_deprecated_field {
            return;
        }
        LOGGED.call_once(|| {
            log::warn!(
                target: "client_api",
                "clients use the deprecated fields `try` or `order_side`: they are `idempotency_key` and `primary_read` now"
            );
        });
        if self.idempotency_key.is_none() {
            self.idempotency_key = self.deprecated_try.take();
        }
        self.primary_read |= self.deprecated_order_side.unwrap_or_default();
    }
}

/// Parses a body. The error describes the fault but never contains a value of the body.
pub fn parse_body(bytes: &[u8]) -> Result<RequestBody, Error> {
    if bytes.is_empty() {
        return Ok(RequestBody::default());
    }
    let parsed: Result<RequestBody, serde_json::Error> = serde_json::from_slice(bytes);
    let mut body = parsed.map_err(|error| malformed_body(&error))?;
    body.adopt_deprecated_fields();
    Ok(body)
}

fn malformed_body(error: &serde_json::Error) -> Error {
    let kind = match error.classify() {
        serde_json::error::Category::Data => "a field is unknown or of the wrong kind",
        serde_json::error::Category::Eof => "it ends too soon",
        _ => "it is not JSON",
    };
    let detail = format_args!("{kind}, at line {} column {}", error.line(), error.column());
    ErrorCode::Malformed.with_detail(detail)
}
