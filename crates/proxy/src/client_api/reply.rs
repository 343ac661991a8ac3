//! The replies to clients (docs/client-api.md).
use quincehatch_core::{Error, Name, Outcome, Stamp, Version};
use quincehatch_runtime::seam;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// A success. What a server did has its own stamp and rows, unchanged; without them there is no success of a server's.
#[derive(Clone, Debug, PartialEq)]
pub enum Success {
    /// A server did it.
    Committed {
        /// The rows as the server gave them.
        rows: Value,
        /// The server's own stamp.
        stamp: Stamp,
    },
    /// The nodes alone took it on: the session's state is kept by a majority of its replicas.
    Accepted,
}

/// How a request ended.
pub type RequestResult = Result<Success, Error>;

/// Where a request was executed, as replies tell it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExecutionSite {
    /// The node that took the request.
    pub node: Name,
    /// The server it was sent to last.
    pub server: Name,
    /// The placement of its route.
    pub placement: Name,
    /// The zone of the server.
    pub zone: Name,
    /// The configuration it was executed under.
    pub version: Version,
    /// Why that server was chosen; one of the constants of this module.
    pub health: Name,
}

/// The server is the group's primary, and only it may execute the request.
pub const SITE_PRIMARY: &str = "primary";
/// The server is the group's primary; the read went there as no replica could take it.
pub const SITE_PRIMARY_SHARE: &str = "primary-share";
/// The server is a healthy replica.
pub const SITE_HEALTHY: &str = "in-rotation";
/// The server is a replica on probation.
pub const SITE_PROBATION: &str = "on-trial";

/// A request whose number this divides gets a wrong stamp under the injected bug `foreign-stamp`.
const FOREIGN_STAMP_EVERY: u64 = 50;

/// The status and JSON of a result, before the fields that every reply has.
pub fn result_json(result: &RequestResult, request_id: u64) -> Value {
    match result {
        Ok(Success::Committed { rows, stamp }) => {
            let is_forged =
                seam::injected_bug("foreign-stamp") && request_id.is_multiple_of(FOREIGN_STAMP_EVERY);
            let stamp = match is_forged {
                true => Stamp { server: "g1s9".into(), ..stamp.clone() },
                false => stamp.clone(),
            };
            json!({"end": "kept", "rows": rows, "stamp": stamp})
        }
        Ok(Success::Accepted) => json!({"end": "promised"}),
        Err(error) => error_json(error),
    }
}

/// The JSON of an error.
pub fn error_json(error: &Error) -> Value {
    let outcome = match error.outcome {
        Outcome::Committed => "kept",
        Outcome::NotApplied => "nothing",
        Outcome::Unknown => "unknown",
    };
    let mut reply = json!({"end": outcome, "error": {"code": error.code, "text": error.text}});
    if let Some(ms) = error.retry_after_ms {
        reply["retry_after_ms"] = json!(ms);
    }
    reply
}
