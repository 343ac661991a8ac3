//! The state that all planes of a node share.
use crate::gossip::GossipDriver;
use crate::promotion::PromotionState;
use crate::sessions::GossipSessionReplicas;
use crate::store_client::StoreClient;
use quincehatch_config::settings::NodeSettings;
use quincehatch_proxy::Proxy;
use quincehatch_proxy::ports::ServerPorts;
use quincehatch_runtime::seam::Spawner;
use quincehatch_store::FeedState;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// A node with its planes.
pub struct Node {
    /// Serves clients.
    pub proxy: Arc<Proxy>,
    /// Keeps track of the other nodes and asks them questions.
    pub gossip: Arc<GossipDriver>,
    /// Talks to the keepers of the replicated store.
    pub store_client: StoreClient,
    /// What of the store has been applied here.
    pub feed_state: Mutex<FeedState>,
    /// What the promotion duty keeps.
    pub promotion_state: PromotionState,
    /// The number of the store entry that enrolled this process for leases; 0 before that.
    pub enrollment: AtomicU64,
    /// The node has left the cluster in order.
    pub has_left: AtomicBool,
    /// How direct servers are reached. None: servers are pooled and reached over their HTTP contract.
    pub ports: Option<ServerPorts>,
}

impl Node {
    /// A node with pooled servers.
    pub fn new(settings: &NodeSettings) -> Arc<Self> {
        Self::with_ports(settings, None)
    }

    /// A node with direct servers, if there are ports to them.
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
            ports,
        })
    }

    /// Begins the orderly end of this node: it takes no new work from here on, and tells the others that it leaves. They
    /// own its singleton duties at once: it fulfils none any more, and may wait seconds for what is under way.
    pub fn begin_stop(&self) {
        self.proxy.registry.stopping.store(true, Ordering::SeqCst);
        self.gossip.send_leave();
    }

    /// Whether servers are direct: reached over their own protocol, with synchronous replicas.
    pub fn has_direct_servers(&self) -> bool {
        self.ports.is_some()
    }
}
