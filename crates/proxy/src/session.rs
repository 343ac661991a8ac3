//! Sessions (§4.2): what an origin was promised, verbatim, under a rising version.
use quincehatch_core::{Millis, Name, Version, hash64, messages};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Settings and prepared texts one session may hold.
pub const MAX_TEXTS: usize = 64;
const SHARDS: usize = 16;

messages! {
    /// All that a session was promised. Copied whole to its owners before it is promised (§6.4).
    #[derive(Eq, Default)]
    pub struct SessionState {
        pub id: Name, pub version: Version, pub settings: Vec<String>, pub prepared: Vec<(Name, String)>,
        pub closed: bool,
        /// Versions this one grew out of, newest last: it holds all that they promised.
        pub ancestors: Vec<Version>
    }
}

/// What a link wears, by its content: links are told apart by the texts themselves, not by a sum (§4.3).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionSetup {
    pub settings: Vec<String>,
    pub prepared: Vec<(Name, String)>,
}

impl SessionState {
    /// What a link must wear for this session.
    pub fn setup(&self) -> SessionSetup {
        SessionSetup { settings: self.settings.clone(), prepared: self.prepared.clone() }
    }
}

/// One session at this node.
pub struct Session {
    pub state: SessionState,
    pub transaction: Option<crate::transaction::Open>,
    pub last_used: Millis,
    /// The highest version tried here: copies of an update that was never acknowledged may be about (§6.4).
    pub highest_attempted: Version,
    /// The session came from elsewhere since its last update.
    pub adopted: bool,
}

/// Low bits of a version are drawn, so that two nodes never give the same one.
const DRAWN: u32 = 16;
/// Counts a version rises by when the session moved: more than a node loses in doubt between two moves.
const LEAP: u64 = 64;
/// Versions a context remembers to have grown out of.
const TRAIL: usize = 32;

impl SessionState {
    /// Does this copy hold all that was promised up to that version? A copy of an update that was never
    /// acknowledged may bear a higher number and yet lack it (§6.4).
    pub fn includes(&self, version: Version) -> bool {
        version == self.version || self.ancestors.contains(&version)
    }
    /// The next version, to be changed and placed: above all that was tried here.
    pub fn next_version(&self, burnt: Version, moved: bool) -> SessionState {
        let at = (self.version.max(burnt) >> DRAWN) + if moved { LEAP } else { 1 };
        let mut c = self.clone();
        c.version = at << DRAWN | u64::from(fastrand::u16(..));
        c.ancestors.push(self.version);
        if c.ancestors.len() > TRAIL {
            c.ancestors.remove(0);
        }
        c
    }
}

/// A session in hand of one visit at a time.
pub type Held = Arc<tokio::sync::Mutex<Session>>;

/// The node's sessions, in shards.
pub struct Sessions {
    shards: Vec<Mutex<BTreeMap<Name, Held>>>,
}

impl Default for Sessions {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }
}

impl Sessions {
    fn shard(&self, id: &str) -> &Mutex<BTreeMap<Name, Held>> {
        &self.shards[hash64(&[id.as_bytes()]) as usize % SHARDS]
    }
    pub fn get(&self, id: &str) -> Option<Held> {
        self.shard(id).lock().unwrap().get(id).cloned()
    }
    pub fn insert(&self, ctx: SessionState, now: Millis, moved: bool) -> Held {
        let mut s = self.shard(&ctx.id).lock().unwrap();
        let id = ctx.id.clone();
        s.entry(id)
            .or_insert_with(|| {
                Arc::new(tokio::sync::Mutex::new(Session {
                    state: ctx,
                    transaction: None,
                    last_used: now,
                    highest_attempted: 0,
                    adopted: moved,
                }))
            })
            .clone()
    }
    pub fn remove(&self, id: &str) {
        self.shard(id).lock().unwrap().remove(id);
    }
    pub fn len(&self) -> usize {
        self.shards.iter().map(|s| s.lock().unwrap().len()).sum()
    }
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    pub fn all(&self) -> Vec<Held> {
        self.shards.iter().flat_map(|s| s.lock().unwrap().values().cloned().collect::<Vec<_>>()).collect()
    }
}
