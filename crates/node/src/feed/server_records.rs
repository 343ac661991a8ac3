//! Direct servers send no heartbeats: their records in the store stand for these.
use crate::node::Node;
use quincehatch_core::{Name, ServerHeartbeat, ServerRecord, ServerState};
use std::collections::BTreeMap;

/// Puts records that changed into the registry as heartbeats, and marks servers without a record as draining.
/// `published`: the records as they were last published; updated.
pub(super) fn publish_server_records(node: &Node, published: &mut BTreeMap<Name, ServerRecord>) {
    let registry = &node.proxy.registry;
    let records = node.feed_state.lock().unwrap().servers.clone();
    for record in records.values() {
        if published.get(&record.server) != Some(record) {
            registry.apply_heartbeat(heartbeat_of(record));
        }
    }
    for name in published.keys().filter(|name| !records.contains_key(*name)) {
        if let Some(server) = registry.server(name) {
            server.set_draining(true);
        }
    }
    *published = records;
}

fn heartbeat_of(record: &ServerRecord) -> ServerHeartbeat {
    let label = |key: &str, value: &str| (Name::from(key), Name::from(value));
    let labels = [
        label("group", &record.group),
        label("district", &record.zone),
        label("slots", &record.slots.to_string()),
    ];
    ServerHeartbeat {
        server: record.server.clone(),
        seq: record.seq + 1,
        addr: record.addr.clone(),
        labels: labels.into(),
        role: record.role,
        state: if record.draining { ServerState::Draining } else { ServerState::Up },
        ..Default::default()
    }
}
