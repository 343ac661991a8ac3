//! The records of servers.
use quincehatch_core::{Name, ServerRecord};
use std::collections::BTreeMap;

/// Inserts or replaces the record of a server. An address belongs to the server that last reported it, so any other
/// server's record with the same address is removed.
pub(crate) fn upsert_server(servers: &mut BTreeMap<Name, ServerRecord>, record: &ServerRecord) {
    servers.retain(|name, known| *name == record.server || known.addr != record.addr);
    servers.insert(record.server.clone(), record.clone());
}

/// Would `offered` change nothing where `known` is recorded? So it is if it is older, or differs by its heartbeat number
/// alone.
pub(super) fn changes_nothing(known: &ServerRecord, offered: &ServerRecord) -> bool {
    if offered.seq <= known.seq {
        return true;
    }
    let with_known_seq = ServerRecord { seq: known.seq, ..offered.clone() };
    with_known_seq == *known
}
