//! Servers that are recorded no more: which server has the log of each by now, and which heartbeats of them come late.
//!
//! A server that left in order passes its log on to the next server at its address. Whoever promotes must know that: the
//! departed server can never be asked again, and a voter that cannot be asked may hold acknowledged commits. A node's
//! memory of it would end with the node's process, so it is part of the store.
use crate::store::Store;
use borsh::BorshDeserialize;
use borsh::io::{Read, Result};
use quincehatch_core::{Name, PrimaryAssignment, ServerRecord, messages};
use std::collections::{BTreeMap, VecDeque};

/// Departures that are remembered of each group.
pub const MAX_DEPARTURES: usize = 16;
/// A heartbeat of a departed server whose number is at most so much above the last one is one from before it left.
const LATE_HEARTBEATS: u64 = 64;

messages! {
    /// A server that is recorded no more.
    #[derive(Eq)]
    pub struct Departure {
        /// Its name.
        pub server: Name,
        /// Where it took connections.
        pub addr: Name,
        /// Number of the last heartbeat that was recorded of it.
        pub seq: u64,
        /// It left in order: its log goes to the next server at its address.
        pub in_order: bool,
        /// The server that has its log now.
        pub successor: Option<Name>
    }
}

/// The departures of each group, oldest first.
pub(super) type Departures = BTreeMap<Name, VecDeque<Departure>>;

/// Departures end the store's layout. Versions before them wrote none.
pub(super) fn read_departures<R: Read>(reader: &mut R) -> Result<Departures> {
    let mut first = [0; 1];
    if reader.read(&mut first)? == 0 {
        return Ok(Departures::new());
    }
    Departures::deserialize_reader(&mut first.as_slice().chain(reader))
}

impl Store {
    /// Removes a server that leaves in order.
    pub(super) fn deregister_server(&mut self, server: &Name) {
        if let Some(record) = self.servers.remove(server) {
            self.remember_departure(&record, true);
        }
    }

    /// The servers of other names that are recorded at the record's address lose it.
    pub(super) fn remember_pushed_out(&mut self, record: &ServerRecord) {
        let same_address = |known: &&ServerRecord| known.addr == record.addr && known.server != record.server;
        let pushed_out: Vec<ServerRecord> = self.servers.values().filter(same_address).cloned().collect();
        for known in pushed_out {
            self.remember_departure(&known, known.draining);
        }
    }

    fn remember_departure(&mut self, record: &ServerRecord, in_order: bool) {
        let ServerRecord { server, group, addr, seq, .. } = record.clone();
        let departures = self.departures.entry(group.clone()).or_default();
        departures.retain(|departure| departure.server != server);
        departures.push_back(Departure { server: server.clone(), addr, seq, in_order, successor: None });
        if departures.len() > MAX_DEPARTURES {
            departures.pop_front();
        }
        if in_order {
            self.count_as_voter(&group, &server);
        }
    }

    /// A server that joined after the primary was assigned may have received acknowledged commits too. Until its
    /// successor is known, nobody can be asked for them.
    fn count_as_voter(&mut self, group: &Name, server: &Name) {
        let Some(primary) = self.primaries.get_mut(group) else { return };
        let is_voter = primary.voter_sets().iter().flatten().any(|voter| voter == server);
        if !primary.voters.is_empty() && !is_voter && primary.server.as_ref() != Some(server) {
            primary.voters.push(server.clone());
        }
    }

    /// Whether a heartbeat was sent before its server left.
    pub(super) fn is_late(&self, record: &ServerRecord) -> bool {
        let departure = self.departure(&record.group, &record.server);
        departure.is_some_and(|departure| record.seq <= departure.seq.saturating_add(LATE_HEARTBEATS))
    }

    fn departure(&self, group: &Name, server: &Name) -> Option<&Departure> {
        let departures = self.departures.get(group)?;
        departures.iter().find(|departure| departure.server == *server)
    }

    /// A server is recorded: it has the logs of those that left its address in order.
    pub(super) fn settle_succession(&mut self, record: &ServerRecord) {
        let Some(departures) = self.departures.get_mut(&record.group) else { return };
        departures.retain(|departure| departure.server != record.server);
        for departure in departures.iter_mut() {
            if departure.in_order && departure.successor.is_none() && departure.addr == record.addr {
                departure.successor = Some(record.server.clone());
            }
        }
        if let Some(mut primary) = self.primaries.remove(&record.group) {
            self.rename_departed(&record.group, &mut primary);
            self.primaries.insert(record.group.clone(), primary);
        }
    }

    /// Puts successors in the places of departed servers. The assigned server itself stays as it is: its successor has
    /// its log, not its role.
    pub(super) fn rename_departed(&self, group: &Name, primary: &mut PrimaryAssignment) {
        for voters in std::iter::once(&mut primary.voters).chain(&mut primary.previous_voters) {
            for voter in voters.iter_mut() {
                *voter = self.log_holder(group, voter);
            }
            remove_repeated(voters);
        }
        if let Some(demoted) = &mut primary.demoted {
            *demoted = self.log_holder(group, demoted);
        }
    }

    /// Who has the log of a server by now: itself, or its successor's successor and so on.
    fn log_holder(&self, group: &Name, server: &Name) -> Name {
        let mut holder = server;
        // A server may have come back to its address under an earlier name: no chain is longer than what is remembered.
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

/// Keeps the first of equal names. The order of voters says nothing, but is the same for all keepers.
fn remove_repeated(voters: &mut Vec<Name>) {
    let mut seen = Vec::with_capacity(voters.len());
    voters.retain(|voter| {
        let is_new = !seen.contains(voter);
        seen.push(voter.clone());
        is_new
    });
}
