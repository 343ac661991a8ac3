//! The session replicas at one node. They are compared with those of another owner by digests over ranges, and each
//! stale replica is replaced by the newer one.
use crate::membership::LiveMember;
use crate::ownership::replica_owners;
use crate::queries::SessionVersion;
use quincehatch_core::{Millis, Name, Version, hash64};
use quincehatch_proxy::session::SessionState;
use std::collections::BTreeMap;

/// The number of ranges into which session identifiers are divided for comparison.
pub const RANGE_COUNT: usize = 16;
/// The number of lower bits of an identifier's hash that do not determine its range.
const RANGE_SHIFT: u32 = u64::BITS - RANGE_COUNT.ilog2();
/// The replica of a closed session is retained for this long, so that a stale replica at another node does not reopen
/// it.
const CLOSED_RETENTION: Millis = 120_000;
/// The maximum number of replicas at a node; further sessions are rejected.
pub const MAX_REPLICAS: usize = 100_000;

/// Returns the range of a session identifier.
pub fn range_of(id: &str) -> u8 {
    (hash64(&[id.as_bytes()]) >> RANGE_SHIFT) as u8
}

#[derive(Debug)]
struct Replica {
    session: SessionState,
    stored_at: Millis,
}

/// The session replicas that a node stores.
#[derive(Debug, Default)]
pub struct SessionReplicaTable {
    replicas: BTreeMap<Name, Replica>,
}

/// Two nodes that compare their replicas, and the live nodes, which determine the sessions that both nodes own.
#[derive(Clone, Copy)]
pub struct OwnerPair<'a> {
    /// This node.
    pub local: &'a Name,
    /// The other node.
    pub peer: &'a Name,
    /// All live nodes.
    pub live: &'a [LiveMember],
}

impl OwnerPair<'_> {
    fn both_own(&self, id: &str) -> bool {
        let owners = replica_owners(id, self.live);
        owners.contains(self.local) && owners.contains(self.peer)
    }
}

/// How the replicas of one range differ between two nodes.
#[derive(Debug)]
pub struct RangeDiff {
    /// Replicas that are newer at this node.
    pub newer: Vec<SessionState>,
    /// Sessions whose replica is newer at the other node.
    pub wanted: Vec<Name>,
}

impl SessionReplicaTable {
    /// Stores a replica if it is newer than the stored one. Returns false if there is no space for a new session.
    pub fn insert_if_newer(&mut self, now: Millis, session: SessionState) -> bool {
        match self.replicas.get(&session.id) {
            None if self.replicas.len() >= MAX_REPLICAS => return false,
            Some(stored) if stored.session.version >= session.version => return true,
            _ => {}
        }
        self.replicas.insert(session.id.clone(), Replica { session, stored_at: now });
        true
    }

    /// Returns the replica of a session.
    pub fn get(&self, id: &str) -> Option<SessionState> {
        self.replicas.get(id).map(|replica| replica.session.clone())
    }

    /// Returns the number of stored replicas.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether no replica is stored.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns all replicas, ordered by session identifier.
    pub fn sessions(&self) -> Vec<SessionState> {
        self.replicas.values().map(|replica| replica.session.clone()).collect()
    }

    /// Removes the replicas of closed sessions whose retention has expired.
    pub fn expire_closed(&mut self, now: Millis) {
        self.replicas.retain(|_, replica| {
            let expired = now >= replica.stored_at + CLOSED_RETENTION;
            !replica.session.closed || !expired
        });
    }

    /// Removes a replica that this node no longer owns.
    pub fn remove(&mut self, id: &str) {
        self.replicas.remove(id);
    }

    fn co_owned_sessions<'a>(&'a self, pair: OwnerPair<'a>) -> impl Iterator<Item = &'a SessionState> {
        let sessions = self.replicas.values().map(|replica| &replica.session);
        sessions.filter(move |session| pair.both_own(&session.id))
    }

    /// Returns one digest for each range, over the sessions that both nodes own.
    pub fn range_digests(&self, pair: OwnerPair<'_>) -> Vec<u64> {
        let mut digests = vec![0; RANGE_COUNT];
        for session in self.co_owned_sessions(pair) {
            let digest = hash64(&[session.id.as_bytes(), &session.version.to_le_bytes()]);
            digests[range_of(&session.id) as usize] ^= digest;
        }
        digests
    }

    /// Returns the stored versions of the sessions of a range that both nodes own.
    pub fn versions_in_range(&self, pair: OwnerPair<'_>, range: u8) -> Vec<SessionVersion> {
        let in_range = self.co_owned_sessions(pair).filter(|session| range_of(&session.id) == range);
        in_range.map(|session| SessionVersion { id: session.id.clone(), version: session.version }).collect()
    }

    /// Compares the versions of a range at this node (`local`) with those at another node (`remote`).
    pub fn diff_range(&self, local: &[SessionVersion], remote: &[SessionVersion]) -> RangeDiff {
        let mut newer = Vec::new();
        for entry in local {
            if entry.version > version_of(remote, &entry.id) {
                newer.extend(self.get(&entry.id));
            }
        }
        let mut wanted = Vec::new();
        for entry in remote {
            // The table is consulted instead of `local`, because it may contain sessions that this node does not own.
            let stored = self.replicas.get(&entry.id).map_or(0, |replica| replica.session.version);
            if entry.version > stored {
                wanted.push(entry.id.clone());
            }
        }
        RangeDiff { newer, wanted }
    }
}

/// Returns the version of a session in a list, or 0, which is below every version, if the session is missing.
fn version_of(versions: &[SessionVersion], id: &Name) -> Version {
    versions.iter().find(|entry| entry.id == *id).map_or(0, |entry| entry.version)
}
