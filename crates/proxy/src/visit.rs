//! A visit and its answer: the shapes origins see (§4.1, docs/origin.md).
use quincehatch_core::{ErrorCode, Outcome, Error, Labels, Millis, Name, Stamp, Version};
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
pub enum What {
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

impl What {
    pub fn of(path: &str) -> Option<What> {
        Some(match path {
            "/v1/open" => What::Open,
            "/v1/set" => What::Set,
            "/v1/prepare" => What::Prepare,
            "/v1/close" => What::Close,
            "/v1/order" => What::Order,
            "/v1/lookup" => What::Lookup,
            "/v1/begin" => What::Begin,
            "/v1/run" => What::Run,
            "/v1/commit" => What::Commit,
            "/v1/rollback" => What::Rollback,
            "/v1/outcome" => What::Outcome,
            _ => return None,
        })
    }
    /// Must the visit come within a session?
    pub fn in_session(self) -> bool {
        use What::*;
        matches!(self, Set | Prepare | Close | Begin | Run | Commit | Rollback)
    }
}

/// Where a visit ran (docs/origin.md).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ran {
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
pub enum Good {
    Kept { rows: Value, stamp: Stamp },
    Promised,
}

pub struct Visit {
    pub id: u64,
    pub what: What,
    pub body: Body,
    pub began: Millis,
    pub until: Millis,
    pub rule: Option<quincehatch_config::configuration::Route>,
    pub plan: std::sync::Arc<crate::board::Plan>,
    pub held: Option<tokio::sync::OwnedMutexGuard<crate::session::Session>>,
    pub group: Name,
    pub ran: Ran,
    /// The filters and carries it passed, for `quincehatchctl explain`.
    pub path: Vec<String>,
}

pub type Answer = Result<Good, Error>;

impl Visit {
    pub fn left(&self) -> Millis {
        self.until.saturating_sub(now())
    }
    pub fn text(&self) -> &str {
        self.body.text.as_deref().unwrap_or_default()
    }
    /// Sum of an order's content: a try key used again must bring the same (§4.6).
    pub fn sum(&self) -> Name {
        content_sum("", self.text(), &self.body.params)
    }
    pub fn note(&mut self, s: impl Into<String>) {
        if self.path.len() < 32 {
            self.path.push(s.into());
        }
    }
    /// The reply to the origin as status and JSON.
    pub fn reply(&self, a: &Answer) -> (u16, Value) {
        let mut v = match a {
            Ok(Good::Kept { rows, stamp })
                if quincehatch_runtime::seam::injected_bug("foreign-stamp") && self.id.is_multiple_of(50) =>
            {
                json!({"end": "kept", "rows": rows, "stamp": Stamp { server: "g1s9".into(), ..stamp.clone() }})
            }
            Ok(Good::Kept { rows, stamp }) => json!({"end": "kept", "rows": rows, "stamp": stamp}),
            Ok(Good::Promised) => json!({"end": "promised"}),
            Err(b) => breakdown_json(b),
        };
        if let Some(m) = v.as_object_mut() {
            m.insert("visit".into(), json!(self.id));
            m.insert("where".into(), json!(self.ran));
            if let Some(h) = &self.held {
                m.insert("session".into(), json!(h.ctx.id));
                m.insert("version".into(), json!(h.ctx.version));
            }
        }
        (a.as_ref().map_or_else(Error::http_status, |_| 200), v)
    }
}

/// Adds a statement to a digest over what an order does (SHA-256, in hex): equal only for equal content.
pub fn content_sum(so_far: &str, text: &str, params: &Value) -> Name {
    let mut d = Sha256::new();
    for part in [so_far, text, &params.to_string()] {
        d.update((part.len() as u64).to_le_bytes());
        d.update(part.as_bytes());
    }
    d.finalize().iter().map(|b| format!("{b:02x}")).collect()
}

pub fn breakdown_json(b: &Error) -> Value {
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
pub fn read_body(bytes: &[u8]) -> Result<Body, Error> {
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
        let one = content_sum("", "append l $1", &p);
        assert_eq!((one.len(), &one), (64, &content_sum("", "append l $1", &json!(["t1"]))));
        let two = content_sum(&one, "add total 1", &Value::Null);
        let others = [
            content_sum("", "append l $", &json!("1[\"t1\"]")),
            content_sum("", "append l $1", &json!(["t1", null])),
            content_sum("", "add total 1", &Value::Null),
            content_sum(&content_sum("", "add total 1", &Value::Null), "append l $1", &p),
        ];
        assert!(!others.contains(&one) && !others.contains(&two));
    }
}
