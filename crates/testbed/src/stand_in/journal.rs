//! What a stand-in did, kept beside its data so that the history checker can read it after a crash.
use quincehatch_core::Name;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fs::{File, OpenOptions};
use std::io::{self, Write as _};
use std::path::Path;
use std::sync::Mutex;

/// One thing that a stand-in did. The names are those of the journal files.
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
    /// A setting or a prepared statement was put on a connection.
    Wore {
        /// Connection, as its node names it.
        link: Name,
        /// `name=value`, or `name=text`.
        text: String,
    },
    /// A success was answered.
    Said {
        /// What it was for: the idempotency key, or the caller's mark.
        id: String,
        /// The stamp of the answer.
        stamp: Value,
        /// Its rows.
        rows: Value,
    },
    /// New work came too long after this server began to drain.
    Late,
}

/// The entries of a stand-in, in memory and in a file.
#[derive(Default)]
pub struct Journal {
    entries: Mutex<Vec<JournalEntry>>,
    file: Mutex<Option<File>>,
}

impl Journal {
    /// Goes on with what an earlier incarnation of the server wrote.
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

    /// All entries so far.
    pub fn entries_so_far(&self) -> Vec<JournalEntry> {
        self.entries.lock().unwrap().clone()
    }
}

/// The entries of a journal file; a line that a crash cut off is left out.
pub fn read_journal(path: &Path) -> Vec<JournalEntry> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

/// What a call is known by: its idempotency key, or its caller's mark, which is the last parameter.
pub fn request_id(body: &Value) -> String {
    let mark = || body["params"].as_array().and_then(|params| params.last()).and_then(Value::as_str);
    body["try"].as_str().or_else(mark).unwrap_or_default().to_owned()
}
