//! The requests and replies of the HTTP contract for database servers (docs/server.md): JSON over HTTP/1.1. All code
//! that depends on their format is in this module.
use crate::client_api::reply::Success;
use quincehatch_core::{FencingToken, Name, Position, ServerHeartbeat, ServerState, Stamp};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The error with which a server rejected a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerError {
    /// One of the contract's codes.
    pub code: Name,
    /// The text for the client. It may contain values that must not be logged.
    pub text: String,
}

/// A server's reply: its stamp, and the rows of a success or the error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The server that answered, with its fence and its position.
    pub stamp: Stamp,
    /// The rows of a success.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rows: Option<Value>,
    /// Why the request was rejected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<ServerError>,
    /// The outcome of an idempotency key: one of the `OUTCOME_` values.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Name>,
    /// The server's heartbeat, in replies to STATUS.
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
/// The server is draining and accepts no new work.
pub const DRAINING: &str = "leaving";
/// The server is primary but does not show its complete log yet. The statement was not run.
pub const STARTING: &str = "starting";
/// The commit is in the log but not yet on a second server, so its outcome is undecided.
pub const IN_DOUBT: &str = "in-doubt";
/// The statement itself failed; its transaction stays open.
pub const STATEMENT_FAILED: &str = "statement";

/// Outcome of an idempotency key: the write was committed.
pub const OUTCOME_COMMITTED: &str = "kept";
/// Outcome of an idempotency key: nothing was committed, and the key is sealed.
pub const OUTCOME_SEALED: &str = "sealed";
/// Outcome of an idempotency key: nothing has been committed so far.
pub const OUTCOME_NOT_COMMITTED: &str = "not-kept";

/// A request to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRequest {
    /// The HTTP path.
    pub path: &'static str,
    /// The JSON body.
    pub body: Value,
}

impl ServerRequest {
    fn new(path: &'static str, body: Value) -> ServerRequest {
        ServerRequest { path, body }
    }
}

/// The identity of a write, which is committed at most once under its idempotency key.
pub struct IdempotentWrite<'a> {
    /// The client's idempotency key.
    pub key: &'a str,
    /// The digest of the content, which must be the same whenever the key is reused.
    pub digest: &'a str,
    /// The fence under which the server must be primary.
    pub fence: FencingToken,
}

/// The requests of the contract. The texts of statements are the client's own and are never changed.
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

    /// Runs a statement and commits it under its idempotency key, atomically.
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

    /// Rolls back the open transaction.
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

    /// Requests the server's heartbeat.
    pub fn status() -> ServerRequest {
        ServerRequest::new("/v1/status", json!({}))
    }

    /// Queries the outcome of an idempotency key. With `seal`, nothing can be committed under the key from then on.
    pub fn outcome(key: &str, seal: bool, fence: FencingToken) -> ServerRequest {
        ServerRequest::new("/v1/outcome", json!({"try": key, "seal": seal, "fence": fence}))
    }

    /// Sends a fence to the server, which then rejects writes under a lower one.
    pub fn fence(fence: FencingToken) -> ServerRequest {
        ServerRequest::new("/v1/fence", json!({"fence": fence}))
    }
}

/// The contents of a reply to STATUS.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The server's heartbeat.
    pub heartbeat: ServerHeartbeat,
    /// The stamp of the reply.
    pub stamp: Stamp,
}

impl Reply {
    /// Parses a reply. Returns `None` if it does not match the contract.
    pub fn read(body: Value) -> Option<Reply> {
        serde_json::from_value(body).ok()
    }

    /// Returns the success if the reply has rows and the stamp of `server`, to which the request was sent.
    pub fn success_of(&self, server: &str) -> Option<Success> {
        if self.error.is_some() || self.stamp.server != server {
            return None;
        }
        let rows = self.rows.clone()?;
        Some(Success::Committed { rows, stamp: self.stamp.clone() })
    }

    /// Returns the contents of a reply to STATUS.
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
    /// Whether the server reports that it is draining.
    pub fn is_draining(&self) -> bool {
        self.heartbeat.state == ServerState::Draining
    }

    /// Returns the end of the server's log.
    pub fn log_end(&self) -> Position {
        self.heartbeat.log_end
    }
}
