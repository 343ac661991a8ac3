//! The proxy of one node: handles clients' requests, counts their outcomes and records their traces.
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

/// The trace of one request, for `quincehatchctl explain`.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// The number of the request.
    pub id: u64,
    /// The requested operation.
    pub operation: String,
    /// The duration of the request.
    pub duration_ms: u64,
    /// The error code; 0 for a success.
    pub code: u16,
    /// Where the request was executed.
    pub site: ExecutionSite,
    /// The steps of the request.
    pub steps: Vec<String>,
}

/// The number of traces that are retained.
const MAX_TRACES: usize = 4096;

/// Counts of requests by outcome.
#[derive(Debug, Default)]
pub struct OutcomeCounts {
    /// The number of successes.
    pub committed: AtomicU64,
    /// The number of errors after which nothing was applied.
    pub not_applied: AtomicU64,
    /// The number of errors after which a write may have been applied.
    pub unknown: AtomicU64,
}

/// The proxy of one node.
pub struct Proxy {
    /// The node's settings.
    pub settings: Arc<NodeSettings>,
    /// Servers, configuration and primaries.
    pub registry: Arc<Registry>,
    /// The sessions in use at this node.
    pub sessions: Arc<Sessions>,
    /// Limits retries at other servers.
    pub retry_budget: Arc<RetryBudget>,
    /// Admits requests against the rate limits of tenants.
    pub quota: Arc<QuotaGate>,
    /// The traces of the last requests.
    pub traces: Mutex<VecDeque<RequestTrace>>,
    /// The counts of requests by outcome.
    pub outcome_counts: OutcomeCounts,
    /// The number of requests in flight.
    pub requests_in_flight: AtomicU64,
    services: Arc<Services>,
}

impl Proxy {
    /// Creates a proxy without servers and configuration.
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

    /// Returns the services that the request paths share.
    pub fn services(&self) -> &Arc<Services> {
        &self.services
    }

    /// Returns the spawner for tasks that outlive a request.
    pub fn spawner(&self) -> &Spawner {
        &self.services.spawner
    }

    /// Returns a new number for a request or an attempt.
    pub fn next_request_id(&self) -> u64 {
        self.services.next_request_id()
    }

    /// Returns the health settings in force.
    pub fn health_settings(&self) -> HealthSettings {
        self.registry.health_settings()
    }

    /// Sends a request to a server over a new connection. Returns `None` if no valid reply arrived in time.
    pub async fn call_once(&self, addr: &str, request: &ServerRequest, timeout: Duration) -> Option<Reply> {
        let (_, body) = post_once(addr, request.path, &request.body, timeout).await.ok()?;
        Reply::read(body)
    }

    /// Returns the readiness report if the platform may send clients to this node, and otherwise the reason why not
    /// (docs/client-api.md).
    pub fn readiness(&self) -> Result<Value, Error> {
        if self.registry.is_stopping() {
            return Err(ErrorCode::Stopping.without_detail());
        }
        if self.registry.draining.load(Ordering::SeqCst) {
            return Err(ErrorCode::NotReady.with_detail("the node is drained; its sessions continue"));
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
        // Without primaries reads still work, so the node is ready and lists the groups without a reachable primary.
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

    /// Evicts idle sessions from this node. Their replicas remain.
    pub fn evict_idle_sessions(&self) {
        session_filter::evict_idle_sessions(&self.services);
    }

    /// Handles one request of a client without a key, and returns the HTTP status and JSON of the reply.
    pub async fn handle(&self, path: &str, bytes: &[u8]) -> (u16, Value) {
        self.handle_with_key(path, bytes, ClientKey::NONE).await
    }

    /// Handles one request of a client with a key, and returns the HTTP status and JSON of the reply.
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
            // Only a sealed key proves that nothing was applied, so any other error of an outcome query leaves the
            // outcome unknown.
            Operation::Outcome if !error.has_code(ErrorCode::Sealed) => error.with_unknown_outcome(),
            _ => error,
        });
        self.requests_in_flight.fetch_sub(1, Ordering::SeqCst);
        self.count_outcome(&result);
        self.record_trace(&request, &result);
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

    fn count_outcome(&self, result: &RequestResult) {
        let counter = match result {
            Ok(_) => &self.outcome_counts.committed,
            Err(error) if error.outcome == Outcome::Unknown => &self.outcome_counts.unknown,
            Err(_) => &self.outcome_counts.not_applied,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn record_trace(&self, request: &ClientRequest, result: &RequestResult) {
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
