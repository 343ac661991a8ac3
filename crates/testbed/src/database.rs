//! The data of a stand-in: a fenced log whose records commit once they are on two servers, with idempotency keys and
//! seals.
//!
//! The database does no I/O: it collects the records that the caller must make durable.
pub use crate::log_record::{DiskRecord, LogRecord, RecordKind, Write};
use quincehatch_core::{FencingToken, Name, Position, Role};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The outcome of an idempotency key on this server.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyOutcome {
    /// The key is committed.
    Committed {
        /// Digest of its content.
        sum: Name,
        /// Rows of its answer.
        rows: Value,
    },
    /// The key is sealed and can never be committed.
    Sealed,
    /// The key is in the log, in the record with this number, which is not yet known to be on a second server.
    Pending(u64),
    /// The key is not in the log.
    NotCommitted,
}

/// A server's log and the state that results from its committed records.
#[derive(Clone, Debug, Default)]
pub struct Database {
    /// The server's name.
    pub name: Name,
    /// Its role.
    pub role: Role,
    /// The highest fence it has accepted.
    pub fence: FencingToken,
    /// All records, committed or not.
    pub log: Vec<LogRecord>,
    /// Number of committed records: they are on two servers and visible to reads.
    pub commit: u64,
    /// Values that result from the committed records.
    pub values: BTreeMap<String, Value>,
    outcomes: BTreeMap<Name, KeyOutcome>,
    /// Number of records of this primary's log that each replica holds.
    pub(crate) replicated_to: BTreeMap<Name, u64>,
    /// Servers that count towards commits; if empty, all do.
    pub(crate) voters: Vec<Name>,
    /// Records that are not durable yet.
    pub unwritten: Vec<DiskRecord>,
    /// Number of records that must be visible before a primary answers reads: all that it had when it was promoted or
    /// restarted.
    readable_at: u64,
}

/// A replica's request for the records after the end of its log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullRequest {
    /// The replica.
    pub server: Name,
    /// Its fence.
    pub fence: FencingToken,
    /// The end of its log.
    pub have: Position,
}

/// A primary's response to a [`PullRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullResponse {
    /// The primary's fence.
    pub fence: FencingToken,
    /// The log end given in the request: the records continue from there.
    pub have: Position,
    /// Number of records that are committed.
    pub commit: u64,
    /// Records after the replica's end.
    pub recs: Vec<LogRecord>,
    /// Set if the replica's log differs from the primary's: the last position under each fence of the primary's log.
    pub fences: Option<Vec<Position>>,
}

impl Database {
    /// Returns an empty replica.
    pub fn new(name: &str) -> Database {
        Database { name: name.into(), ..Database::default() }
    }

    /// Restores the database after a crash from its durable records.
    pub fn replay(name: &str, records: impl Iterator<Item = DiskRecord>) -> Database {
        let mut db = Database::new(name);
        for record in records {
            match record {
                DiskRecord::Append(record) => db.log.push(record),
                DiskRecord::Truncate(length) => db.log.truncate(length as usize),
                DiskRecord::Fence(fence, role) => (db.fence, db.role) = (fence, role),
                DiskRecord::Voters(voters) => db.voters = voters,
            }
        }
        db.readable_at = db.log.len() as u64;
        db
    }

    /// Returns the position of the last record of the log.
    pub fn log_end(&self) -> Position {
        self.log.last().map_or(Position::default(), |record| record.position)
    }

    /// Returns the position of the last committed record.
    pub fn commit_position(&self) -> Position {
        let last = self.commit.checked_sub(1).and_then(|last| self.log.get(last as usize));
        last.map_or(Position::default(), |record| record.position)
    }

    fn append(&mut self, kind: RecordKind) -> u64 {
        let number = self.log.len() as u64 + 1;
        let record = LogRecord { position: Position { fence: self.fence, number }, kind };
        self.unwritten.push(DiskRecord::Append(record.clone()));
        self.log.push(record);
        number
    }

    /// Accepts a fence: the server rejects lower fences from now on, and is no longer primary under one. Returns false
    /// if the fence is lower than the accepted one.
    pub fn set_fence(&mut self, fence: FencingToken) -> bool {
        if fence > self.fence {
            self.fence = fence;
            self.role = Role::Replica;
            self.replicated_to.clear();
            self.unwritten.push(DiskRecord::Fence(fence, self.role));
        }
        fence >= self.fence
    }

