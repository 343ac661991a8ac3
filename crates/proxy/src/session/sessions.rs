//! The sessions that are in use at this node.
use crate::session::state::SessionState;
use crate::transaction::open::OpenTransaction;
use quincehatch_core::{Millis, Name, Version, hash64};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// The number of shards, each with a lock of its own.
const SHARDS: usize = 16;

/// One session at this node.
pub struct Session {
    /// The acknowledged state.
    pub state: SessionState,
    /// The open transaction, if any.
    pub transaction: Option<OpenTransaction>,
    /// When a request last used the session.
    pub last_used: Millis,
    /// The highest version that this node attempted to store. Replicas of an update that was never acknowledged may
    /// exist.
    pub highest_attempted: Version,
    /// Whether the state was fetched from the replicas after this node's last update of the session.
    pub adopted: bool,
}

/// A session that is locked by one request at a time.
pub type SharedSession = Arc<tokio::sync::Mutex<Session>>;

/// The sessions of a node.
pub struct Sessions {
    shards: Vec<Mutex<BTreeMap<Name, SharedSession>>>,
}

impl Default for Sessions {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }
}

impl Sessions {
    fn shard(&self, id: &str) -> &Mutex<BTreeMap<Name, SharedSession>> {
        &self.shards[hash64(&[id.as_bytes()]) as usize % SHARDS]
    }

    /// Returns the session of this id.
    pub fn get(&self, id: &str) -> Option<SharedSession> {
        self.shard(id).lock().unwrap().get(id).cloned()
    }

    /// Adds a session unless one with its id exists. Returns the session that is stored then.
    pub fn insert(&self, state: SessionState, now: Millis, adopted: bool) -> SharedSession {
        let mut shard = self.shard(&state.id).lock().unwrap();
        let id = state.id.clone();
        let new_session =
            || Session { state, transaction: None, last_used: now, highest_attempted: 0, adopted };
        shard.entry(id).or_insert_with(|| Arc::new(tokio::sync::Mutex::new(new_session()))).clone()
    }

    /// Removes a session from this node.
    pub fn remove(&self, id: &str) {
        self.shard(id).lock().unwrap().remove(id);
    }

    /// Returns the number of sessions.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().unwrap().len()).sum()
    }

    /// Whether there are no sessions.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns all sessions.
    pub fn all(&self) -> Vec<SharedSession> {
        let mut all = Vec::new();
        for shard in &self.shards {
            all.extend(shard.lock().unwrap().values().cloned());
        }
        all
    }
}
