//! What origins asked and were told, and what servers ran: each breach is seen by call where it happens, or at the end.
use super::server_group::{LogEntry, Server, ServerLink};
use bytes::Bytes;
use quincehatch_core::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A lookup may miss what was acknowledged no longer ago than that.
pub const STALENESS_BOUND: Millis = 1_500;
const MAX_REPORTED: usize = 20;

/// One statement as its origin sent it.
#[derive(Clone, Debug, Default)]
pub struct SentStatement {
    pub text: Bytes,
    /// The prepared text that its name stands for.
    pub prepared: Option<(bool, Bytes)>,
    pub values: BTreeMap<Bytes, Bytes>,
    /// Its transaction, and whether that one only reads.
    pub transaction: Option<(u64, bool)>,
    pub write: bool,
    pub commit: bool,
    /// On the side that may miss nothing.
    pub at_primary: bool,
    /// Its first byte, or its transaction's.
    pub sent_at: Millis,
}

#[derive(Default)]
pub struct Ledger {
    pub sent: BTreeMap<u64, SentStatement>,
    /// What each stamp was given for.
    pub answers_by_stamp: BTreeMap<Bytes, (u64, Vec<Bytes>)>,
    /// The commits of each id: of a single write or of a COMMIT.
    pub commit_by_id: BTreeMap<u64, Arc<LogEntry>>,
    pub committed_writes: BTreeSet<u64>,
    /// When what was acknowledged, and the highest of all until then.
    pub acknowledged: Vec<(Millis, Arc<LogEntry>)>,
    highest_acknowledged: Vec<(Millis, Arc<LogEntry>)>,
    /// Writes whose origin was told that nothing is kept.
    pub rejected_writes: BTreeSet<u64>,
    pub violations: Vec<String>,
    pub reads: usize,
    pub statements: usize,
    /// Versions of the blueprint: when each was acknowledged.
    pub config_versions: Vec<(u64, Millis)>,
    pub event_log: Vec<String>,
}

impl Ledger {
    pub fn record_violation(&mut self, s: String) {
        if self.violations.len() < MAX_REPORTED {
            self.violations.push(s);
        }
    }
    /// A write took effect, in this commit of that id.
    pub fn record_commit(&mut self, now: Millis, id: u64, e: &Arc<LogEntry>) {
        for w in &e.writes {
            if !self.committed_writes.insert(*w) {
                self.record_violation(format!("TWICE at {now}: write {w} again in {:?}", e.position));
            }
            if self.rejected_writes.contains(w) {
                self.record_violation(format!(
                    "REFUSED at {now}: write {w} is committed in {:?}",
                    e.position
                ));
            }
        }
        self.commit_by_id.insert(id, e.clone());
    }
    pub fn record_acknowledgement(&mut self, now: Millis, id: u64) {
        let Some(e) = self.commit_by_id.get(&id).cloned() else {
            return self
                .record_violation(format!("LOST at {now}: {id} was acknowledged and never committed"));
        };
        if self.highest_acknowledged.last().is_none_or(|(_, t)| t.position < e.position) {
            self.highest_acknowledged.push((now, e.clone()));
        }
        self.acknowledged.push((now, e));
    }
    /// The highest commit acknowledged before then.
    fn highest_acknowledged_before(&self, t: Millis) -> Option<&Arc<LogEntry>> {
        let n = self.highest_acknowledged.partition_point(|(at, _)| *at < t);
        n.checked_sub(1).map(|i| &self.highest_acknowledged[i].1)
    }

    /// A statement is about to run on a server that holds `sees` of its log.
    pub fn check_execution(&mut self, now: Millis, id: u64, l: &ServerLink, s: &Server, sees: usize) {
        let Some(a) = self.sent.get(&id).cloned() else {
            return self.record_violation(format!("UNASKED at {now}: {id} on {}", s.name));
        };
        if l.values != a.values {
            let why = format!("{id} on {} with {:?} instead of {:?}", s.name, l.values, a.values);
            self.record_violation(format!("PINNED at {now}: {why}"));
        }
        let within = l.transaction.as_ref().map(|t| (t.client_transaction, t.read));
        let fits = match (within, a.transaction) {
            (None, None) => true,
            (Some((of, read)), Some((x, r))) => of.is_none_or(|of| of == x) && read == r,
            _ => false,
        };
        if !fits {
            self.record_violation(format!(
                "PINNED at {now}: {id} of {:?} in {within:?} on {}",
                a.transaction, s.name
            ));
        }
        if a.write || a.commit {
            return;
        }
        self.reads += 1;
        let by = if a.at_primary { a.sent_at } else { a.sent_at.saturating_sub(STALENESS_BOUND) };
        if let Some(e) = self.highest_acknowledged_before(by).filter(|e| !s.holds(e, sees)).cloned() {
            let side = if a.at_primary { "an order's read" } else { "a lookup" };
            let at = s.log.get(sees.wrapping_sub(1)).map(|e| e.position);
            self.record_violation(format!(
                "STALE at {now}: {side} {id} from {} on {} at {at:?} lacks {:?}",
                a.sent_at, s.name, e.position
            ));
        }
    }
    /// An origin was told that this succeeded.
    pub fn check_success(&mut self, now: Millis, id: u64, stamp: Option<&Bytes>, rows: &[Bytes]) {
        let given = stamp.and_then(|s| self.answers_by_stamp.get(s));
        if given.is_none_or(|(of, r)| *of != id || r != rows) {
            self.record_violation(format!("MIXED at {now}: {id} with {stamp:?} given for {given:?}"));
        }
    }
    /// A promise was given for these writes.
    pub fn record_rejection(&mut self, now: Millis, writes: &[u64]) {
        for w in writes {
            self.rejected_writes.insert(*w);
            if self.committed_writes.contains(w) {
                self.record_violation(format!(
                    "REFUSED at {now}: write {w} was committed before the promise"
                ));
            }
        }
    }
    /// What of the acknowledged a log lacks.
    pub fn check_log_complete(&mut self, now: Millis, s: &Server, when: &str) {
        let lacks = self.acknowledged.iter().filter(|(_, e)| !s.holds(e, s.log.len()));
        let all: Vec<_> = lacks.map(|(at, e)| format!("{:?} acknowledged at {at}", e.position)).collect();
        if let Some(first) = all.first() {
            let n = all.len();
            self.record_violation(format!(
                "LOST at {now}: {} {when} at {:?} lacks {n}, first {first}",
                s.name,
                s.log_end()
            ));
        }
    }
}
