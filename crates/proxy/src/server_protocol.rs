//! The requests and replies of database servers that this project's own contract describes (docs/server.md): JSON over
//! HTTP/1.1. Everything that knows their form is in this module.
use crate::client_api::reply::Success;
use quincehatch_core::{FencingToken, Name, Position, ServerHeartbeat, ServerState, Stamp};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Why a server rejected a request, in its own words.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerError {
    /// One of the contract's codes.
    pub code: Name,
    /// Text for the client; it may hold values that must not be logged.
    pub text: String,
}

/// A server's reply: always its stamp; rows on success; an error otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Who answered, under which fence, at which position.
    pub stamp: Stamp,
    /// The rows of a success.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rows: Option<Value>,
    /// Why it was not done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<ServerError>,
    /// What became of an idempotency key; one of the `OUTCOME_` values.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Name>,
    /// What the server says of itself, on STATUS.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "beat")]
    pub heartbeat: Option<ServerHeartbeat>,
}

/// The idempotency key was used with other content.
pub const KEY_REUSED: &str = "try-reused";
/// The idempotency key was sealed: nothing can be committed under it.
pub const KEY_SEALED: &str = "try-sealed";
/// The request carried a fence lower than the server's.
pub const FENCE_LOW: &str = "fence-low";
/// The server is not its group's primary.
pub const NOT_PRIMARY: &str = "not-primary";
/// The server drains and takes no new work.
pub const DRAINING: &str = "leaving";
/// The server is primary but does not show all of its log yet: the statement was not run.
pub const STARTING: &str = "starting";
/// The commit is in the log but not yet on a second server: neither committed nor not.
pub const IN_DOUBT: &str = "in-doubt";
/// The statement itself failed; its transaction stays open.
pub const STATEMENT_FAILED: &str = "statement";

/// Outcome of an idempotency key: the write was committed.
pub const OUTCOME_COMMITTED: &str = "kept";
/// Outcome of an idempotency key: nothing was committed, and nothing can be any more.
pub const OUTCOME_SEALED: &str = "sealed";
/// Outcome of an idempotency key: nothing was committed so far.
pub const OUTCOME_NOT_COMMITTED: &str = "not-kept";

/// A request to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRequest {
    /// HTTP path.
    pub path: &'static str,
    /// JSON body.
    pub body: Value,
}

impl ServerRequest {
    fn new(path: &'static str, body: Value) -> ServerRequest {
        ServerRequest { path, body }
    }
}

/// A write as the server tells it from others: it is committed at most once under its key.
pub struct IdempotentWrite<'a> {
    /// The client's idempotency key.
    pub key: &'a str,
    /// Digest of the content; the same key must bring the same.
    pub digest: &'a str,
    /// The fence under which the server must be primary.
    pub fence: FencingToken,
}

/// The requests of the contract. Texts of statements are the client's own and are never changed.
pub mod call {
    use super::{FencingToken, IdempotentWrite, ServerRequest, Value, json};

    /// Begins a transaction on the connection.
    pub fn begin(connection: &str, fence: FencingToken) -> ServerRequest {
        ServerRequest::new("/v1/begin", json!({"link": connection, "fence": fence}))
    }

    /// Runs a statement.
    pub fn run(connection: &str, text: &str, params: &Value) -> ServerRequest {
        let is_changed = quincehatch_runtime::seam::injected_bug("changed-text");
        let text = if is_changed { text.trim_end_matches('1') } else { text };
        ServerRequest::new("/v1/run", json!({"link": connection, "text": text, "params": params}))
    }

    /// Runs a statement and commits it under its idempotency key, at once or not at all.
    pub fn write(connection: &str, text: &str, params: &Value, write: &IdempotentWrite<'_>) -> ServerRequest {
        let body = json!({
            "link": connection, "text": text, "params": params,
            "try": write.key, "sum": write.digest, "fence": write.fence,
        });
        ServerRequest::new("/v1/run", body)
    }

    /// Commits the open transaction under an idempotency key.
    pub fn commit(connection: &str, write: &IdempotentWrite<'_>) -> ServerRequest {
        let body = json!({"link": connection, "try": write.key, "sum": write.digest, "fence": write.fence});
        ServerRequest::new("/v1/commit", body)
    }

    /// Rolls the open transaction back.
    pub fn rollback(connection: &str) -> ServerRequest {
        ServerRequest::new("/v1/rollback", json!({"link": connection}))
    }

    /// Runs a setting of the session.
    pub fn set(connection: &str, text: &str) -> ServerRequest {
        ServerRequest::new("/v1/set", json!({"link": connection, "text": text}))
    }

    /// Prepares a statement of the session under its name.
    pub fn prepare(connection: &str, name: &str, text: &str) -> ServerRequest {
        ServerRequest::new("/v1/prepare", json!({"link": connection, "name": name, "text": text}))
    }

    /// Drops the settings and prepared statements of the connection.
    pub fn reset(connection: &str) -> ServerRequest {
        ServerRequest::new("/v1/reset", json!({"link": connection}))
    }

    /// Cancels the statement that runs on another connection.
    pub fn cancel(connection: &str) -> ServerRequest {
        ServerRequest::new("/v1/cancel", json!({"link": connection}))
    }

    /// Asks the server for its heartbeat.
    pub fn status() -> ServerRequest {
        ServerRequest::new("/v1/status", json!({}))
    }

    /// Asks what became of an idempotency key; with `seal` it can be used for nothing after this.
    pub fn outcome(key: &str, seal: bool, fence: FencingToken) -> ServerRequest {
        ServerRequest::new("/v1/outcome", json!({"try": key, "seal": seal, "fence": fence}))
    }

    /// Tells the server of a fence; it takes no writes under a lower one from then on.
    pub fn fence(fence: FencingToken) -> ServerRequest {
        ServerRequest::new("/v1/fence", json!({"fence": fence}))
    }
}

/// What a server says on STATUS.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// What it says of itself.
    pub heartbeat: ServerHeartbeat,
    /// The stamp of the reply.
    pub stamp: Stamp,
}

impl Reply {
    /// Reads a reply; `None` if it is not one of the contract's.
    pub fn read(body: Value) -> Option<Reply> {
        serde_json::from_value(body).ok()
    }

    /// The success with the stamp of the very server that was asked; anything else is no success.
    pub fn success_of(&self, server: &str) -> Option<Success> {
        if self.error.is_some() || self.stamp.server != server {
            return None;
        }
        let rows = self.rows.clone()?;
        Some(Success::Committed { rows, stamp: self.stamp.clone() })
    }

    /// What a reply to STATUS says.
    pub fn status(self) -> Option<Status> {
        let stamp = self.stamp;
        self.heartbeat.map(|heartbeat| Status { heartbeat, stamp })
    }

    /// Whether the server rejected the request with this code.
    pub fn has_error_code(&self, code: &str) -> bool {
        self.error.as_ref().is_some_and(|error| error.code == code)
    }
}

impl Status {
    /// Whether the server says that it drains.
    pub fn is_draining(&self) -> bool {
        self.heartbeat.state == ServerState::Draining
    }

    /// The end of the server's log.
    pub fn log_end(&self) -> Position {
        self.heartbeat.log_end
    }
}
