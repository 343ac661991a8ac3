//! What a stand-in did, kept beside its data so that the history checker can read it after a crash (§9.4).
use quincehatch_core::Name;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::io::Write as _;
use std::path::Path;
use std::sync::Mutex;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JournalEntry {
    /// A statement ran; outside a transaction `txn` is 0.
    Ran { link: Name, txn: u64, text: String, params: Value },
    /// A setting or a prepared text was put on a link.
    Wore { link: Name, text: String },
    /// A success that was answered, and what for: the try, or the caller's mark.
    Said { id: String, stamp: Value, rows: Value },
    /// New work came over 7 s after this server had said that it leaves.
    Late,
}

#[derive(Default)]
pub struct Journal {
    entries: Mutex<(Vec<JournalEntry>, Option<std::fs::File>)>,
}

impl Journal {
    /// Goes on with what an earlier life of the server wrote there.
    pub fn open(path: &Path) -> std::io::Result<Journal> {
        let had = read_journal(path);
        let file = std::fs::OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Journal { entries: Mutex::new((had, Some(file))) })
    }
    pub fn record(&self, e: JournalEntry) {
        let mut h = self.entries.lock().unwrap();
        if let Some(f) = h.1.as_mut() {
            let mut line = serde_json::to_vec(&e).unwrap_or_default();
            line.push(b'\n');
            let _ = f.write_all(&line);
        }
        h.0.push(e);
    }
    pub fn entries_so_far(&self) -> Vec<JournalEntry> {
        self.entries.lock().unwrap().0.clone()
    }
}

pub fn read_journal(path: &Path) -> Vec<JournalEntry> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect()
}

/// What a call is known by: its try, or its caller's mark, which is the last parameter.
pub fn request_id(body: &Value) -> String {
    let mark = || body["params"].as_array().and_then(|p| p.last()).and_then(Value::as_str);
    body["try"].as_str().or_else(mark).unwrap_or_default().to_owned()
}
