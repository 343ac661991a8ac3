//! What the servers of a simulated group are and hold: one thread's state, changed by events in the order of time.
use super::ledger::Ledger;
use crate::fleet::simulation::{ProcessId, Simulation};
use bytes::Bytes;
use quincehatch_core::{FencingToken, Millis, Name, Position, Role};
use quincehatch_proxy::ports::{ServerReply, ServerStatus};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, Weak};
use tokio::sync::oneshot;

pub type ReplySender = oneshot::Sender<io::Result<ServerReply>>;

/// A commit in a server's log, and the ids of the writes in it.
#[derive(Debug, PartialEq)]
pub struct LogEntry {
    pub position: Position,
    pub writes: Vec<u64>,
}

/// A commit that waits for a replica to receive it.
pub struct PendingCommit {
    pub entry: Arc<LogEntry>,
    pub connection: u64,
    pub reply_message: ServerReply,
    pub reply: ReplySender,
}

#[derive(Default)]
pub struct Server {
    pub name: Name,
    pub pid: ProcessId,
    pub addr: Name,
    pub role: Role,
    pub term: u64,
    /// Held by SUSPEND up to this term; none: 0.
    pub suspended_term: u64,
    pub log: Vec<Arc<LogEntry>>,
    /// What of the log reads see, and when more of it does.
    pub visible: usize,
    pub pending_visibility: VecDeque<(Millis, usize)>,
    pub slots_in_use: usize,
    pub busy_until: Millis,
    pub pending_commits: Vec<PendingCommit>,
    pub replication_stopped: bool,
    pub replication_lag: Millis,
    pub extra_latency: Millis,
    /// So many answers to come are lost.
    pub replies_to_lose: u32,
    pub draining: bool,
    /// When its word that it leaves was acknowledged.
    pub drain_acknowledged_at: Option<Millis>,
    /// Rises with each word to the chain.
    pub registration_sequence: u64,
    /// What the chain was last told.
    pub registered_as: Option<(Name, Role, bool)>,
}

/// A transaction on a server's link.
#[derive(Debug)]
pub struct OpenTransaction {
    pub read: bool,
    /// The term it began under.
    pub term: u64,
    /// Which of the origins' it is, once a statement of it ran.
    pub client_transaction: Option<u64>,
    pub writes: Vec<u64>,
    /// What a read-only one sees.
    pub visible: usize,
    pub failed: bool,
}

/// The server's end of a link.
pub struct ServerLink {
    pub node: ProcessId,
    pub server: usize,
    pub values: BTreeMap<Bytes, Bytes>,
    pub prepared: BTreeMap<Name, (bool, Bytes)>,
    pub transaction: Option<OpenTransaction>,
    /// Questions on their way or in hand.
    pub requests_in_flight: usize,
    /// The node's end is closed.
    pub closed: bool,
    pub broken: Arc<AtomicBool>,
}

pub struct GroupState {
    pub servers: Vec<Server>,
    pub connections: BTreeMap<u64, ServerLink>,
    pub next_connection_id: u64,
    /// The highest fence the promoter has seen.
    pub fence: FencingToken,
    pub promoter: ProcessId,
    pub ledger: Ledger,
    /// Until when a node's own processes and links are in trouble, and the keepers together.
    pub disturbed_until: BTreeMap<ProcessId, Millis>,
    pub keepers_disturbed_until: Millis,
    pub promotions: usize,
    /// When the last one that was taken has its effect.
    pub last_promotion_effective: Millis,
}

/// Slots of one server, and the links it takes.
pub const SLOTS: usize = 5;
pub const MAX_CONNECTIONS: usize = 24;
/// A node is in touch this long after the last trouble.
const RECONNECT_PERIOD: Millis = 4_000;

pub struct ServerGroup {
    simulation: Weak<Simulation>,
    state: Mutex<GroupState>,
}

impl Server {
    pub fn log_end(&self) -> Position {
        self.log.last().map_or(Position { fence: 1, number: 0 }, |e| e.position)
    }
    /// What reads see at that time.
    pub fn visible_entries(&mut self, now: Millis) -> usize {
        while let Some((_, n)) = self.pending_visibility.front().copied().filter(|(at, _)| *at <= now) {
            self.pending_visibility.pop_front();
            self.visible = self.visible.max(n.min(self.log.len()));
        }
        if self.role == Role::Primary {
            self.visible = self.log.len();
        }
        self.visible
    }
    /// The end of what reads see.
    pub fn visible_end(&mut self, now: Millis) -> Position {
        let n = self.visible_entries(now);
        if n == 0 { Position { fence: 1, number: 0 } } else { self.log[n - 1].position }
    }
    pub fn holds(&self, e: &Arc<LogEntry>, within: usize) -> bool {
        let i = e.position.number as usize;
        i <= within && self.log.get(i - 1).is_some_and(|x| Arc::ptr_eq(x, e))
    }
    /// How much of the log is the same as that one's.
    pub fn common_prefix(&self, log: &[Arc<LogEntry>]) -> usize {
        self.log.iter().zip(log).take_while(|(a, b)| Arc::ptr_eq(a, b)).count()
    }
    pub fn truncate_to(&mut self, log: &[Arc<LogEntry>]) -> bool {
        let n = self.common_prefix(log);
        let ahead = self.log.len() > n;
        self.log.truncate(n);
        self.visible = self.visible.min(n);
        self.pending_visibility.clear();
        if self.visible < n {
            self.pending_visibility.push_back((0, n));
        }
        ahead
    }
    pub fn status(&self, lag_ms: u64, links: u64) -> ServerStatus {
        let (role, term, held, busy) = (self.role, self.term, self.suspended_term, self.slots_in_use as u64);
        ServerStatus {
            role,
            term,
            received: self.log_end(),
            suspended_term: held,
            lag_ms,
            busy_slots: busy,
            connections: links,
        }
    }
}

impl GroupState {
    /// Was the node, and were the keepers, without trouble for long enough before `at`?
    pub fn is_undisturbed(&self, node: ProcessId, at: Millis) -> bool {
        at > self.disturbed_until.get(&node).map_or(0, |t| t + RECONNECT_PERIOD)
            && at > self.keepers_disturbed_until + RECONNECT_PERIOD
    }
    /// The server that leads in the highest term.
    pub fn primary(&self) -> Option<usize> {
        let all = self.servers.iter().enumerate().filter(|(_, s)| s.role == Role::Primary);
        all.max_by_key(|(_, s)| s.term).map(|(i, _)| i)
    }
    pub fn server_named(&self, server: &str) -> Option<usize> {
        self.servers.iter().position(|s| s.name == server)
    }
}

impl ServerGroup {
    pub fn new(core: &Arc<Simulation>, promoter: ProcessId) -> Arc<ServerGroup> {
        let state = GroupState {
            servers: Vec::new(),
            connections: BTreeMap::new(),
            next_connection_id: 0,
            fence: 0,
            promoter,
            ledger: Ledger::default(),
            disturbed_until: BTreeMap::new(),
            keepers_disturbed_until: 0,
            promotions: 0,
            last_promotion_effective: 0,
        };
        Arc::new(ServerGroup { simulation: Arc::downgrade(core), state: Mutex::new(state) })
    }
    /// The run's core; none once the run has ended.
    pub fn core(&self) -> Option<Arc<Simulation>> {
        self.simulation.upgrade()
    }
    pub fn with<T>(&self, f: impl FnOnce(&mut GroupState) -> T) -> T {
        f(&mut self.state.lock().unwrap())
    }
}
