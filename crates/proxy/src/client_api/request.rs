//! A client's request on its way through the proxy.
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

/// Steps of one request that are kept for `quincehatchctl explain`.
const MAX_STEPS: usize = 32;
/// HTTP status of every success.
const STATUS_OK: u16 = 200;

/// What a request asks for.
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
    /// A write that is a transaction of its own.
    Order,
    /// A read outside a transaction.
    Lookup,
    /// Begins a transaction.
    Begin,
    /// A statement of a transaction.
    Run,
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
    /// Asks what became of a write.
    Outcome,
}

impl Operation {
    /// The operation of an HTTP path.
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

/// A request and what has been found out for it so far.
pub struct ClientRequest {
    /// Its number at this node.
    pub id: u64,
    /// What it asks for.
    pub operation: Operation,
    /// What the client sent.
    pub body: RequestBody,
    /// The key that it came with.
    pub key: ClientKey,
    /// When it came.
    pub started_at: Millis,
    /// When it must be answered.
    pub deadline: Millis,
    /// The route it takes.
    pub route: Option<Route>,
    /// Configuration and primaries as known when it came.
    pub cluster_state: Arc<ClusterState>,
    /// Its session, locked for this request alone.
    pub session: Option<OwnedMutexGuard<Session>>,
    /// The server group it goes to.
    pub group: Name,
    /// Where it was executed.
    pub site: ExecutionSite,
    /// The steps it took, for `quincehatchctl explain`.
    pub steps: Vec<String>,
}

impl ClientRequest {
    /// For whom it takes the route, by its key.
    ///
    /// # Errors
    /// `Unauthenticated` where the route needs a key and this one is no tenant's.
    pub fn tenant(&self, route: &Route) -> Result<Option<Name>, Error> {
        self.cluster_state.tenants.authenticate(route, self.key)
    }

    /// Time until the deadline, in milliseconds.
    pub fn time_left(&self) -> Millis {
        self.deadline.saturating_sub(now())
    }

    /// The statement.
    pub fn text(&self) -> &str {
        self.body.text.as_deref().unwrap_or_default()
    }

    /// Digest of a write's content: an idempotency key that is used again must bring the same.
    pub fn digest(&self) -> Name {
        content_digest("", self.text(), &self.body.params)
    }

    /// The idempotency key, which the operation cannot do without.
    pub fn idempotency_key(&self) -> Result<Name, Error> {
        let key = self.body.idempotency_key.clone();
        key.ok_or_else(|| ErrorCode::MissingIdempotencyKey.without_detail())
    }

    /// The configuration it runs under.
    pub fn configuration(&self) -> Result<Arc<Configuration>, Error> {
        let configuration = self.cluster_state.configuration.clone();
        configuration.ok_or_else(|| ErrorCode::NoConfiguration.without_detail())
    }

    /// The configuration it runs under, and its route.
    pub fn configuration_and_route(&self) -> Result<(Arc<Configuration>, Route), Error> {
        let configuration = self.cluster_state.configuration.clone();
        let both = configuration.zip(self.route.clone());
        both.ok_or_else(|| ErrorCode::NoRoute.without_detail())
    }

    /// The state of its session; that of a new one if it belongs to none.
    pub fn session_state(&self) -> SessionState {
        self.session.as_ref().map(|session| session.state.clone()).unwrap_or_default()
    }

    /// It goes to this server, for the reason that `health` names.
    pub fn set_site(&mut self, server: &ServerEntry, health: &str) {
        self.site.server = server.name.clone();
        self.site.zone = server.zone();
        self.site.health = health.into();
    }

    /// Takes note of a step.
    pub fn note(&mut self, step: impl Into<String>) {
        if self.steps.len() < MAX_STEPS {
            self.steps.push(step.into());
        }
    }

    /// The reply to the client: HTTP status and JSON.
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

/// Adds a statement to a digest of what a write does (SHA-256, in hex): equal only for equal content.
pub fn content_digest(so_far: &str, text: &str, params: &Value) -> Name {
    let mut hasher = Sha256::new();
    for part in [so_far, text, &params.to_string()] {
        // The length keeps the parts apart.
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}
