//! The services that all request paths of a node share.
use crate::retry_budget::RetryBudget;
use crate::routing::registry::Registry;
use crate::session::replicas::SessionReplicas;
use crate::session::sessions::Sessions;
use crate::tenants::QuotaGate;
use quincehatch_config::settings::NodeSettings;
use quincehatch_runtime::seam::Spawner;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The bound of the random first request number, so that two runs of a node are unlikely to use the same numbers.
const FIRST_REQUEST_ID_BOUND: u64 = 1 << 40;

/// The services that the request paths of a node need.
pub struct Services {
    /// The node's settings.
    pub settings: Arc<NodeSettings>,
    /// Servers, configuration and primaries.
    pub registry: Arc<Registry>,
    /// The sessions in use at this node.
    pub sessions: Arc<Sessions>,
    /// The replicas of session states.
    pub session_replicas: Box<dyn SessionReplicas>,
    /// Runs tasks that outlive a request.
    pub spawner: Spawner,
    /// Limits retries at other servers.
    pub retry_budget: Arc<RetryBudget>,
    /// Admits requests against the rate limits of tenants.
    pub quota: Arc<QuotaGate>,
    next_request_id: AtomicU64,
}

impl Services {
    /// Creates the services of a node without servers and configuration.
    pub fn new(
        settings: NodeSettings,
        session_replicas: Box<dyn SessionReplicas>,
        spawner: Spawner,
    ) -> Arc<Services> {
        Arc::new(Services {
            settings: Arc::new(settings),
            registry: Arc::default(),
            sessions: Arc::default(),
            session_replicas,
            spawner,
            retry_budget: Arc::default(),
            quota: Arc::default(),
            next_request_id: AtomicU64::new(fastrand::u64(1..FIRST_REQUEST_ID_BOUND)),
        })
    }

    /// Returns a new number for a request or an attempt.
    pub fn next_request_id(&self) -> u64 {
        self.next_request_id.fetch_add(1, Ordering::Relaxed)
    }
}
