//! The proxy of one node: takes clients' requests, counts how they end and remembers the way they took.
use crate::client_api::reply::{ExecutionSite, RequestResult, error_json};
use crate::client_api::request::{ClientRequest, Operation, RequestBody, parse_body};
use crate::pipeline;
use crate::retry_budget::RetryBudget;
use crate::routing::registry::{ClusterState, Registry};
use crate::server_protocol::{Reply, ServerRequest};
use crate::services::Services;
use crate::session::replicas::SessionReplicas;
use crate::session::sessions::Sessions;
use crate::session_filter;
use crate::tenants::{ClientKey, QuotaGate};
use quincehatch_config::configuration::HealthSettings;
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{Error, ErrorCode, Name, Outcome};
use quincehatch_runtime::now;
use quincehatch_runtime::seam::Spawner;
use quincehatch_wire::http::post_once;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The way one request took, kept for `quincehatchctl explain`.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// Number of the request.
    pub id: u64,
    /// What it asked for.
    pub operation: String,
    /// How long it took.
    pub duration_ms: u64,
    /// Code of its error; 0 is a success.
    pub code: u16,
    /// Where it was executed.
    pub site: ExecutionSite,
    /// The steps it took.
    pub steps: Vec<String>,
}

/// Traces kept.
const MAX_TRACES: usize = 4096;

/// How requests ended so far.
#[derive(Debug, Default)]
pub struct OutcomeCounts {
    /// Successes.
    pub committed: AtomicU64,
    /// Errors after which nothing was applied.
    pub not_applied: AtomicU64,
    /// Errors after which something may have been applied.
    pub unknown: AtomicU64,
}

/// The proxy of one node.
pub struct Proxy {
    /// The node's settings.
    pub settings: Arc<NodeSettings>,
    /// Servers, configuration and primaries.
    pub registry: Arc<Registry>,
    /// The sessions in use here.
    pub sessions: Arc<Sessions>,
    /// Bounds retries at other servers.
    pub retry_budget: Arc<RetryBudget>,
    /// What tenants may run here.
    pub quota: Arc<QuotaGate>,
    /// The ways that the last requests took.
    pub traces: Mutex<VecDeque<RequestTrace>>,
    /// How requests ended.
    pub outcome_counts: OutcomeCounts,
    /// Requests that are being executed.
    pub requests_in_flight: AtomicU64,
    services: Arc<Services>,
}

impl Proxy {
    /// A proxy that knows no servers and no configuration yet.
    pub fn new(
        settings: NodeSettings,
        session_replicas: Box<dyn SessionReplicas>,
        spawner: Spawner,
    ) -> Arc<Proxy> {
        let services = Services::new(settings, session_replicas, spawner);
        Arc::new(Proxy {
            settings: services.settings.clone(),
            registry: services.registry.clone(),
            sessions: services.sessions.clone(),
            retry_budget: services.retry_budget.clone(),
            quota: services.quota.clone(),
            traces: Mutex::default(),
            outcome_counts: OutcomeCounts::default(),
            requests_in_flight: AtomicU64::new(0),
            services,
        })
    }

    /// What the request paths share.
    pub fn services(&self) -> &Arc<Services> {
        &self.services
    }

    /// Runs tasks that outlive a request.
    pub fn spawner(&self) -> &Spawner {
        &self.services.spawner
    }

    /// The number of the next request or attempt.
    pub fn next_request_id(&self) -> u64 {
        self.services.next_request_id()
    }

    /// The health settings in force.
    pub fn health_settings(&self) -> HealthSettings {
        self.registry.health_settings()
    }

    /// Sends a request to a server over a connection of its own; `None` if no valid reply came in time.
    pub async fn call_once(&self, addr: &str, request: &ServerRequest, timeout: Duration) -> Option<Reply> {
        let (_, body) = post_once(addr, request.path, &request.body, timeout).await.ok()?;
        Reply::read(body)
    }

