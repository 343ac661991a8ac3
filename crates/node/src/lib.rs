//! A node put together (§2, §4, §6): what the planes do, driven over whatever runs it (§5.8).
pub mod acknowledged;
pub mod chain_client;
pub mod commit_lists;
pub mod copies;
pub mod duties;
pub mod duty_state;
pub mod feed;
mod fencing;
mod group;
pub mod handover;
pub mod held_duty;
pub mod held_promotion;
pub mod held_watch;
pub mod lease_roll;
pub mod mesh_driver;
pub mod operator_api;
pub mod ops;
pub mod promoting;
pub mod report;
pub mod server_queries;

use quincehatch_config::settings::NodeSettings;
use quincehatch_proxy::Proxy;
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

/// The node with its planes.
pub struct Fleet {
    pub node: Arc<Proxy>,
    pub mesh: Arc<mesh_driver::Net>,
    pub chain: chain_client::Chain,
    pub known: std::sync::Mutex<quincehatch_store::FeedState>,
    pub duty: duties::Asked,
    /// The entry that enrolled this process (§5.6), and whether it has left in order.
    pub enrolled: std::sync::atomic::AtomicU64,
    pub left: std::sync::atomic::AtomicBool,
    /// Where servers are met over held links (§3.6); none: over their own HTTP contract (§3.1).
    pub ports: Option<quincehatch_proxy::ports::ServerPorts>,
}

impl Fleet {
    pub fn new(set: &NodeSettings) -> Arc<Fleet> {
        Fleet::with(set, None)
    }
    pub fn with(set: &NodeSettings, ports: Option<quincehatch_proxy::ports::ServerPorts>) -> Arc<Fleet> {
        let mesh = mesh_driver::Net::new(set);
        let copies = Box::new(copies::MeshCopies(mesh.clone()));
        Arc::new(Fleet {
            node: Proxy::new(set.clone(), copies, seam::Spawner::current()),
            mesh,
            chain: chain_client::Chain::new(&set.name, &set.keepers),
            known: Default::default(),
            duty: Default::default(),
            enrolled: Default::default(),
            left: Default::default(),
            ports,
        })
    }
    /// Sets all its loops going.
    pub fn go(self: &Arc<Self>) {
        let f = self.clone();
        seam::spawn(mesh_driver::run(f.clone()));
        seam::spawn(feed::run(f.clone()));
        seam::spawn(lease_roll::run(f.clone()));
        match f.ports {
            None => seam::spawn(quincehatch_proxy::probe::run_status_probes(f.node.clone())),
            Some(_) => seam::spawn(quincehatch_proxy::probe::run_health_ticks(f.node.clone())),
        };
        seam::spawn(duties::run(f.clone()));
        seam::spawn(sweep(f.node.clone()));
    }
}

pub fn open_txns(n: &Proxy) -> usize {
    n.sessions.all().iter().filter(|s| s.try_lock().map_or(true, |s| s.transaction.is_some())).count()
}

/// Housekeeping of sessions and transactions.
async fn sweep(n: Arc<Proxy>) {
    loop {
        seam::sleep(Duration::from_millis(250)).await;
        let idle = n.registry.cluster_state().configuration.as_ref().map_or(10_000, |b| b.queue.txn_idle_ms);
        quincehatch_proxy::transaction::expire_transactions(&n, idle);
        n.evict_idle_sessions();
    }
}
