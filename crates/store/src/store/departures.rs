//! Servers that were removed from the store. For each one the store records which server has its log now.
//! [`super::delayed_heartbeats`] recognises heartbeats that it sent before it left.
//!
//! The log of a server that shut down gracefully passes to the next server at its address. A node that promotes a
//! server must know this: it can never query the departed server again, and a voter that it cannot query may hold
//! acknowledged commits. A node would lose this information when its process ends, so it is part of the replicated
//! store.
use crate::store::Store;
use quincehatch_core::{Name, PrimaryAssignment, ServerRecord, messages};

/// Number of departures that are retained for each group.
pub const MAX_DEPARTURES: usize = 16;

messages! {
    /// A server that was removed from the store.
    #[derive(Eq)]
    pub struct Departure {
        /// Name of the server.
        pub server: Name,
        /// Address at which the server accepted connections.
        pub addr: Name,
        /// Number of its last recorded heartbeat.
        pub seq: u64,
        /// Whether the server shut down gracefully: its log passes to the next server at its address.
        pub in_order: bool,
        /// The server that took over its log, once known.
        pub successor: Option<Name>
    }
}

impl Store {
    /// Removes a server that shuts down gracefully.
    pub(super) fn deregister_server(&mut self, server: &Name) {
        if let Some(record) = self.servers.remove(server) {
            self.record_departure(&record, true);
        }
    }

    /// Records the departure of all servers with other names that are recorded at the address of `record`.
    pub(super) fn record_displaced_servers(&mut self, record: &ServerRecord) {
        let same_address = |known: &&ServerRecord| known.addr == record.addr && known.server != record.server;
        let displaced: Vec<ServerRecord> = self.servers.values().filter(same_address).cloned().collect();
        for known in displaced {
            self.record_departure(&known, known.draining);
        }
    }

    fn record_departure(&mut self, record: &ServerRecord, in_order: bool) {
        let ServerRecord { server, group, addr, seq, .. } = record.clone();
        let departures = self.departures.entry(group.clone()).or_default();
        departures.retain(|departure| departure.server != server);
        departures.push_back(Departure { server: server.clone(), addr, seq, in_order, successor: None });
        let forgotten = if departures.len() > MAX_DEPARTURES { departures.pop_front() } else { None };
        self.first_delayed.remove(&server);
        if let Some(forgotten) = forgotten {
            self.first_delayed.remove(&forgotten.server);
        }
        if in_order {
            self.add_to_voters(&group, &server);
        }
    }

    /// Adds a departed server to the voters of its group. A server that joined after the primary was assigned may hold
    /// acknowledged commits too, and until its successor is known, no server can be queried for them.
    fn add_to_voters(&mut self, group: &Name, server: &Name) {
        let Some(primary) = self.primaries.get_mut(group) else { return };
        let is_voter = primary.voter_sets().iter().flatten().any(|voter| voter == server);
        if !primary.voters.is_empty() && !is_voter && primary.server.as_ref() != Some(server) {
            primary.voters.push(server.clone());
        }
    }

    /// Returns the departure of a server; `None` if it has not departed or the departure is not retained.
    pub(super) fn departure(&self, group: &Name, server: &Name) -> Option<&Departure> {
        let departures = self.departures.get(group)?;
        departures.iter().find(|departure| departure.server == *server)
    }

    /// Records a newly registered server as the successor of all servers that shut down gracefully at its address.
    pub(super) fn record_successor(&mut self, record: &ServerRecord) {
        self.first_delayed.remove(&record.server);
        let Some(departures) = self.departures.get_mut(&record.group) else { return };
        departures.retain(|departure| departure.server != record.server);
        for departure in departures.iter_mut() {
            if departure.in_order && departure.successor.is_none() && departure.addr == record.addr {
                departure.successor = Some(record.server.clone());
            }
        }
        if let Some(mut primary) = self.primaries.remove(&record.group) {
            self.replace_departed_servers(&record.group, &mut primary);
            self.primaries.insert(record.group.clone(), primary);
        }
    }

    /// Replaces departed servers by their successors, except for the assigned primary: its successor has its log but
    /// not its role.
    pub(super) fn replace_departed_servers(&self, group: &Name, primary: &mut PrimaryAssignment) {
        for voters in std::iter::once(&mut primary.voters).chain(&mut primary.previous_voters) {
            for voter in voters.iter_mut() {
                *voter = self.log_holder(group, voter);
            }
            remove_duplicates(voters);
        }
        if let Some(demoted) = &mut primary.demoted {
            *demoted = self.log_holder(group, demoted);
        }
    }

    /// Returns the server that has the log of `server` now: the last one in the sequence of its successors, or `server`
    /// itself if it has none.
    fn log_holder(&self, group: &Name, server: &Name) -> Name {
        let mut holder = server;
        // Successors can form a cycle if a server returns to its address under an earlier name, so the number of steps
        // is limited to the number of retained departures.
        for _ in 0..MAX_DEPARTURES {
            let departure = self.departure(group, holder);
            match departure.and_then(|departure| departure.successor.as_ref()) {
                Some(successor) => holder = successor,
                None => break,
            }
        }
        holder.clone()
    }
}

/// Removes repeated names but the first of each. The order of voters has no meaning, but all keepers must compute the
/// same one.
fn remove_duplicates(voters: &mut Vec<Name>) {
    let mut seen = Vec::with_capacity(voters.len());
    voters.retain(|voter| {
        let is_new = !seen.contains(voter);
        seen.push(voter.clone());
        is_new
    });
}
