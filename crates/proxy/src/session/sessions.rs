//! The sessions that this node has in use.
use crate::session::state::SessionState;
use crate::transaction::open::OpenTransaction;
use quincehatch_core::{Millis, Name, Version, hash64};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Locks that the sessions are spread over.
const SHARDS: usize = 16;

/// One session at this node.
pub struct Session {
    /// What was acknowledged.
    pub state: SessionState,
    /// Its open transaction.
    pub transaction: Option<OpenTransaction>,
    /// When a request last used it.
    pub last_used: Millis,
    /// The highest version tried here: replicas of an update that was never acknowledged may exist.
    pub highest_attempted: Version,
    /// The session came from another node since its last update.
    pub adopted: bool,
}

/// A session, in use by one request at a time.
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

    /// The session of this id.
    pub fn get(&self, id: &str) -> Option<SharedSession> {
        self.shard(id).lock().unwrap().get(id).cloned()
    }

    /// Adds a session unless there is one of its id; returns the one that is there then.
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

    /// How many there are.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().unwrap().len()).sum()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All of them.
    pub fn all(&self) -> Vec<SharedSession> {
        let mut all = Vec::new();
        for shard in &self.shards {
            all.extend(shard.lock().unwrap().values().cloned());
        }
        all
    }
}