    /// Becomes primary under the fence; only the voters count towards its commits, or every server if there are none.
    /// Returns false if the fence is too low.
    pub fn promote(&mut self, fence: FencingToken, voters: Vec<Name>) -> bool {
        if fence < self.fence {
            return false;
        }
        if self.is_primary_under(fence) {
            return true;
        }
        self.fence = fence;
        self.role = Role::Primary;
        self.replicated_to.clear();
        self.unwritten.push(DiskRecord::Fence(fence, self.role));
        self.unwritten.push(DiskRecord::Voters(voters.clone()));
        self.voters = voters;
        self.readable_at = self.append(RecordKind::Start);
        true
    }

    /// Returns whether reads see everything committed: a new primary may not yet show records that its predecessor
    /// acknowledged.
    pub fn is_readable(&self) -> bool {
        self.role == Role::Replica || self.commit >= self.readable_at
    }

    /// Makes a primary behave as if it were starting, with part of its log not yet visible.
    #[doc(hidden)]
    pub fn set_unreadable_for_test(&mut self, unreadable: bool) {
        self.readable_at = if unreadable { u64::MAX } else { 0 };
    }

    /// Returns whether the server is primary under exactly this fence.
    pub fn is_primary_under(&self, fence: FencingToken) -> bool {
        self.role == Role::Primary && self.fence == fence
    }

    /// Returns the outcome of an idempotency key.
    pub fn outcome(&self, key: &str) -> KeyOutcome {
        if let Some(outcome) = self.outcomes.get(key) {
            return outcome.clone();
        }
        let uncommitted = &self.log[self.commit as usize..];
        let pending = uncommitted.iter().find(|record| record.key().is_some_and(|own| own == key));
        pending.map_or(KeyOutcome::NotCommitted, |record| KeyOutcome::Pending(record.position.number))
    }

    /// Appends a commit unless its key is already in the log, and returns the outcome of the key.
    pub fn commit_once(&mut self, key: &str, sum: &str, writes: Vec<Write>, rows: Value) -> KeyOutcome {
        match self.outcome(key) {
            KeyOutcome::NotCommitted => KeyOutcome::Pending(self.add_commit(key, sum, writes, rows)),
            known => known,
        }
    }

    /// Appends a commit and returns its record's number. The caller waits until `commit` has reached that number.
    pub fn add_commit(&mut self, key: &str, sum: &str, writes: Vec<Write>, rows: Value) -> u64 {
        self.append(RecordKind::Commit { key: key.into(), sum: sum.into(), writes, rows })
    }

    /// Appends a seal and returns its record's number. The caller waits until `commit` has reached that number.
    pub fn add_seal(&mut self, key: &str) -> u64 {
        self.append(RecordKind::Seal { key: key.into() })
    }

    /// Returns whether the record with that number was written under the fence.
    pub fn wrote_under(&self, number: u64, fence: FencingToken) -> bool {
        self.log.get(number as usize - 1).is_some_and(|record| record.position.fence == fence)
    }

    /// Commits and applies all records up to that number.
    pub(crate) fn commit_up_to(&mut self, number: u64) {
        while self.commit < number {
            let kind = self.log[self.commit as usize].kind.clone();
            self.commit += 1;
            self.apply(kind);
        }
    }

    fn apply(&mut self, kind: RecordKind) {
        match kind {
            RecordKind::Start => {}
            RecordKind::Seal { key } => {
                self.outcomes.entry(key).or_insert(KeyOutcome::Sealed);
            }
            RecordKind::Commit { key, sum, writes, rows } => {
                for write in writes {
                    apply_write(&mut self.values, write);
                }
                self.outcomes.insert(key, KeyOutcome::Committed { sum, rows });
            }
        }
    }
}

/// Applies one write to a table of values.
pub fn apply_write(values: &mut BTreeMap<String, Value>, write: Write) {
    match write {
        Write::Put(key, value) => {
            values.insert(key, value);
        }
        Write::Append(key, value) => {
            let entry = values.entry(key).or_insert_with(|| Value::Array(vec![]));
            if let Some(list) = entry.as_array_mut() {
                list.push(value);
            }
        }
        Write::Add(key, amount) => {
            let entry = values.entry(key).or_insert(Value::from(0));
            *entry = Value::from(entry.as_i64().unwrap_or(0) + amount);
        }
    }
}
