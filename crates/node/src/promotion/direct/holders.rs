//! Which servers may hold commits that a group acknowledged.
use crate::node::Node;
use quincehatch_core::{Millis, Name, PrimaryAssignment};
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::now;
use std::sync::Arc;

use super::super::attempt::old_primary;

/// Whoever takes the address of a server that went away is heard of within this time.
const ADDRESS_REUSE_WINDOW: Millis = 60_000;

/// The group's servers that the store knows.
pub(super) fn known_servers(node: &Node, group: &Name) -> Vec<Arc<ServerEntry>> {
    let names: Vec<Name> = {
        let state = node.feed_state.lock().unwrap();
        let records = state.servers.values().filter(|record| record.group == *group);
        records.map(|record| record.server.clone()).collect()
    };
    names.iter().filter_map(|name| node.proxy.registry.server(name)).collect()
}

/// Servers that went away lately and at whose address nobody is known yet: their log may be with a server that is there
/// already, and that receives and counts before the store hears of it.
pub(super) fn departed_servers(node: &Node, group: &Name, servers: &[Arc<ServerEntry>]) -> Vec<Name> {
    let in_group: Vec<_> =
        node.proxy.registry.servers().into_iter().filter(|server| server.group() == *group).collect();
    let departed =
        in_group.iter().filter(|server| departed_lately(server) && !is_replaced(server, servers, &in_group));
    departed.map(|server| server.name.clone()).collect()
}

fn departed_lately(server: &ServerEntry) -> bool {
    let draining_since = server.status.lock().unwrap().draining_since;
    draining_since.is_some_and(|since| now() < since + ADDRESS_REUSE_WINDOW)
}

/// Whether the server is known still, another known server has its address, or one had it that drained later.
fn is_replaced(server: &ServerEntry, servers: &[Arc<ServerEntry>], in_group: &[Arc<ServerEntry>]) -> bool {
    let took_address = |other: &ServerEntry| other.name != server.name && other.addr() == server.addr();
    let draining_since = |entry: &ServerEntry| entry.status.lock().unwrap().draining_since;
    let is_known = servers.iter().any(|other| other.name == server.name || took_address(other));
    is_known
        || in_group.iter().any(|other| took_address(other) && draining_since(other) > draining_since(server))
}

/// Servers beside the old primary that may hold what was acknowledged: all that are known, and those that voted when the
/// primary was assigned. The store puts successors in the places of voters that left in order; a voter that was pushed
/// out of its address reported nothing, and took its log with it.
pub(super) fn holders(
    node: &Node,
    group: &Name,
    servers: &[Arc<ServerEntry>],
    primary: Option<&PrimaryAssignment>,
) -> Vec<Name> {
    let known = servers.iter().map(|server| server.name.clone());
    let mut holders: Vec<Name> = known.chain(departed_servers(node, group, servers)).collect();
    for voter in primary.map_or(&[][..], |assignment| &assignment.voters) {
        if !holders.contains(voter) {
            holders.push(voter.clone());
        }
    }
    let old_primary = old_primary(primary);
    holders.retain(|name| Some(name) != old_primary.as_ref());
    holders
}
