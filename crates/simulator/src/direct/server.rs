//! A simulated database server: its role, its log, and what of the log its reads see.
use crate::fleet::simulation::ProcessId;
use quincehatch_core::{Millis, Name, Position, Role};
use quincehatch_proxy::ports::{ServerReply, ServerStatus};
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Requests that a server executes at a time.
pub const SLOTS: usize = 5;
/// Connections that a server takes.
pub const MAX_CONNECTIONS: usize = 24;
/// Position before the first commit.
const EMPTY_LOG: Position = Position { fence: 1, number: 0 };

/// Where the reply to a call goes.
pub type ReplySender = oneshot::Sender<io::Result<ServerReply>>;

/// Where the reply to a request goes, and on which connection.
pub struct ReplyTarget {
    /// The connection that the request came on.
    pub connection: u64,
    /// Where the reply goes.
    pub reply_to: ReplySender,
}

/// A commit in a server's log.
#[derive(Debug, PartialEq)]
pub struct LogEntry {
    /// Where in the log it is.
    pub position: Position,
    /// Ids of the writes in it.
    pub writes: Vec<u64>,
}

/// A commit whose reply waits for a replica to receive it.
pub struct PendingCommit {
    /// The commit.
    pub entry: Arc<LogEntry>,
    /// What is replied.
    pub reply: ServerReply,
    /// Where it goes.
    pub target: ReplyTarget,
}

/// What the chain holds of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Its name.
    pub name: Name,
    /// Its role.
    pub role: Role,
    /// It announced that it drains.
    pub draining: bool,
}

/// A server of the group.
#[derive(Default)]
pub struct Server {
    /// Its name; a successor at the same address has another.
    pub name: Name,
    /// Its process.
    pub pid: ProcessId,
    /// Its address.
    pub addr: Name,
    /// Its role.
    pub role: Role,
    /// The newest term it has heard of.
    pub term: u64,
    /// The term up to which it is suspended; none: 0.
    pub suspended_term: u64,
    /// All commits it has received.
    pub log: Vec<Arc<LogEntry>>,
    /// Entries of the log that reads see.
    pub visible: usize,
    /// When reads see how many entries.
    pub pending_visibility: VecDeque<(Millis, usize)>,
    /// Requests in execution.
    pub slots_in_use: usize,
    /// It rejects all requests as busy before that time.
    pub busy_until: Millis,
    /// Commits that wait for a replica.
    pub pending_commits: Vec<PendingCommit>,
    /// It receives nothing of its primary.
    pub replication_stopped: bool,
    /// How much later its reads see what it received.
    pub replication_lag: Millis,
    /// How much longer each request takes.
    pub extra_latency: Millis,
    /// So many replies to come are lost.
    pub replies_to_lose: u32,
    /// It drains.
    pub draining: bool,
    /// When the chain acknowledged that it drains.
    pub drain_acknowledged_at: Option<Millis>,
    /// Rises with each registration.
    pub registration_sequence: u64,
    /// Its last acknowledged registration.
    pub registered_as: Option<Registration>,
}

impl Server {
    /// The end of its log.
    pub fn log_end(&self) -> Position {
        self.log.last().map_or(EMPTY_LOG, |entry| entry.position)
    }

    /// How many entries reads see by now.
    pub fn visible_entries(&mut self, now: Millis) -> usize {
        while let Some((_, count)) = self.pending_visibility.front().copied().filter(|(at, _)| *at <= now) {
            self.pending_visibility.pop_front();
            self.visible = self.visible.max(count.min(self.log.len()));
        }
        if self.role == Role::Primary {
            self.visible = self.log.len();
        }
        self.visible
    }

    /// The end of what reads see by now.
    pub fn visible_end(&mut self, now: Millis) -> Position {
        let visible = self.visible_entries(now);
        visible.checked_sub(1).map_or(EMPTY_LOG, |last| self.log[last].position)
    }

    /// True if the entry is among the first `within` of the log.
    pub fn holds(&self, entry: &Arc<LogEntry>, within: usize) -> bool {
        let number = entry.position.number as usize;
        number <= within && self.log.get(number - 1).is_some_and(|held| Arc::ptr_eq(held, entry))
    }

    /// How many entries its log and another begin with alike.
    pub fn common_prefix(&self, log: &[Arc<LogEntry>]) -> usize {
        self.log.iter().zip(log).take_while(|(own, other)| Arc::ptr_eq(own, other)).count()
    }

    /// Drops what a primary's log does not begin with; true if there was anything.
    pub fn truncate_to(&mut self, log: &[Arc<LogEntry>]) -> bool {
        let common = self.common_prefix(log);
        let truncated = self.log.len() > common;
        self.log.truncate(common);
        self.visible = self.visible.min(common);
        self.pending_visibility.clear();
        if self.visible < common {
            self.pending_visibility.push_back((0, common));
        }
        truncated
    }

    /// What it tells of itself.
    pub fn status(&self, connections: u64) -> ServerStatus {
        ServerStatus {
            role: self.role,
            term: self.term,
            received: self.log_end(),
            suspended_term: self.suspended_term,
            lag_ms: self.replication_lag,
            busy_slots: self.slots_in_use as u64,
            connections,
        }
    }

    /// What the chain should hold of it.
    pub fn registration(&self) -> Registration {
        Registration { name: self.name.clone(), role: self.role, draining: self.draining }
    }
}
