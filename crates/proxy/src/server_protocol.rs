//! The wire shapes of database servers, all in this one module (§3, docs/server.md).
use crate::request::Success;
use quincehatch_core::{FencingToken, Name, Position, ServerHeartbeat, ServerState, Stamp};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Why a server declined, in its own words.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerError {
    pub code: Name,
    pub text: String,
}

/// A server's reply: always its stamp; rows on success; an error otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    pub stamp: Stamp,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rows: Option<Value>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<ServerError>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Name>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub beat: Option<ServerHeartbeat>,
}

/// Server's error codes that this side must know.
pub const TRY_REUSED: &str = "try-reused";
pub const TRY_SEALED: &str = "try-sealed";
pub const FENCE_LOW: &str = "fence-low";
pub const NOT_PRIMARY: &str = "not-primary";
pub const LEAVING: &str = "leaving";
/// The server leads but does not show all of its log yet: the statement was not run (§3.2).
pub const STARTING: &str = "starting";
/// The commit is in the log but not yet on a second server: neither kept nor not.
pub const IN_DOUBT: &str = "in-doubt";

/// Calls of the contract. Statement texts are the origin's own, never touched (§1 N8).
pub mod call {
    use super::*;

    pub fn begin(link: &str, fence: FencingToken) -> (&'static str, Value) {
        ("/v1/begin", json!({"link": link, "fence": fence}))
    }
    pub fn run(link: &str, text: &str, params: &Value) -> (&'static str, Value) {
        let text = if quincehatch_runtime::seam::injected_bug("changed-text") {
            text.trim_end_matches('1')
        } else {
            text
        };
        ("/v1/run", json!({"link": link, "text": text, "params": params}))
    }
    /// A one-step order: runs and commits under its try key, at once or not at all.
    pub fn order(link: &str, text: &str, params: &Value, t: &Try<'_>) -> (&'static str, Value) {
        let body = json!({"link": link, "text": text, "params": params, "try": t.key, "sum": t.sum, "fence": t.fence});
        ("/v1/run", body)
    }
    pub fn commit(link: &str, t: &Try<'_>) -> (&'static str, Value) {
        ("/v1/commit", json!({"link": link, "try": t.key, "sum": t.sum, "fence": t.fence}))
    }
    pub fn rollback(link: &str) -> (&'static str, Value) {
        ("/v1/rollback", json!({"link": link}))
    }
    pub fn set(link: &str, text: &str) -> (&'static str, Value) {
        ("/v1/set", json!({"link": link, "text": text}))
    }
    pub fn prepare(link: &str, name: &str, text: &str) -> (&'static str, Value) {
        ("/v1/prepare", json!({"link": link, "name": name, "text": text}))
    }
    pub fn reset(link: &str) -> (&'static str, Value) {
        ("/v1/reset", json!({"link": link}))
    }
    pub fn cancel(link: &str) -> (&'static str, Value) {
        ("/v1/cancel", json!({"link": link}))
    }
    pub fn status() -> (&'static str, Value) {
        ("/v1/status", json!({}))
    }
    pub fn outcome(key: &str, seal: bool, fence: FencingToken) -> (&'static str, Value) {
        ("/v1/outcome", json!({"try": key, "seal": seal, "fence": fence}))
    }
    pub fn fence(f: FencingToken) -> (&'static str, Value) {
        ("/v1/fence", json!({"fence": f}))
    }
}

/// A try as the server sees it.
pub struct Try<'a> {
    pub key: &'a str,
    pub sum: &'a str,
    pub fence: FencingToken,
}

/// What STATUS tells.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub beat: ServerHeartbeat,
    pub stamp: Stamp,
}

impl Reply {
    pub fn read(v: Value) -> Option<Reply> {
        serde_json::from_value(v).ok()
    }
    /// The success stamped by the very server that was asked; anything else is no success (§1 N4).
    pub fn good(&self, server: &str) -> Option<Success> {
        let rows = self.rows.as_ref().filter(|_| self.error.is_none() && self.stamp.server == server)?;
        Some(Success::Committed { rows: rows.clone(), stamp: self.stamp.clone() })
    }
    pub fn status(self) -> Option<Status> {
        let stamp = self.stamp;
        self.beat.map(|beat| Status { beat, stamp })
    }
    pub fn has_error_code(&self, code: &str) -> bool {
        self.error.as_ref().is_some_and(|e| e.code == code)
    }
}

impl Status {
    pub fn leaving(&self) -> bool {
        self.beat.state == ServerState::Draining
    }
    pub fn log_end(&self) -> Position {
        self.beat.log_end
    }
}
