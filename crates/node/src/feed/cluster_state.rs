//! Publishes the applied state of the feed to the proxy's registry.
use super::server_records::publish_server_records;
use crate::node::Node;
use quincehatch_config::configuration::Configuration;
use quincehatch_core::{FencingToken, Name, ServerRecord};
use quincehatch_proxy::registry::ClusterState;
use quincehatch_proxy::tenants::TenantDirectory;
use quincehatch_store::FeedState;
use quincehatch_store::store::promotion_role_key;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Publishes the applied state. `published_servers` holds the records of direct servers as last published.
pub(super) fn publish(node: &Node, published_servers: &mut BTreeMap<Name, ServerRecord>) {
    if node.has_direct_servers() {
        publish_server_records(node, published_servers);
    }
    let registry = &node.proxy.registry;
    let state = cluster_state_from(&node.feed_state.lock().unwrap(), &registry.cluster_state());
    let (number, version) = (state.number, state.version);
    if registry.set_cluster_state(state) {
        log::debug!(target: "feed", "applied change {number}; configuration version {version} is in force");
    }
}

/// Returns the cluster state for the applied feed state. Reuses what `previous` derived from the configuration while
/// the configuration's version is the same.
pub fn cluster_state_from(applied: &FeedState, previous: &ClusterState) -> ClusterState {
    let (number, version) = (applied.last_change, applied.configuration_version);
    let primaries = applied.primaries.clone();
    let pending_promotions = pending_promotions(applied);
    if previous.version == version {
        return ClusterState { number, version, primaries, pending_promotions, ..previous.clone() };
    }
    let configuration = Configuration::parse_stored(&applied.configuration_json)
        .map_err(|error| log::error!(target: "feed", "cannot parse configuration version {version}: {error}"))
        .ok();
    let route_by_database = configuration.as_ref().map(route_by_database).unwrap_or_default();
    let tenants = configuration.as_ref().map(TenantDirectory::from_configuration).unwrap_or_default();
    let (tenant_count, key_count) =
        (configuration.as_ref().map_or(0, |configuration| configuration.tenants.len()), tenants.key_count());
    log::info!(
        target: "feed",
        "applied configuration version {version} (change {number}): {tenant_count} tenants, {key_count} keys"
    );
    ClusterState {
        number,
        version,
        configuration: configuration.map(Arc::new),
        primaries,
        pending_promotions,
        route_by_database: Arc::new(route_by_database),
        tenants: Arc::new(tenants),
    }
}

/// Returns the newest token of each group whose assignment has an older one.
fn pending_promotions(applied: &FeedState) -> BTreeMap<Name, FencingToken> {
    let newest = |group: &Name| applied.fence(&promotion_role_key(group));
    let pending = applied.primaries.iter().filter(|(group, primary)| newest(group) > primary.fence);
    pending.map(|(group, _)| (group.clone(), newest(group))).collect()
}

/// Maps each database that a route names to the index of that route; the last route wins if several name it.
fn route_by_database(configuration: &Configuration) -> HashMap<Name, usize> {
    let mut routes = HashMap::new();
    for (index, route) in configuration.routes.iter().enumerate() {
        for database in route.when.get("db").into_iter().flatten() {
            routes.insert(Name::from(database.as_str()), index);
        }
    }
    routes
}
