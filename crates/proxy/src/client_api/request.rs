//! A client's request and the state of its execution.
pub use crate::client_api::body::{RequestBody, parse_body};
use crate::client_api::reply::result_json;
pub use crate::client_api::reply::{ExecutionSite, RequestResult, Success, error_json};
use crate::routing::cluster_state::ClusterState;
use crate::routing::server_entry::ServerEntry;
use crate::session::sessions::Session;
use crate::session::state::SessionState;
use crate::tenants::ClientKey;
use quincehatch_config::configuration::{Configuration, Route};
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use quincehatch_runtime::now;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use tokio::sync::OwnedMutexGuard;

/// The number of steps of one request that are retained for `quincehatchctl explain`.
const MAX_STEPS: usize = 32;
/// The HTTP status of every success.
const STATUS_OK: u16 = 200;

/// The operation of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Opens a session.
    Open,
    /// Adds a setting to a session.
    Set,
    /// Adds a prepared statement to a session.
    Prepare,
    /// Closes a session.
    Close,
    /// Runs a write that is a transaction of its own.
    Order,
    /// Runs a read outside a transaction.
    Lookup,
    /// Begins a transaction.
    Begin,
    /// Runs a statement of a transaction.
    Run,
    /// Commits a transaction.
    Commit,
    /// Rolls back a transaction.
    Rollback,
    /// Queries the outcome of a write.
    Outcome,
}

impl Operation {
    /// Returns the operation of an HTTP path.
    pub fn from_path(path: &str) -> Option<Operation> {
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

    /// Whether the request must belong to a session.
    pub fn needs_session(self) -> bool {
        use Operation::{Begin, Close, Commit, Prepare, Rollback, Run, Set};
        matches!(self, Set | Prepare | Close | Begin | Run | Commit | Rollback)
    }
}

/// A request and the state of its execution.
pub struct ClientRequest {
    /// The number of the request at this node.
    pub id: u64,
    /// The operation that is requested.
    pub operation: Operation,
    /// The body that the client sent.
    pub body: RequestBody,
    /// The client key of the request.
    pub key: ClientKey,
    /// When the request was received.
    pub started_at: Millis,
    /// When the request must be answered.
    pub deadline: Millis,
    /// The route of the request, once it is chosen.
    pub route: Option<Route>,
    /// The configuration and primaries when the request was received.
    pub cluster_state: Arc<ClusterState>,
    /// The session of the request, locked for this request alone.
    pub session: Option<OwnedMutexGuard<Session>>,
    /// The server group that the request is sent to.
    pub group: Name,
    /// Where the request was executed.
    pub site: ExecutionSite,
    /// The steps of the request, for `quincehatchctl explain`.
    pub steps: Vec<String>,
}

impl ClientRequest {
    /// Returns the tenant of the request on this route, as its client key authenticates it.
    ///
    /// `Unauthenticated` if the route requires a key and the request's key belongs to no tenant.
    pub fn tenant(&self, route: &Route) -> Result<Option<Name>, Error> {
        self.cluster_state.tenants.authenticate(route, self.key)
    }

    /// Returns the time until the deadline, in milliseconds.
    pub fn time_left(&self) -> Millis {
        self.deadline.saturating_sub(now())
    }

    /// Returns the text of the statement.
    pub fn text(&self) -> &str {
        self.body.text.as_deref().unwrap_or_default()
    }

    /// Returns the digest of a write's content, which must be the same whenever its idempotency key is reused.
    pub fn digest(&self) -> Name {
        content_digest("", self.text(), &self.body.params)
    }

    /// Returns the idempotency key, or an error if the required key is missing.
    pub fn idempotency_key(&self) -> Result<Name, Error> {
        let key = self.body.idempotency_key.clone();
        key.ok_or_else(|| ErrorCode::MissingIdempotencyKey.without_detail())
    }

    /// Returns the configuration that applies to the request.
    pub fn configuration(&self) -> Result<Arc<Configuration>, Error> {
        let configuration = self.cluster_state.configuration.clone();
        configuration.ok_or_else(|| ErrorCode::NoConfiguration.without_detail())
    }

    /// Returns the configuration that applies to the request, and its route.
    pub fn configuration_and_route(&self) -> Result<(Arc<Configuration>, Route), Error> {
        let configuration = self.cluster_state.configuration.clone();
        let both = configuration.zip(self.route.clone());
        both.ok_or_else(|| ErrorCode::NoRoute.without_detail())
    }

    /// Returns the state of the request's session, or an empty state if the request belongs to no session.
    pub fn session_state(&self) -> SessionState {
        self.session.as_ref().map(|session| session.state.clone()).unwrap_or_default()
    }

    /// Records that the request is sent to this server, for the reason `health`.
    pub fn set_site(&mut self, server: &ServerEntry, health: &str) {
        self.site.server = server.name.clone();
        self.site.zone = server.zone();
        self.site.health = health.into();
    }

    /// Adds a step, up to the maximum number.
    pub fn add_step(&mut self, step: impl Into<String>) {
        if self.steps.len() < MAX_STEPS {
            self.steps.push(step.into());
        }
    }

    /// Returns the reply to the client: HTTP status and JSON.
    pub fn reply(&self, result: &RequestResult) -> (u16, Value) {
        let mut reply = result_json(result, self.id);
        if let Some(fields) = reply.as_object_mut() {
            fields.insert("request_id".into(), json!(self.id));
            fields.insert("where".into(), json!(self.site));
            if let Some(session) = &self.session {
                fields.insert("session".into(), json!(session.state.id));
                fields.insert("version".into(), json!(session.state.version));
            }
        }
        let status = result.as_ref().map_or_else(Error::http_status, |_| STATUS_OK);
        (status, reply)
    }
}

/// Returns the digest (SHA-256, in hex) of a write's earlier statements, whose digest is `so_far`, and one more
/// statement. Equal digests mean equal content.
pub fn content_digest(so_far: &str, text: &str, params: &Value) -> Name {
    let mut hasher = Sha256::new();
    for part in [so_far, text, &params.to_string()] {
        // The length prefix makes the boundaries between the parts unambiguous.
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}
