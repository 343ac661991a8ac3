//! The body of a client's request.
use quincehatch_core::{Error, ErrorCode, Labels, Name, Version};
use serde::Deserialize;
use serde_json::Value;
use std::sync::Once;

/// The body of a request. A field that is not listed here is rejected.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestBody {
    /// The session it belongs to.
    pub session: Option<Name>,
    /// The version of the session that the client was last told.
    pub version: Option<Version>,
    /// Names a write, so that it is committed at most once.
    pub idempotency_key: Option<Name>,
    /// The deprecated name of `idempotency_key`.
    #[serde(rename = "try")]
    deprecated_try: Option<Name>,
    /// Name of a statement that is prepared.
    pub name: Option<Name>,
    /// The statement, as the client gave it.
    pub text: Option<String>,
    /// Its parameters.
    pub params: Value,
    /// What routes are chosen by.
    pub labels: Labels,
    /// How long the client waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// A read that must run on the primary.
    pub primary_read: bool,
    /// The deprecated name of `primary_read`.
    #[serde(rename = "order_side")]
    deprecated_order_side: Option<bool>,
    /// With `outcome`: make the write impossible if it was not committed.
    pub seal: bool,
}

impl RequestBody {
    /// Takes over the fields that came under their deprecated names; the first time it is logged.
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

/// Reads a body; the error says what is wrong but never repeats a value.
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
