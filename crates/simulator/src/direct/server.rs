//! A simulated database server: its role, its log, and the part of the log that its reads see.
use crate::fleet::simulation::ProcessId;
use quincehatch_core::{Millis, Name, Position, Role};
use quincehatch_proxy::ports::{ServerReply, ServerStatus};
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Number of requests that a server executes concurrently.
pub const SLOTS: usize = 5;
/// Number of connections that a server accepts.
pub const MAX_CONNECTIONS: usize = 24;
/// The end of a log that has no commits.
const EMPTY_LOG: Position = Position { fence: 1, number: 0 };

/// The channel for the reply to a call.
pub type ReplySender = oneshot::Sender<io::Result<ServerReply>>;

/// The connection and the channel on which a request is answered.
pub struct ReplyTarget {
    /// The connection on which the request arrived.
    pub connection: u64,
    /// The channel for the reply.
    pub reply_to: ReplySender,
}

/// A commit in a server's log.
#[derive(Debug, PartialEq)]
pub struct LogEntry {
    /// The entry's position in the log.
    pub position: Position,
    /// Ids of the writes in the commit.
    pub writes: Vec<u64>,
}

/// A commit that is not answered before a replica has received it.
pub struct PendingCommit {
    /// The log entry of the commit.
    pub entry: Arc<LogEntry>,
    /// The reply to send.
    pub reply: ServerReply,
    /// Where the reply is sent.
    pub target: ReplyTarget,
}

/// The data about a server that the replicated store has.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// The server's name.
    pub name: Name,
    /// The server's role.
    pub role: Role,
    /// Whether the server announced that it is draining.
    pub draining: bool,
}

/// A server of the group.
#[derive(Default)]
pub struct Server {
    /// The server's name. A replacement at the same address has another name.
    pub name: Name,
    /// The server's process.
    pub pid: ProcessId,
    /// The server's address.
    pub addr: Name,
    /// The server's role.
    pub role: Role,
    /// The newest term that the server has learned of.
    pub term: u64,
    /// The term up to which the server is suspended, or 0 if it is not.
    pub suspended_term: u64,
    /// All commits that the server has received.
    pub log: Vec<Arc<LogEntry>>,
    /// Number of log entries that reads see.
    pub visible: usize,
    /// Times from which reads see the given number of entries.
    pub pending_visibility: VecDeque<(Millis, usize)>,
    /// Number of requests in execution.
    pub slots_in_use: usize,
    /// The server rejects all requests as busy before this time.
    pub busy_until: Millis,
    /// Commits that no replica has acknowledged yet.
    pub pending_commits: Vec<PendingCommit>,
    /// Whether the server receives no log entries from its primary.
    pub replication_stopped: bool,
    /// Additional delay until the server receives log entries.
    pub receive_delay: Millis,
    /// Additional delay until reads see received entries.
    pub replication_lag: Millis,
    /// Additional execution time of each request.
    pub extra_latency: Millis,
    /// Number of upcoming replies to lose.
    pub replies_to_lose: u32,
    /// Whether the server is draining.
    pub draining: bool,
    /// Whether the server is leaving without draining.
    pub is_leaving: bool,
    /// When the replicated store acknowledged that the server is draining or has deregistered.
    pub drain_acknowledged_at: Option<Millis>,
    /// Sequence number of the newest registration.
    pub registration_sequence: u64,
    /// The server's heartbeats arrive from this time on.
    pub registers_from: Millis,
    /// Whether the server has not joined the group yet.
    pub is_absent: bool,
    /// The last acknowledged registration.
    pub registered_as: Option<Registration>,
}

impl Server {
    /// Returns the end of the log.
    pub fn log_end(&self) -> Position {
        self.log.last().map_or(EMPTY_LOG, |entry| entry.position)
    }

    /// Returns how many log entries reads see at `now`.
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

    /// Returns the log position up to which reads see commits at `now`.
    pub fn visible_end(&mut self, now: Millis) -> Position {
        let visible = self.visible_entries(now);
        visible.checked_sub(1).map_or(EMPTY_LOG, |last| self.log[last].position)
    }

    /// Whether the entry is among the first `within` entries of the log.
    pub fn holds(&self, entry: &Arc<LogEntry>, within: usize) -> bool {
        let number = entry.position.number as usize;
        number <= within && self.log.get(number - 1).is_some_and(|stored| Arc::ptr_eq(stored, entry))
    }

    /// Returns the number of entries at the start of the log that `log` has too.
    pub fn common_prefix(&self, log: &[Arc<LogEntry>]) -> usize {
        self.log.iter().zip(log).take_while(|(own, other)| Arc::ptr_eq(own, other)).count()
    }

    /// Truncates the log to the entries that it shares with a primary's log. Returns whether any entry was removed.
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

    /// Returns the status that the server reports.
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

    /// Returns the registration that the replicated store should have.
    pub fn registration(&self) -> Registration {
        Registration { name: self.name.clone(), role: self.role, draining: self.draining }
    }
}
