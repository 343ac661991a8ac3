//! Configurations, servers and settings of a cluster of any size.
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{Name, Role, ServerRecord, hash64};

/// Servers of one group: a primary and two replicas.
pub const SERVERS_PER_GROUP: usize = 3;

/// An address that nothing listens on.
pub const UNUSED_ADDRESS: &str = "127.0.0.1:1";

/// Number of hosts that are numbered with one byte of an address.
const HOSTS_PER_SUBNET: usize = 250;
const NODE_ZONES: usize = 5;
/// Number of requests that a sample server executes concurrently.
const SERVER_SLOTS: u32 = 5;

/// Returns a configuration with one route, one placement and one group for each database. `revision` changes one of the
/// routes.
///
/// Its keys are those of the form that keepers and nodes store, which the sizes in docs/CAPACITY.md depend on.
pub fn configuration_text(groups: usize, revision: u64) -> String {
    let mut placements = Vec::new();
    let mut routes = Vec::new();
    let mut group_limits = Vec::new();
    for group in 0..groups.max(1) {
        // Hashed names prevent the text from compressing unrealistically well.
        let tag = hash64(&[&group.to_le_bytes()]) >> 20;
        placements.push(format!(r#"{{"name":"p{tag:x}","select":{{"group":["g{group:04}"]}}}}"#));
        let timeout_ms = if group == groups / 2 { 2_000 + revision } else { 2_000 };
        let times = format!(r#""timeout_ms":{timeout_ms},"fresh_ms":1200,"aim_ms":800,"priority":1"#);
        routes.push(format!(
            r#"{{"name":"r{tag:x}","class":"order","when":{{"db":["d{tag:x}"]}},"placement":"p{tag:x}",{times}}}"#
        ));
        group_limits.push(format!(r#"{{"name":"g{group:04}","links":84,"sync_replicas":1}}"#));
    }
    format!(
        r#"{{"placements":[{}],"rules":[{}],"groups":[{}]}}"#,
        placements.join(","),
        routes.join(","),
        group_limits.join(",")
    )
}

/// Returns the name of a group.
pub fn group_name(group: usize) -> Name {
    format!("g{group:04}").into()
}

/// Returns the record of a server. `index` counts the servers of all groups, and the first one of each group is its
/// primary. `seq` is the sequence number of the heartbeat that carries the record.
pub fn server_record(index: usize, seq: u64) -> ServerRecord {
    let group = index / SERVERS_PER_GROUP;
    let member = index % SERVERS_PER_GROUP;
    ServerRecord {
        server: format!("s{group:04}-{member}").into(),
        group: group_name(group),
        addr: format!("10.{member}.{}.{}:5432", group / HOSTS_PER_SUBNET, group % HOSTS_PER_SUBNET).into(),
        zone: format!("d{member}").into(),
        slots: SERVER_SLOTS,
        draining: false,
        role: if member == 0 { Role::Primary } else { Role::Replica },
        seq,
    }
}

/// Returns the settings of a node that only other processes of the cluster can reach.
pub fn node_settings(
    index: usize,
    gossip_listener: String,
    seeds: Vec<String>,
    keepers: Vec<String>,
) -> NodeSettings {
    NodeSettings {
        name: node_name(index).to_string(),
        zone: node_zone(index),
        client_listener: UNUSED_ADDRESS.into(),
        operator_listener: UNUSED_ADDRESS.into(),
        gossip_listener,
        seeds,
        keepers,
        platform: UNUSED_ADDRESS.into(),
        token: "t".into(),
        log: "off".into(),
        threads: 1,
    }
}

/// Returns the settings of a node without a cluster, whose addresses are all unused.
pub fn lone_node_settings() -> NodeSettings {
    node_settings(0, UNUSED_ADDRESS.into(), vec![], vec![UNUSED_ADDRESS.into()])
}

/// Returns the name of a node.
pub fn node_name(index: usize) -> Name {
    format!("n{index:04}").into()
}

/// Returns the zone of a node.
pub fn node_zone(index: usize) -> String {
    format!("d{}", index % NODE_ZONES)
}

/// Returns the names of the first `count` nodes.
pub fn node_names(count: usize) -> Vec<Name> {
    (0..count).map(node_name).collect()
}