    /// Whether the platform may send clients here, and why not (docs/client-api.md).
    pub fn readiness(&self) -> Result<Value, Error> {
        if self.registry.is_stopping() {
            return Err(ErrorCode::Stopping.without_detail());
        }
        if self.registry.draining.load(Ordering::SeqCst) {
            return Err(ErrorCode::NotReady.with_detail("it is drained; its sessions go on"));
        }
        if !self.registry.has_lease() {
            return Err(ErrorCode::NoLease.without_detail());
        }
        let state = self.registry.cluster_state();
        if state.configuration.is_none() {
            return Err(ErrorCode::NoConfiguration.without_detail());
        }
        let servers = self.registry.servers();
        if servers.is_empty() {
            return Err(ErrorCode::NotReady.with_detail("no database server is known yet"));
        }
        // Without primaries reads still go on, so the node is ready and says what it lacks.
        let mut reduced: Vec<Name> = Vec::new();
        for server in servers {
            let group = server.group();
            if !self.has_reachable_primary(&state, &group) && !reduced.contains(&group) {
                reduced.push(group);
            }
        }
        let zone = &self.settings.zone;
        Ok(json!({"ready": true, "reduced": reduced, "version": state.version, "district": zone}))
    }

    fn has_reachable_primary(&self, state: &ClusterState, group: &str) -> bool {
        let primary = state.primary_of(group).and_then(|name| self.registry.server(name));
        primary.is_some_and(|server| server.status.lock().unwrap().failing_since.is_none())
    }

    /// Sessions that are idle give up their place here; their replicas stay.
    pub fn evict_idle_sessions(&self) {
        session_filter::evict_idle_sessions(&self.services);
    }

    /// Takes one request of a client without a key from the listener to its reply: HTTP status and JSON.
    pub async fn handle(&self, path: &str, bytes: &[u8]) -> (u16, Value) {
        self.handle_with_key(path, bytes, ClientKey::NONE).await
    }

    /// The same for a client with a key.
    pub async fn handle_with_key(&self, path: &str, bytes: &[u8], key: ClientKey) -> (u16, Value) {
        let Some(operation) = Operation::from_path(path) else {
            let error = ErrorCode::NoSuchCall.without_detail();
            return (error.http_status(), error_json(&error));
        };
        let parsed = parse_body(bytes);
        let body = parsed.as_ref().map_or_else(|_| RequestBody::default(), Clone::clone);
        let mut request = self.new_request(operation, body, key);
        self.requests_in_flight.fetch_add(1, Ordering::SeqCst);
        let result = match parsed {
            Ok(_) => pipeline::run(&self.services, &mut request).await,
            Err(error) => Err(error),
        };
        let result = result.map_err(|error| match operation {
            // Whoever asks for an outcome learns that nothing was applied only from the seal.
            Operation::Outcome if !error.has_code(ErrorCode::Sealed) => error.with_unknown_outcome(),
            _ => error,
        });
        self.requests_in_flight.fetch_sub(1, Ordering::SeqCst);
        self.count(&result);
        self.keep_trace(&request, &result);
        request.reply(&result)
    }

    fn new_request(&self, operation: Operation, body: RequestBody, key: ClientKey) -> ClientRequest {
        let cluster_state = self.registry.cluster_state();
        let site = ExecutionSite {
            node: self.settings.name.as_str().into(),
            version: cluster_state.version,
            ..Default::default()
        };
        ClientRequest {
            id: self.next_request_id(),
            operation,
            body,
            key,
            started_at: now(),
            deadline: now(),
            route: None,
            cluster_state,
            session: None,
            group: Name::default(),
            site,
            steps: Vec::new(),
        }
    }

    fn count(&self, result: &RequestResult) {
        let counter = match result {
            Ok(_) => &self.outcome_counts.committed,
            Err(error) if error.outcome == Outcome::Unknown => &self.outcome_counts.unknown,
            Err(_) => &self.outcome_counts.not_applied,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn keep_trace(&self, request: &ClientRequest, result: &RequestResult) {
        let trace = RequestTrace {
            id: request.id,
            operation: format!("{:?}", request.operation).to_lowercase(),
            duration_ms: now() - request.started_at,
            code: result.as_ref().err().map_or(0, |error| error.code),
            site: request.site.clone(),
            steps: request.steps.clone(),
        };
        let mut traces = self.traces.lock().unwrap();
        traces.push_back(trace);
        if traces.len() > MAX_TRACES {
            traces.pop_front();
        }
    }
}
