//! The servers of a pooled group.
use crate::node::Node;
use quincehatch_core::Name;
use quincehatch_proxy::registry::ServerEntry;
use std::sync::Arc;

/// Returns the group's servers in the registry.
pub(super) fn servers_of(node: &Node, group: &Name) -> Vec<Arc<ServerEntry>> {
    node.proxy.registry.servers().into_iter().filter(|server| server.group() == *group).collect()
}
