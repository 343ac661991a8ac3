//! What the servers of a simulated group are and hold: one thread's state, changed by events in the order of time.
use super::book::Book;
use crate::fleet::core::{ProcessId, Simulation};
use bytes::Bytes;
use quincehatch_core::{FencingToken, Millis, Name, Position, Role};
use quincehatch_proxy::ports::{ServerReply, ServerStatus};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, Weak};
use tokio::sync::oneshot;

pub type Reply = oneshot::Sender<io::Result<ServerReply>>;

/// A commit in a server's log, and the ids of the writes in it.
#[derive(Debug, PartialEq)]
pub struct Entry {
    pub at: Position,
    pub ids: Vec<u64>,
}

/// A commit that waits for a replica to receive it.
pub struct PendingCommit {
    pub entry: Arc<Entry>,
    pub link: u64,
    pub said: ServerReply,
    pub reply: Reply,
}

#[derive(Default)]
pub struct Server {
    pub name: Name,
    pub pid: ProcessId,
    pub addr: Name,
    pub role: Role,
    pub term: u64,
    /// Held by SUSPEND up to this term; none: 0.
    pub held: u64,
    pub log: Vec<Arc<Entry>>,
    /// What of the log reads see, and when more of it does.
    pub applied: usize,
    pub pending_visibility: VecDeque<(Millis, usize)>,
    pub busy: usize,
    pub busy_until: Millis,
    pub waiting: Vec<PendingCommit>,
    pub deaf: bool,
    pub replication_lag: Millis,
    pub extra_latency: Millis,
    /// So many answers to come are lost.
    pub lose: u32,
    pub leaving: bool,
    /// When its word that it leaves was acknowledged.
    pub left: Option<Millis>,
    /// Rises with each word to the chain.
    pub seq: u64,
    /// What the chain was last told.
    pub told: Option<(Name, Role, bool)>,
}

/// A transaction on a server's link.
#[derive(Debug)]
pub struct Txn {
    pub read: bool,
    /// The term it began under.
    pub term: u64,
    /// Which of the origins' it is, once a statement of it ran.
    pub of: Option<u64>,
    pub writes: Vec<u64>,
    /// What a read-only one sees.
    pub sees: usize,
    pub broken: bool,
}

/// The server's end of a link.
pub struct Link {
    pub node: ProcessId,
    pub server: usize,
    pub values: BTreeMap<Bytes, Bytes>,
    pub prepared: BTreeMap<Name, (bool, Bytes)>,
    pub txn: Option<Txn>,
    /// Questions on their way or in hand.
    pub asked: usize,
    /// The node's end is closed.
    pub closed: bool,
    pub broken: Arc<AtomicBool>,
}

pub struct State {
    pub servers: Vec<Server>,
    pub links: BTreeMap<u64, Link>,
    pub next: u64,
    /// The highest fence the promoter has seen.
    pub fence: FencingToken,
    pub promoter: ProcessId,
    pub book: Book,
    /// Until when a node's own processes and links are in trouble, and the keepers together.
    pub trouble: BTreeMap<ProcessId, Millis>,
    pub keepers_disturbed_until: Millis,
    pub promotions: usize,
    /// When the last one that was taken has its effect.
    pub promoting: Millis,
}

/// Slots of one server, and the links it takes.
pub const SLOTS: usize = 5;
pub const LINKS: usize = 24;
/// A node is in touch this long after the last trouble.
const RECONNECT_PERIOD: Millis = 4_000;

pub struct ServerGroup {
    core: Weak<Simulation>,
    state: Mutex<State>,
}

impl Server {
    pub fn end(&self) -> Position {
        self.log.last().map_or(Position { fence: 1, number: 0 }, |e| e.at)
    }
    /// What reads see at that time.
    pub fn sees(&mut self, now: Millis) -> usize {
        while let Some((_, n)) = self.pending_visibility.front().copied().filter(|(at, _)| *at <= now) {
            self.pending_visibility.pop_front();
            self.applied = self.applied.max(n.min(self.log.len()));
        }
        if self.role == Role::Primary {
            self.applied = self.log.len();
        }
        self.applied
    }
    /// The end of what reads see.
    pub fn visible_end(&mut self, now: Millis) -> Position {
        let n = self.sees(now);
        if n == 0 { Position { fence: 1, number: 0 } } else { self.log[n - 1].at }
    }
    pub fn holds(&self, e: &Arc<Entry>, within: usize) -> bool {
        let i = e.at.number as usize;
        i <= within && self.log.get(i - 1).is_some_and(|x| Arc::ptr_eq(x, e))
    }
    /// How much of the log is the same as that one's.
    pub fn common_prefix(&self, log: &[Arc<Entry>]) -> usize {
        self.log.iter().zip(log).take_while(|(a, b)| Arc::ptr_eq(a, b)).count()
    }
    pub fn truncate_to(&mut self, log: &[Arc<Entry>]) -> bool {
        let n = self.common_prefix(log);
        let ahead = self.log.len() > n;
        self.log.truncate(n);
        self.applied = self.applied.min(n);
        self.pending_visibility.clear();
        if self.applied < n {
            self.pending_visibility.push_back((0, n));
        }
        ahead
    }
    pub fn look(&self, lag_ms: u64, links: u64) -> ServerStatus {
        let (role, term, held, busy) = (self.role, self.term, self.held, self.busy as u64);
        ServerStatus {
            role,
            term,
            received: self.end(),
            suspended_term: held,
            lag_ms,
            busy_slots: busy,
            connections: links,
        }
    }
}

impl State {
    /// Was the node, and were the keepers, without trouble for long enough before `at`?
    pub fn is_undisturbed(&self, node: ProcessId, at: Millis) -> bool {
        at > self.trouble.get(&node).map_or(0, |t| t + RECONNECT_PERIOD)
            && at > self.keepers_disturbed_until + RECONNECT_PERIOD
    }
    /// The server that leads in the highest term.
    pub fn lead(&self) -> Option<usize> {
        let all = self.servers.iter().enumerate().filter(|(_, s)| s.role == Role::Primary);
        all.max_by_key(|(_, s)| s.term).map(|(i, _)| i)
    }
    pub fn index(&self, server: &str) -> Option<usize> {
        self.servers.iter().position(|s| s.name == server)
    }
}

impl ServerGroup {
    pub fn new(core: &Arc<Simulation>, promoter: ProcessId) -> Arc<ServerGroup> {
        let state = State {
            servers: Vec::new(),
            links: BTreeMap::new(),
            next: 0,
            fence: 0,
            promoter,
            book: Book::default(),
            trouble: BTreeMap::new(),
            keepers_disturbed_until: 0,
            promotions: 0,
            promoting: 0,
        };
        Arc::new(ServerGroup { core: Arc::downgrade(core), state: Mutex::new(state) })
    }
    /// The run's core; none once the run has ended.
    pub fn core(&self) -> Option<Arc<Simulation>> {
        self.core.upgrade()
    }
    pub fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap())
    }
}
