//! Records of servers for tests.
use quincehatch_core::{Role, ServerRecord};

/// The group of all servers in these tests.
pub const GROUP: &str = "g";

/// Returns the record of a replica that is in service.
pub fn record(server: &str, addr: &str, seq: u64) -> ServerRecord {
    ServerRecord {
        server: server.into(),
        group: GROUP.into(),
        addr: addr.into(),
        zone: "z".into(),
        slots: 5,
        draining: false,
        role: Role::Replica,
        seq,
    }
}
