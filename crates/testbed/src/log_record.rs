//! Records of a stand-in's log and of its durable storage.
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

/// The kind and content of a log record.
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
    /// An idempotency key that must never be committed.
    Seal {
        /// The key.
        key: Name,
    },
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its number in the log, and the fence under which it was written.
    #[serde(rename = "pos")]
    pub position: Position,
    /// Its kind and content.
    pub kind: RecordKind,
}

/// A change that must be durable before a call is answered. The names are those of the log files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DiskRecord {
    /// A record was appended.
    #[serde(rename = "Rec")]
    Append(LogRecord),
    /// The log was truncated to this number of records.
    #[serde(rename = "Cut")]
    Truncate(u64),
    /// A fence was accepted; the role is that under the fence.
    Fence(FencingToken, Role),
    /// Servers that count towards commits.
    #[serde(rename = "Counts")]
    Voters(Vec<Name>),
}

impl LogRecord {
    /// Returns a short text of position, kind and key, without the content.
    pub fn summary(&self) -> String {
        let what = match &self.kind {
            RecordKind::Start => "start".into(),
            RecordKind::Commit { key, .. } => format!("commit {key}"),
            RecordKind::Seal { key } => format!("seal {key}"),
        };
        format!("{}.{} {what}", self.position.fence, self.position.number)
    }

    /// Returns the idempotency key that the record commits or seals.
    pub(crate) fn key(&self) -> Option<&Name> {
        match &self.kind {
            RecordKind::Commit { key, .. } | RecordKind::Seal { key } => Some(key),
            RecordKind::Start => None,
        }
    }
}
