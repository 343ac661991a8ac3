//! What all request paths of a node share.
use crate::retry_budget::RetryBudget;
use crate::routing::registry::Registry;
use crate::session::replicas::SessionReplicas;
use crate::session::sessions::Sessions;
use crate::tenants::QuotaGate;
use quincehatch_config::settings::NodeSettings;
use quincehatch_runtime::seam::Spawner;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The first request number is drawn below this, so that two runs of a node hardly ever give the same one.
const FIRST_REQUEST_ID_BOUND: u64 = 1 << 40;

/// What the request paths of a node need.
pub struct Services {
    /// The node's settings.
    pub settings: Arc<NodeSettings>,
    /// Servers, configuration and primaries.
    pub registry: Arc<Registry>,
    /// The sessions in use here.
    pub sessions: Arc<Sessions>,
    /// Where session states are kept besides.
    pub session_replicas: Box<dyn SessionReplicas>,
    /// Runs tasks that outlive a request.
    pub spawner: Spawner,
    /// Bounds retries at other servers.
    pub retry_budget: Arc<RetryBudget>,
    /// What tenants may run here.
    pub quota: Arc<QuotaGate>,
    next_request_id: AtomicU64,
}

impl Services {
    /// The services of a node that knows nothing yet.
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

    /// The number of the next request or attempt.
    pub fn next_request_id(&self) -> u64 {
        self.next_request_id.fetch_add(1, Ordering::Relaxed)
    }
}
