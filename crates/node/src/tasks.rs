//! The background tasks of a running node.
use crate::node::Node;
use crate::{enrollment_cleanup, feed, peer_service, promotion, sessions, settlement};
use quincehatch_proxy::probe;
use quincehatch_runtime::seam;
use std::sync::Arc;

impl Node {
    /// Starts all background tasks of the node. They run until the process ends.
    pub fn start(self: &Arc<Self>) {
        seam::spawn(peer_service::run_membership(self.clone()));
        seam::spawn(feed::follow(self.clone()));
        seam::spawn(settlement::run_settlements(self.clone()));
        seam::spawn(enrollment_cleanup::run(self.clone()));
        if self.has_direct_servers() {
            seam::spawn(probe::run_health_ticks(self.proxy.registry.clone()));
            seam::spawn(promotion::find_awaited_evidence(self.clone()));
        } else {
            let (registry, spawner) = (self.proxy.registry.clone(), self.proxy.spawner().clone());
            seam::spawn(probe::run_status_probes(registry, spawner));
        }
        seam::spawn(promotion::run_duty(self.clone()));
        seam::spawn(sessions::run_housekeeping(self.proxy.clone()));
    }
}
