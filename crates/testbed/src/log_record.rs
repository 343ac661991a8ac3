//! Records of a stand-in's log, and of its disk.
use quincehatch_core::{FencingToken, Name, Position, Role};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Write {
    /// Sets a value.
    Put(String, Value),
    /// Appends to a list.
    Append(String, Value),
    /// Adds to a number.
    Add(String, i64),
}

/// What a record of the log is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RecordKind {
    /// A primary's first record under its fence.
    Start,
    /// A transaction.
    Commit {
        /// Its idempotency key.
        key: Name,
        /// Digest of its content.
        sum: Name,
        /// Its writes.
        writes: Vec<Write>,
        /// Rows of its answer.
        rows: Value,
    },
    /// An idempotency key that is not to be committed any more.
    Seal {
        /// The key.
        key: Name,
    },
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Where in the log it is, and under which fence it was written.
    #[serde(rename = "pos")]
    pub position: Position,
    /// What it is.
    pub kind: RecordKind,
}

/// What must be durable before a call is answered. The names are those of the log files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DiskRecord {
    /// A record was appended.
    #[serde(rename = "Rec")]
    Append(LogRecord),
    /// The log was truncated to so many records.
    #[serde(rename = "Cut")]
    Truncate(u64),
    /// The fence and the role under it.
    Fence(FencingToken, Role),
    /// Servers that count towards commits.
    #[serde(rename = "Counts")]
    Voters(Vec<Name>),
}

impl LogRecord {
    /// The record in a few words, without its content.
    pub fn summary(&self) -> String {
        let what = match &self.kind {
            RecordKind::Start => "start".into(),
            RecordKind::Commit { key, .. } => format!("commit {key}"),
            RecordKind::Seal { key } => format!("seal {key}"),
        };
        format!("{}.{} {what}", self.position.fence, self.position.number)
    }

    /// The idempotency key that it commits or seals.
    pub(crate) fn key(&self) -> Option<&Name> {
        match &self.kind {
            RecordKind::Commit { key, .. } | RecordKind::Seal { key } => Some(key),
            RecordKind::Start => None,
        }
    }
}
