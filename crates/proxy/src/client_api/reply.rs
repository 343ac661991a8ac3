//! The replies to clients (docs/client-api.md).
use quincehatch_core::{Error, Name, Outcome, Stamp, Version};
use quincehatch_runtime::seam;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// A success. A statement that a server executed returns the server's own stamp and rows, unchanged; a reply without
/// them is not a success.
#[derive(Clone, Debug, PartialEq)]
pub enum Success {
    /// A server executed the request.
    Committed {
        /// The rows from the server, unchanged.
        rows: Value,
        /// The server's own stamp.
        stamp: Stamp,
    },
    /// The nodes accepted the request without a server: a majority of the session's replicas stores the state.
    Accepted,
}

/// The result of a request.
pub type RequestResult = Result<Success, Error>;

/// Where a request was executed, as reported in replies.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExecutionSite {
    /// The node that received the request.
    pub node: Name,
    /// The server that the request was last sent to.
    pub server: Name,
    /// The placement of the request's route.
    pub placement: Name,
    /// The zone of the server.
    pub zone: Name,
    /// The version of the configuration that applied.
    pub version: Version,
    /// Why that server was chosen: one of the `SITE_` constants.
    pub health: Name,
}

/// The server is the group's primary, and only it may execute the request.
pub const SITE_PRIMARY: &str = "primary";
/// The server is the group's primary, which got the read because no replica was available.
pub const SITE_PRIMARY_SHARE: &str = "primary-share";
/// The server is a healthy replica.
pub const SITE_HEALTHY: &str = "in-rotation";
/// The server is a replica on probation.
pub const SITE_PROBATION: &str = "on-trial";

/// Under the injected bug `foreign-stamp`, a request whose number is a multiple of this gets a wrong stamp.
const FOREIGN_STAMP_EVERY: u64 = 50;

/// Returns the JSON of a result without the fields that every reply has.
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

/// Returns the JSON of an error.
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
