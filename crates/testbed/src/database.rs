//! A stand-in's data: a log under fences, kept on two of three, tries and seals in it (§3). Sans-IO; the
//! simulator runs this same code.
use quincehatch_core::{FencingToken, Name, Position, Role};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Write {
    Put(String, Value),
    Append(String, Value),
    Add(String, i64),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RecordKind {
    /// A primary's first record under its fence.
    Start,
    Commit {
        key: Name,
        sum: Name,
        writes: Vec<Write>,
        rows: Value,
    },
    Seal {
        key: Name,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    #[serde(rename = "pos")]
    pub position: Position,
    pub kind: RecordKind,
}

/// What a try came to on this server.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyOutcome {
    Committed {
        sum: Name,
        rows: Value,
    },
    Sealed,
    /// In the log, not yet on a second server.
    Pending(u64),
    NotCommitted,
}

/// What must be on disk before the call is answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DiskRecord {
    #[serde(rename = "Rec")]
    Append(LogRecord),
    #[serde(rename = "Cut")]
    Truncate(u64),
    Fence(FencingToken, Role),
    #[serde(rename = "Counts")]
    Voters(Vec<Name>),
}

#[derive(Clone, Debug, Default)]
pub struct Database {
    pub name: Name,
    pub role: Role,
    pub fence: FencingToken,
    pub log: Vec<LogRecord>,
    /// Records on two servers, and so visible.
    pub commit: u64,
    pub values: BTreeMap<String, Value>,
    outcomes: BTreeMap<Name, KeyOutcome>,
    pub(crate) replicated_to: BTreeMap<Name, u64>,
    pub(crate) voters: Vec<Name>,
    pub unwritten: Vec<DiskRecord>,
    /// A primary's log when it took the lead or came back: reads wait until that much is visible (§3.2).
    readable_at: u64,
}

/// A replica's wish, and what its primary gives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullRequest {
    pub server: Name,
    pub fence: FencingToken,
    pub have: Position,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullResponse {
    pub fence: FencingToken,
    /// The end that was asked with: what comes goes on from there.
    pub have: Position,
    pub commit: u64,
    pub recs: Vec<LogRecord>,
    /// The replica's log differs: each fence of the primary's log with its last number.
    pub fences: Option<Vec<Position>>,
}

impl LogRecord {
    /// The record in a word, without what it holds.
    pub fn summary(&self) -> String {
        let what = match &self.kind {
            RecordKind::Start => "start".into(),
            RecordKind::Commit { key, .. } => format!("commit {key}"),
            RecordKind::Seal { key } => format!("seal {key}"),
        };
        format!("{}.{} {what}", self.position.fence, self.position.number)
    }
}

