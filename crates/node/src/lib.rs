//! A node put together (§2, §4, §6): what the planes do, driven over whatever runs it (§5.8).
pub mod acknowledged;
pub mod commit_lists;
pub mod copies;
pub mod duties;
pub mod duty_state;
pub mod feed;
mod fencing;
pub mod gossip;
mod group;
pub mod handover;
pub mod held_duty;
pub mod held_promotion;
pub mod held_watch;
pub mod lease_roll;
pub mod operator_api;
pub mod ops;
pub mod promoting;
pub mod report;
pub mod server_queries;
pub mod store_client;

use quincehatch_config::settings::NodeSettings;
use quincehatch_proxy::Proxy;
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

/// The node with its planes.
pub struct ClusterNode {
    pub proxy: Arc<Proxy>,
    pub gossip: Arc<gossip::GossipDriver>,
    pub store_client: store_client::StoreClient,
    pub feed_state: std::sync::Mutex<quincehatch_store::FeedState>,
    pub promotion_state: duties::PromotionState,
    /// The entry that enrolled this process (§5.6), and whether it has left in order.
    pub enrollment: std::sync::atomic::AtomicU64,
    pub has_left: std::sync::atomic::AtomicBool,
    /// Where servers are met over held links (§3.6); none: over their own HTTP contract (§3.1).
    pub ports: Option<quincehatch_proxy::ports::ServerPorts>,
}

impl ClusterNode {
    pub fn new(set: &NodeSettings) -> Arc<ClusterNode> {
        ClusterNode::with_ports(set, None)
    }
    pub fn with_ports(
        set: &NodeSettings,
        ports: Option<quincehatch_proxy::ports::ServerPorts>,
    ) -> Arc<ClusterNode> {
        let mesh = gossip::GossipDriver::new(set);
        let copies = Box::new(copies::MeshCopies(mesh.clone()));
        Arc::new(ClusterNode {
            proxy: Proxy::new(set.clone(), copies, seam::Spawner::current()),
            gossip: mesh,
            store_client: store_client::StoreClient::new(&set.name, &set.keepers),
            feed_state: Default::default(),
            promotion_state: Default::default(),
            enrollment: Default::default(),
            has_left: Default::default(),
            ports,
        })
    }
    /// Sets all its loops going.
    pub fn start(self: &Arc<Self>) {
        let f = self.clone();
        seam::spawn(gossip::run(f.clone()));
        seam::spawn(feed::run(f.clone()));
        seam::spawn(lease_roll::run(f.clone()));
        match f.ports {
            None => seam::spawn(quincehatch_proxy::probe::run_status_probes(
                f.proxy.registry.clone(),
                f.proxy.spawner().clone(),
            )),
            Some(_) => seam::spawn(quincehatch_proxy::probe::run_health_ticks(f.proxy.registry.clone())),
        };
        seam::spawn(duties::run(f.clone()));
        seam::spawn(sweep(f.proxy.clone()));
    }
}

pub fn open_transactions(n: &Proxy) -> usize {
    n.sessions.all().iter().filter(|s| s.try_lock().map_or(true, |s| s.transaction.is_some())).count()
}

/// Housekeeping of sessions and transactions.
async fn sweep(n: Arc<Proxy>) {
    loop {
        seam::sleep(Duration::from_millis(250)).await;
        let idle = n.registry.cluster_state().configuration.as_ref().map_or(10_000, |b| b.queue.txn_idle_ms);
        quincehatch_proxy::transaction::expire_transactions(&n.registry, &n.sessions, idle);
        n.evict_idle_sessions();
    }
}
