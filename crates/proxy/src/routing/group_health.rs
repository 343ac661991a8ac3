//! Whether a group has a healthy replica for its reads.
use crate::health::readmission::GroupHealth;
use crate::routing::registry::Registry;
use crate::routing::server_entry::ServerEntry;

impl Registry {
    /// Returns whether this node sends requests to at least one replica of the group.
    pub fn group_health(&self, group: &str) -> GroupHealth {
        let primary = self.primary(group).and_then(|assignment| assignment.server);
        let is_replica =
            |server: &ServerEntry| server.group() == group && Some(&server.name) != primary.as_ref();
        let is_serving = |server: &ServerEntry| {
            let is_answering = server.status.lock().unwrap().failing_since.is_none();
            is_answering && !server.is_draining() && server.health.lock().unwrap().is_healthy()
        };
        if self.servers().iter().any(|server| is_replica(server) && is_serving(server)) {
            GroupHealth::SomeHealthy
        } else {
            GroupHealth::NoneHealthy
        }
    }
}
