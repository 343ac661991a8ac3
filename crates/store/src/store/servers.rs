//! The records of servers.
use quincehatch_core::{Name, ServerRecord};
use std::collections::BTreeMap;

/// Inserts or replaces the record of a server. An address belongs to the server that last reported it, so the records
/// of other servers with the same address are removed.
pub(crate) fn upsert_server(servers: &mut BTreeMap<Name, ServerRecord>, record: &ServerRecord) {
    servers.retain(|name, known| *name == record.server || known.addr != record.addr);
    servers.insert(record.server.clone(), record.clone());
}

/// Whether the record `offered` adds nothing to the recorded one, `known`: it is older, or it differs only in its
/// heartbeat number.
pub(super) fn is_redundant(known: &ServerRecord, offered: &ServerRecord) -> bool {
    if offered.seq <= known.seq {
        return true;
    }
    let with_known_seq = ServerRecord { seq: known.seq, ..offered.clone() };
    with_known_seq == *known
}
