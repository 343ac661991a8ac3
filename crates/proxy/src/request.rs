//! A visit and its answer: the shapes origins see (§4.1, docs/origin.md).
use quincehatch_core::{Error, ErrorCode, Labels, Millis, Name, Outcome, Stamp, Version};
use quincehatch_runtime::now;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// What an origin may send. Every field beyond the call's own is declined.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Body {
    pub session: Option<Name>,
    pub version: Option<Version>,
    #[serde(rename = "try")]
    pub key: Option<Name>,
    pub name: Option<Name>,
    pub text: Option<String>,
    pub params: Value,
    pub labels: Labels,
    pub deadline_ms: Option<u64>,
    /// An order-side read: it goes to the primary.
    pub order_side: bool,
    /// With `outcome`: make the try impossible if it was not kept.
    pub seal: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    Open,
    Set,
    Prepare,
    Close,
    Order,
    Lookup,
    Begin,
    Run,
    Commit,
    Rollback,
    Outcome,
}

impl Operation {
    pub fn of(path: &str) -> Option<Operation> {
        Some(match path {
            "/v1/open" => Operation::Open,
            "/v1/set" => Operation::Set,
            "/v1/prepare" => Operation::Prepare,
            "/v1/close" => Operation::Close,
            "/v1/order" => Operation::Order,
            "/v1/lookup" => Operation::Lookup,
            "/v1/begin" => Operation::Begin,
            "/v1/run" => Operation::Run,
            "/v1/commit" => Operation::Commit,
            "/v1/rollback" => Operation::Rollback,
            "/v1/outcome" => Operation::Outcome,
            _ => return None,
        })
    }
    /// Must the visit come within a session?
    pub fn in_session(self) -> bool {
        use Operation::*;
        matches!(self, Set | Prepare | Close | Begin | Run | Commit | Rollback)
    }
}

/// Where a visit ran (docs/origin.md).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExecutionSite {
    pub node: Name,
    pub server: Name,
    pub placement: Name,
    pub district: Name,
    pub version: Version,
    pub verdict: Name,
}

/// A success. What a server did has its own stamp and rows, unchanged; there is no success of a server's
/// without them (§1 N4). What the nodes alone took on is promised.
#[derive(Clone, Debug, PartialEq)]
pub enum Success {
    Committed { rows: Value, stamp: Stamp },
    Accepted,
}

pub struct ClientRequest {
    pub id: u64,
    pub what: Operation,
    pub body: Body,
    pub began: Millis,
    pub until: Millis,
    pub rule: Option<quincehatch_config::configuration::Route>,
    pub plan: std::sync::Arc<crate::registry::ClusterState>,
    pub held: Option<tokio::sync::OwnedMutexGuard<crate::session::Session>>,
    pub group: Name,
    pub ran: ExecutionSite,
    /// The filters and carries it passed, for `quincehatchctl explain`.
    pub path: Vec<String>,
}

pub type RequestResult = Result<Success, Error>;

impl ClientRequest {
    pub fn left(&self) -> Millis {
        self.until.saturating_sub(now())
    }
    pub fn text(&self) -> &str {
        self.body.text.as_deref().unwrap_or_default()
    }
    /// Sum of an order's content: a try key used again must bring the same (§4.6).
    pub fn sum(&self) -> Name {
        content_digest("", self.text(), &self.body.params)
    }
    pub fn note(&mut self, s: impl Into<String>) {
        if self.path.len() < 32 {
            self.path.push(s.into());
        }
    }
    /// The reply to the origin as status and JSON.
    pub fn reply(&self, a: &RequestResult) -> (u16, Value) {
        let mut v = match a {
            Ok(Success::Committed { rows, stamp })
                if quincehatch_runtime::seam::injected_bug("foreign-stamp") && self.id.is_multiple_of(50) =>
            {
                json!({"end": "kept", "rows": rows, "stamp": Stamp { server: "g1s9".into(), ..stamp.clone() }})
            }
            Ok(Success::Committed { rows, stamp }) => json!({"end": "kept", "rows": rows, "stamp": stamp}),
            Ok(Success::Accepted) => json!({"end": "promised"}),
            Err(b) => error_json(b),
        };
        if let Some(m) = v.as_object_mut() {
            m.insert("visit".into(), json!(self.id));
            m.insert("where".into(), json!(self.ran));
            if let Some(h) = &self.held {
                m.insert("session".into(), json!(h.state.id));
                m.insert("version".into(), json!(h.state.version));
            }
        }
        (a.as_ref().map_or_else(Error::http_status, |_| 200), v)
    }
}

/// Adds a statement to a digest over what an order does (SHA-256, in hex): equal only for equal content.
pub fn content_digest(so_far: &str, text: &str, params: &Value) -> Name {
    let mut d = Sha256::new();
    for part in [so_far, text, &params.to_string()] {
        d.update((part.len() as u64).to_le_bytes());
        d.update(part.as_bytes());
    }
    d.finalize().iter().map(|b| format!("{b:02x}")).collect()
}

pub fn error_json(b: &Error) -> Value {
    let end = match b.outcome {
        Outcome::Committed => "kept",
        Outcome::NotApplied => "nothing",
        Outcome::Unknown => "unknown",
    };
    let mut v = json!({"end": end, "error": {"code": b.code, "text": b.text}});
    if let Some(ms) = b.retry_after_ms {
        v["retry_after_ms"] = json!(ms);
    }
    v
}

/// Reads a body; the sentence names what is wrong but never repeats a value (§2.5).
pub fn parse_body(bytes: &[u8]) -> Result<Body, Error> {
    if bytes.is_empty() {
        return Ok(Body::default());
    }
    serde_json::from_slice(bytes).map_err(|e| {
        let kind = match e.classify() {
            serde_json::error::Category::Data => "a field is unknown or of the wrong kind",
            serde_json::error::Category::Eof => "it ends too soon",
            _ => "it is not JSON",
        };
        ErrorCode::Malformed.with_detail(format_args!("{kind}, at line {} column {}", e.line(), e.column()))
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn content_is_known_by_a_digest_that_keeps_its_parts_apart() {
        let p = json!(["t1"]);
        let one = content_digest("", "append l $1", &p);
        assert_eq!((one.len(), &one), (64, &content_digest("", "append l $1", &json!(["t1"]))));
        let two = content_digest(&one, "add total 1", &Value::Null);
        let others = [
            content_digest("", "append l $", &json!("1[\"t1\"]")),
            content_digest("", "append l $1", &json!(["t1", null])),
            content_digest("", "add total 1", &Value::Null),
            content_digest(&content_digest("", "add total 1", &Value::Null), "append l $1", &p),
        ];
        assert!(!others.contains(&one) && !others.contains(&two));
    }
}
