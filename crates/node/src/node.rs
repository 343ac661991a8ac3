//! The state that all subsystems of a node share.
use crate::gossip::GossipDriver;
use crate::promotion::PromotionState;
use crate::sessions::GossipSessionReplicas;
use crate::store_client::StoreClient;
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::Millis;
use quincehatch_proxy::Proxy;
use quincehatch_proxy::ports::ServerPorts;
use quincehatch_runtime::now;
use quincehatch_runtime::seam::Spawner;
use quincehatch_store::FeedState;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// A node: its subsystems and the state they share.
pub struct Node {
    /// Serves clients.
    pub proxy: Arc<Proxy>,
    /// Tracks the cluster's membership and sends queries to other nodes.
    pub gossip: Arc<GossipDriver>,
    /// Calls the keepers, which are the replicas of the store.
    pub store_client: StoreClient,
    /// The state built from the changes of the store's feed that were applied here.
    pub feed_state: Mutex<FeedState>,
    /// The state of the promotion duty.
    pub promotion_state: PromotionState,
    /// The number of the store entry that enrolled this process for leases; 0 while it is not enrolled.
    pub enrollment: AtomicU64,
    /// Whether the node has left the cluster in a graceful shutdown.
    pub has_left: AtomicBool,
    /// When this process started, in milliseconds of its own clock.
    pub started_at: Millis,
    /// The ports to direct servers. `None`: servers are pooled and called over their HTTP contract.
    pub ports: Option<ServerPorts>,
}

impl Node {
    /// Creates a node with pooled servers.
    pub fn new(settings: &NodeSettings) -> Arc<Self> {
        Self::with_ports(settings, None)
    }

    /// Creates a node with direct servers if `ports` is given, else with pooled servers.
    pub fn with_ports(settings: &NodeSettings, ports: Option<ServerPorts>) -> Arc<Self> {
        let gossip = GossipDriver::new(settings);
        let replicas = Box::new(GossipSessionReplicas(gossip.clone()));
        Arc::new(Self {
            proxy: Proxy::new(settings.clone(), replicas, Spawner::current()),
            gossip,
            store_client: StoreClient::new(&settings.name, &settings.keepers),
            feed_state: Mutex::default(),
            promotion_state: PromotionState::default(),
            enrollment: AtomicU64::default(),
            has_left: AtomicBool::default(),
            started_at: now(),
            ports,
        })
    }

    /// Begins a graceful shutdown: the node accepts no new work and notifies its peers that it leaves.
    ///
    /// The peers take over its singleton duties at once, because the node no longer performs them while it waits, for
    /// seconds at most, for requests in flight.
    pub fn begin_shutdown(&self) {
        self.proxy.registry.stopping.store(true, Ordering::SeqCst);
        self.gossip.send_leave();
    }

    /// Whether servers are direct: called over their own protocol, with synchronous replicas.
    pub fn has_direct_servers(&self) -> bool {
        self.ports.is_some()
    }
}
