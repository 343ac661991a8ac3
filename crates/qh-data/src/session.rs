//! Sessions (§4.2): what an origin was promised, verbatim, under a rising edition.
use qh_core::{Edition, Ms, Name, hash64, messages};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Settings and prepared texts one session may hold.
pub const TEXTS: usize = 64;
const SHARDS: usize = 16;

messages! {
    /// All that a session was promised. Copied whole to its owners before it is promised (§6.4).
    #[derive(Eq, Default)]
    pub struct Context {
        pub id: Name, pub edition: Edition, pub settings: Vec<String>, pub prepared: Vec<(Name, String)>,
        pub closed: bool
    }
}

impl Context {
    /// Sum of what a link must carry; 0 for none.
    pub fn sum(&self) -> u64 {
        if self.settings.is_empty() && self.prepared.is_empty() {
            return 0;
        }
        let mut parts: Vec<&[u8]> = self.settings.iter().map(|s| s.as_bytes()).collect();
        parts.push(b"/");
        for (n, t) in &self.prepared {
            parts.push(n.as_bytes());
            parts.push(t.as_bytes());
        }
        hash64(&parts).clamp(1, u64::MAX - 1)
    }
}

/// One session at this node.
pub struct Session {
    pub ctx: Context,
    pub txn: Option<crate::txn::Open>,
    pub used: Ms,
    /// The next edition leaps: copies of an update that was never acknowledged may be about (§6.4).
    pub leap: bool,
}

/// Editions rise by one while a session stays in one node, and to the next round thousand when it moves or an
/// update was left in doubt, so that an orphaned copy never outranks or equals a promised one (§6.4).
pub const LEAP: Edition = 1_000;

impl Session {
    pub fn next_edition(&self) -> Edition {
        let e = self.ctx.edition;
        if self.leap { (e / LEAP + 1) * LEAP } else { e + 1 }
    }
}

/// A session in hand of one visit at a time.
pub type Held = Arc<tokio::sync::Mutex<Session>>;

/// The node's sessions, in shards.
pub struct Sessions {
    shards: Vec<Mutex<HashMap<Name, Held>>>,
}

impl Default for Sessions {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }
}

impl Sessions {
    fn shard(&self, id: &str) -> &Mutex<HashMap<Name, Held>> {
        &self.shards[hash64(&[id.as_bytes()]) as usize % SHARDS]
    }
    pub fn get(&self, id: &str) -> Option<Held> {
        self.shard(id).lock().unwrap().get(id).cloned()
    }
    pub fn put(&self, ctx: Context, now: Ms, leap: bool) -> Held {
        let mut s = self.shard(&ctx.id).lock().unwrap();
        let id = ctx.id.clone();
        s.entry(id)
            .or_insert_with(|| Arc::new(tokio::sync::Mutex::new(Session { ctx, txn: None, used: now, leap })))
            .clone()
    }
    pub fn drop_one(&self, id: &str) {
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