impl Database {
    pub fn new(name: &str) -> Self {
        Self { name: name.into(), ..Default::default() }
    }
    /// What is left after a crash: everything that was written as a line.
    pub fn replay(name: &str, lines: impl Iterator<Item = DiskRecord>) -> Self {
        let mut d = Self::new(name);
        for l in lines {
            match l {
                DiskRecord::Append(r) => d.log.push(r),
                DiskRecord::Truncate(n) => d.log.truncate(n as usize),
                DiskRecord::Fence(f, r) => (d.fence, d.role) = (f, r),
                DiskRecord::Voters(c) => d.voters = c,
            }
        }
        d.readable_at = d.log.len() as u64;
        d
    }
    pub fn log_end(&self) -> Position {
        self.log.last().map_or(Position::default(), |r| r.position)
    }
    /// The last visible position.
    pub fn commit_position(&self) -> Position {
        let at = self.commit.checked_sub(1).and_then(|i| self.log.get(i as usize));
        at.map_or(Position::default(), |r| r.position)
    }
    fn append(&mut self, kind: RecordKind) -> u64 {
        let n = self.log.len() as u64 + 1;
        let r = LogRecord { position: Position { fence: self.fence, number: n }, kind };
        self.unwritten.push(DiskRecord::Append(r.clone()));
        self.log.push(r);
        n
    }
    /// From now on lower fences are declined; a primary under one leads no more.
    pub fn set_fence(&mut self, f: FencingToken) -> bool {
        if f > self.fence {
            self.fence = f;
            self.role = Role::Replica;
            self.replicated_to.clear();
            self.unwritten.push(DiskRecord::Fence(f, self.role));
        }
        f >= self.fence
    }
    /// Leads from now on; only these others count towards its commits, or any if none are named.
    pub fn promote(&mut self, f: FencingToken, counts: Vec<Name>) -> bool {
        if f < self.fence {
            return false;
        }
        if self.role == Role::Primary && self.fence == f {
            return true;
        }
        self.fence = f;
        self.role = Role::Primary;
        self.replicated_to.clear();
        self.unwritten.push(DiskRecord::Fence(f, self.role));
        self.unwritten.push(DiskRecord::Voters(counts.clone()));
        self.voters = counts;
        self.readable_at = self.append(RecordKind::Start);
        true
    }
    /// May this primary answer reads? Before, it could miss what its forerunner acknowledged.
    pub fn is_readable(&self) -> bool {
        self.role == Role::Replica || self.commit >= self.readable_at
    }
    /// Makes a primary look as if part of its log were not visible: a test's way to one that is starting.
    #[doc(hidden)]
    pub fn set_unreadable_for_test(&mut self, on: bool) {
        self.readable_at = if on { u64::MAX } else { 0 };
    }
    pub fn is_primary_under(&self, f: FencingToken) -> bool {
        self.role == Role::Primary && self.fence == f
    }

    pub fn outcome(&self, key: &str) -> KeyOutcome {
        self.outcomes.get(key).cloned().unwrap_or_else(|| {
            let at = self.log[self.commit as usize..].iter().find(|r| match &r.kind {
                RecordKind::Commit { key: k, .. } | RecordKind::Seal { key: k } => k == key,
                RecordKind::Start => false,
            });
            at.map_or(KeyOutcome::NotCommitted, |r| KeyOutcome::Pending(r.position.number))
        })
    }
    /// Appends a commit; whoever calls waits until `commit` has reached the number.
    pub fn add_commit(&mut self, key: &str, sum: &str, writes: Vec<Write>, rows: Value) -> u64 {
        self.append(RecordKind::Commit { key: key.into(), sum: sum.into(), writes, rows })
    }
    pub fn add_seal(&mut self, key: &str) -> u64 {
        self.append(RecordKind::Seal { key: key.into() })
    }
    /// True while the record at `n` is the one this primary wrote under `f`.
    pub fn wrote_under(&self, n: u64, f: FencingToken) -> bool {
        self.log.get(n as usize - 1).is_some_and(|r| r.position.fence == f)
    }

    pub(crate) fn commit_up_to(&mut self, n: u64) {
        while self.commit < n {
            let kind = self.log[self.commit as usize].kind.clone();
            self.commit += 1;
            match kind {
                RecordKind::Start => {}
                RecordKind::Seal { key } => {
                    self.outcomes.entry(key).or_insert(KeyOutcome::Sealed);
                }
                RecordKind::Commit { key, sum, writes, rows } => {
                    writes.into_iter().for_each(|w| apply_write(&mut self.values, w));
                    self.outcomes.insert(key, KeyOutcome::Committed { sum, rows });
                }
            }
        }
    }
}

/// Does one write to a table of values.
pub fn apply_write(kv: &mut BTreeMap<String, Value>, w: Write) {
    match w {
        Write::Put(k, v) => {
            kv.insert(k, v);
        }
        Write::Append(k, v) => {
            let e = kv.entry(k).or_insert_with(|| Value::Array(vec![]));
            if let Some(a) = e.as_array_mut() {
                a.push(v);
            }
        }
        Write::Add(k, d) => {
            let e = kv.entry(k).or_insert(Value::from(0));
            *e = Value::from(e.as_i64().unwrap_or(0) + d);
        }
    }
}
