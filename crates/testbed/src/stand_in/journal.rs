//! The journal of a stand-in's actions, stored next to its data so that the history checker can read it after a crash.
use quincehatch_core::Name;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fs::{File, OpenOptions};
use std::io::{self, Write as _};
use std::path::Path;
use std::sync::Mutex;

/// One action of a stand-in. The variant and field names are those of the journal files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JournalEntry {
    /// A statement was executed.
    Ran {
        /// Connection, as its node names it.
        link: Name,
        /// Number of the transaction; 0 outside of one.
        txn: u64,
        /// Text of the statement.
        text: String,
        /// Its parameters.
        params: Value,
    },
    /// A setting or a prepared statement was set on a connection.
    Wore {
        /// Connection, as its node names it.
        link: Name,
        /// `name=value`, or `name=text`.
        text: String,
    },
    /// A success was answered.
    Said {
        /// The request that it answers: the idempotency key, or the caller's mark.
        id: String,
        /// The stamp of the answer.
        stamp: Value,
        /// Its rows.
        rows: Value,
    },
    /// New work arrived after the time limit since this server began to drain.
    Late,
}

/// The entries of a stand-in, in memory and in a file.
#[derive(Default)]
pub struct Journal {
    entries: Mutex<Vec<JournalEntry>>,
    file: Mutex<Option<File>>,
}

impl Journal {
    /// Opens the journal with the entries that earlier incarnations of the server wrote.
    pub fn open(path: &Path) -> io::Result<Journal> {
        let entries = read_journal(path);
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Journal { entries: Mutex::new(entries), file: Mutex::new(Some(file)) })
    }

    /// Adds an entry.
    pub fn record(&self, entry: JournalEntry) {
        let mut entries = self.entries.lock().unwrap();
        if let Some(file) = self.file.lock().unwrap().as_mut() {
            let mut line = serde_json::to_vec(&entry).unwrap_or_default();
            line.push(b'\n');
            let _ = file.write_all(&line);
        }
        entries.push(entry);
    }

    /// Returns all entries so far.
    pub fn entries_so_far(&self) -> Vec<JournalEntry> {
        self.entries.lock().unwrap().clone()
    }
}

/// Reads the entries of a journal file; a line that a crash truncated is skipped.
pub fn read_journal(path: &Path) -> Vec<JournalEntry> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

/// Returns the id of a call: its idempotency key, or its caller's mark, which is the last parameter.
pub fn request_id(body: &Value) -> String {
    let mark = || body["params"].as_array().and_then(|params| params.last()).and_then(Value::as_str);
    body["try"].as_str().or_else(mark).unwrap_or_default().to_owned()
}
