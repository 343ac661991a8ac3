//! The servers that may hold a group's acknowledged commits.
use crate::node::Node;
use quincehatch_core::{Millis, Name, PrimaryAssignment};
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::now;
use std::sync::Arc;

use super::super::plan::old_primary;

/// A server that takes the address of a departed server registers within this time.
const ADDRESS_REUSE_WINDOW: Millis = 60_000;

/// Returns the group's servers that are registered in the store.
pub(super) fn known_servers(node: &Node, group: &Name) -> Vec<Arc<ServerEntry>> {
    let names: Vec<Name> = {
        let state = node.feed_state.lock().unwrap();
        let records = state.servers.values().filter(|record| record.group == *group);
        records.map(|record| record.server.clone()).collect()
    };
    names.iter().filter_map(|name| node.proxy.registry.server(name)).collect()
}

/// Returns the servers that departed recently and at whose address no other server is registered yet. Their log may
/// belong to a new server that already runs at that address: it receives commits, and its acknowledgements count,
/// before it is registered in the store.
///
/// A voter that this node has never heard of departed before the node started. The node does not know how long ago that
/// was, so it counts from its own start.
pub(super) fn departed_servers(
    node: &Node,
    group: &Name,
    servers: &[Arc<ServerEntry>],
    primary: Option<&PrimaryAssignment>,
) -> Vec<Name> {
    let in_group: Vec<_> =
        node.proxy.registry.servers().into_iter().filter(|server| server.group() == *group).collect();
    let departed = in_group
        .iter()
        .filter(|server| departed_recently(server) && !is_replaced(server, servers, &in_group));
    let started_recently = now() < node.started_at + ADDRESS_REUSE_WINDOW;
    let voters = primary.map_or(&[][..], |assignment| &assignment.voters);
    let unknown =
        voters.iter().filter(|voter| started_recently && node.proxy.registry.server(voter).is_none());
    departed.map(|server| server.name.clone()).chain(unknown.cloned()).collect()
}

fn departed_recently(server: &ServerEntry) -> bool {
    let draining_since = server.status.lock().unwrap().draining_since;
    draining_since.is_some_and(|since| now() < since + ADDRESS_REUSE_WINDOW)
}

/// Whether the server is still registered, another registered server has its address, or a server that drained later
/// had its address.
fn is_replaced(server: &ServerEntry, servers: &[Arc<ServerEntry>], in_group: &[Arc<ServerEntry>]) -> bool {
    let took_address = |other: &ServerEntry| other.name != server.name && other.addr() == server.addr();
    let draining_since = |entry: &ServerEntry| entry.status.lock().unwrap().draining_since;
    let is_known = servers.iter().any(|other| other.name == server.name || took_address(other));
    is_known
        || in_group.iter().any(|other| took_address(other) && draining_since(other) > draining_since(server))
}

/// Returns the servers other than the old primary that may hold acknowledged commits: all registered servers, recently
/// departed ones, and the voters of the primary's assignment. In the assignment, the store replaces voters that
/// departed gracefully by their successors. A voter that lost its address to another server did not report its
/// departure and stays a voter; its log is gone with it.
pub(super) fn possible_commit_holders(
    node: &Node,
    group: &Name,
    servers: &[Arc<ServerEntry>],
    primary: Option<&PrimaryAssignment>,
) -> Vec<Name> {
    let known = servers.iter().map(|server| server.name.clone());
    let mut holders: Vec<Name> = known.chain(departed_servers(node, group, servers, primary)).collect();
    for voter in primary.map_or(&[][..], |assignment| &assignment.voters) {
        if !holders.contains(voter) {
            holders.push(voter.clone());
        }
    }
    let old_primary = old_primary(primary);
    holders.retain(|name| Some(name) != old_primary.as_ref());
    holders
}
