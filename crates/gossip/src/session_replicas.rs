//! Session replicas at one node, compared with another owner's by digests over ranges and repaired from the newer.
use crate::membership::LiveMember;
use crate::messages::SessionVersion;
use crate::ownership::replica_owners;
use quincehatch_core::{Millis, Name, Version, hash64};
use quincehatch_proxy::session::SessionState;
use std::collections::BTreeMap;

/// Ranges into which session ids are divided for comparison.
pub const RANGE_COUNT: usize = 16;
/// Bits of an id's hash below those that give its range.
const RANGE_SHIFT: u32 = u64::BITS - RANGE_COUNT.ilog2();
/// How long a closed session is remembered, so that an old replica elsewhere does not bring it back.
const CLOSED_RETENTION: Millis = 120_000;
/// Replicas a node keeps at most; beyond it new sessions are rejected.
pub const MAX_REPLICAS: usize = 100_000;

/// The range of a session id.
pub fn range_of(id: &str) -> u8 {
    (hash64(&[id.as_bytes()]) >> RANGE_SHIFT) as u8
}

#[derive(Debug)]
struct Replica {
    session: SessionState,
    stored_at: Millis,
}

/// The session replicas that a node keeps.
#[derive(Debug, Default)]
pub struct SessionReplicaTable {
    replicas: BTreeMap<Name, Replica>,
}

/// Two owners of a session, and the live nodes that decide which sessions both own.
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
    /// Replicas that are newer here.
    pub newer: Vec<SessionState>,
    /// Sessions whose replica is newer there.
    pub wanted: Vec<Name>,
}

impl SessionReplicaTable {
    /// Keeps a replica if it is newer than the one kept. Returns false when there is no room for a new session.
    pub fn insert_if_newer(&mut self, now: Millis, session: SessionState) -> bool {
        match self.replicas.get(&session.id) {
            None if self.replicas.len() >= MAX_REPLICAS => return false,
            Some(kept) if kept.session.version >= session.version => return true,
            _ => {}
        }
        self.replicas.insert(session.id.clone(), Replica { session, stored_at: now });
        true
    }

    /// The replica of a session.
    pub fn get(&self, id: &str) -> Option<SessionState> {
        self.replicas.get(id).map(|replica| replica.session.clone())
    }

    /// How many replicas are kept.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether no replica is kept.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// All replicas, by session id.
    pub fn sessions(&self) -> Vec<SessionState> {
        self.replicas.values().map(|replica| replica.session.clone()).collect()
    }

    /// Forgets sessions that were closed long enough ago.
    pub fn expire_closed(&mut self, now: Millis) {
        self.replicas.retain(|_, replica| {
            let expired = now >= replica.stored_at + CLOSED_RETENTION;
            !replica.session.closed || !expired
        });
    }

    /// Drops a replica that this node no longer owns.
    pub fn remove(&mut self, id: &str) {
        self.replicas.remove(id);
    }

    fn shared<'a>(&'a self, pair: OwnerPair<'a>) -> impl Iterator<Item = &'a SessionState> {
        let sessions = self.replicas.values().map(|replica| &replica.session);
        sessions.filter(move |session| pair.both_own(&session.id))
    }

    /// One digest for each range, over the sessions that both nodes own.
    pub fn range_digests(&self, pair: OwnerPair<'_>) -> Vec<u64> {
        let mut digests = vec![0; RANGE_COUNT];
        for session in self.shared(pair) {
            let digest = hash64(&[session.id.as_bytes(), &session.version.to_le_bytes()]);
            digests[range_of(&session.id) as usize] ^= digest;
        }
        digests
    }

    /// The versions kept of the sessions of a range that both nodes own.
    pub fn versions_in_range(&self, pair: OwnerPair<'_>, range: u8) -> Vec<SessionVersion> {
        let in_range = self.shared(pair).filter(|session| range_of(&session.id) == range);
        in_range.map(|session| SessionVersion { id: session.id.clone(), version: session.version }).collect()
    }

    /// Compares the versions of a range here with those of another node.
    pub fn diff_range(&self, local: &[SessionVersion], remote: &[SessionVersion]) -> RangeDiff {
        let mut newer = Vec::new();
        for entry in local {
            if entry.version > version_of(remote, &entry.id) {
                newer.extend(self.get(&entry.id));
            }
        }
        let mut wanted = Vec::new();
        for entry in remote {
            // Against what is kept now, not `local`: a session may be kept here though this node does not own it.
            let kept = self.replicas.get(&entry.id).map_or(0, |replica| replica.session.version);
            if entry.version > kept {
                wanted.push(entry.id.clone());
            }
        }
        RangeDiff { newer, wanted }
    }
}

/// The version of a session in a list; 0, which is below every version, where it is missing.
fn version_of(versions: &[SessionVersion], id: &Name) -> Version {
    versions.iter().find(|entry| entry.id == *id).map_or(0, |entry| entry.version)
}
