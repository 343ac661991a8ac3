//! What was applied of the feed, published to the proxy's registry.
use super::server_records::publish_server_records;
use crate::node::Node;
use quincehatch_config::configuration::Configuration;
use quincehatch_core::{Name, ServerRecord};
use quincehatch_proxy::registry::ClusterState;
use quincehatch_proxy::tenants::TenantDirectory;
use quincehatch_store::FeedState;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Publishes what was applied. `published_servers`: the records of direct servers as they were last published.
pub(super) fn publish(node: &Node, published_servers: &mut BTreeMap<Name, ServerRecord>) {
    if node.has_direct_servers() {
        publish_server_records(node, published_servers);
    }
    let registry = &node.proxy.registry;
    let state = cluster_state_from(&node.feed_state.lock().unwrap(), &registry.cluster_state());
    let (number, version) = (state.number, state.version);
    if registry.set_cluster_state(state) {
        log::debug!(target: "feed", "change {number} is applied, version {version} is in force");
    }
}

/// The cluster state that was applied. While the configuration stays the same, so does what `previous` derived from it.
pub fn cluster_state_from(applied: &FeedState, previous: &ClusterState) -> ClusterState {
    let (number, version) = (applied.last_change, applied.configuration_version);
    let primaries = applied.primaries.clone();
    if previous.version == version {
        return ClusterState { number, version, primaries, ..previous.clone() };
    }
    let configuration = Configuration::parse_stored(&applied.configuration_json)
        .map_err(|error| log::error!(target: "feed", "version {version} cannot be read: {error}"))
        .ok();
    let route_by_database = configuration.as_ref().map(route_by_database).unwrap_or_default();
    let tenants = configuration.as_ref().map(TenantDirectory::from_configuration).unwrap_or_default();
    let (tenant_count, key_count) =
        (configuration.as_ref().map_or(0, |configuration| configuration.tenants.len()), tenants.key_count());
    log::info!(
        target: "feed",
        "version {version} is in force from change {number} on, with {tenant_count} tenants and {key_count} keys"
    );
    ClusterState {
        number,
        version,
        configuration: configuration.map(Arc::new),
        primaries,
        route_by_database: Arc::new(route_by_database),
        tenants: Arc::new(tenants),
    }
}

/// The index of the route of each database that routes name; of several routes the last.
fn route_by_database(configuration: &Configuration) -> HashMap<Name, usize> {
    let mut routes = HashMap::new();
    for (index, route) in configuration.routes.iter().enumerate() {
        for database in route.when.get("db").into_iter().flatten() {
            routes.insert(Name::from(database.as_str()), index);
        }
    }
    routes
}
