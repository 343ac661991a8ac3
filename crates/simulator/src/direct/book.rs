//! What origins asked and were told, and what servers ran: each breach is seen by call where it happens, or at the end.
use super::site::{Entry, Link, Server};
use bytes::Bytes;
use quincehatch_core::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A lookup may miss what was acknowledged no longer ago than that.
pub const FRESH: Millis = 1_500;
const MOST: usize = 20;

/// One statement as its origin sent it.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    pub text: Bytes,
    /// The prepared text that its name stands for.
    pub shape: Option<(bool, Bytes)>,
    pub values: BTreeMap<Bytes, Bytes>,
    /// Its transaction, and whether that one only reads.
    pub txn: Option<(u64, bool)>,
    pub write: bool,
    pub commit: bool,
    /// On the side that may miss nothing.
    pub order: bool,
    /// Its first byte, or its transaction's.
    pub from: Millis,
}

#[derive(Default)]
pub struct Book {
    pub asked: BTreeMap<u64, Asked>,
    /// What each stamp was given for.
    pub answers_by_stamp: BTreeMap<Bytes, (u64, Vec<Bytes>)>,
    /// The commits of each id: of a single write or of a COMMIT.
    pub commits: BTreeMap<u64, Arc<Entry>>,
    pub ran: BTreeSet<u64>,
    /// When what was acknowledged, and the highest of all until then.
    pub acked: Vec<(Millis, Arc<Entry>)>,
    top: Vec<(Millis, Arc<Entry>)>,
    /// Writes whose origin was told that nothing is kept.
    pub refused: BTreeSet<u64>,
    pub breaches: Vec<String>,
    pub reads: usize,
    pub tries: usize,
    /// Versions of the blueprint: when each was acknowledged.
    pub versions: Vec<(u64, Millis)>,
    pub event_log: Vec<String>,
}

impl Book {
    pub fn record_violation(&mut self, s: String) {
        if self.breaches.len() < MOST {
            self.breaches.push(s);
        }
    }
    /// A write took effect, in this commit of that id.
    pub fn committed(&mut self, now: Millis, id: u64, e: &Arc<Entry>) {
        for w in &e.ids {
            if !self.ran.insert(*w) {
                self.record_violation(format!("TWICE at {now}: write {w} again in {:?}", e.at));
            }
            if self.refused.contains(w) {
                self.record_violation(format!("REFUSED at {now}: write {w} is committed in {:?}", e.at));
            }
        }
        self.commits.insert(id, e.clone());
    }
    pub fn record_acknowledgement(&mut self, now: Millis, id: u64) {
        let Some(e) = self.commits.get(&id).cloned() else {
            return self
                .record_violation(format!("LOST at {now}: {id} was acknowledged and never committed"));
        };
        if self.top.last().is_none_or(|(_, t)| t.at < e.at) {
            self.top.push((now, e.clone()));
        }
        self.acked.push((now, e));
    }
    /// The highest commit acknowledged before then.
    fn highest_acknowledged_before(&self, t: Millis) -> Option<&Arc<Entry>> {
        let n = self.top.partition_point(|(at, _)| *at < t);
        n.checked_sub(1).map(|i| &self.top[i].1)
    }

    /// A statement is about to run on a server that holds `sees` of its log.
    pub fn check_execution(&mut self, now: Millis, id: u64, l: &Link, s: &Server, sees: usize) {
        let Some(a) = self.asked.get(&id).cloned() else {
            return self.record_violation(format!("UNASKED at {now}: {id} on {}", s.name));
        };
        if l.values != a.values {
            let why = format!("{id} on {} with {:?} instead of {:?}", s.name, l.values, a.values);
            self.record_violation(format!("PINNED at {now}: {why}"));
        }
        let within = l.txn.as_ref().map(|t| (t.of, t.read));
        let fits = match (within, a.txn) {
            (None, None) => true,
            (Some((of, read)), Some((x, r))) => of.is_none_or(|of| of == x) && read == r,
            _ => false,
        };
        if !fits {
            self.record_violation(format!(
                "PINNED at {now}: {id} of {:?} in {within:?} on {}",
                a.txn, s.name
            ));
        }
        if a.write || a.commit {
            return;
        }
        self.reads += 1;
        let by = if a.order { a.from } else { a.from.saturating_sub(FRESH) };
        if let Some(e) = self.highest_acknowledged_before(by).filter(|e| !s.holds(e, sees)).cloned() {
            let side = if a.order { "an order's read" } else { "a lookup" };
            let at = s.log.get(sees.wrapping_sub(1)).map(|e| e.at);
            self.record_violation(format!(
                "STALE at {now}: {side} {id} from {} on {} at {at:?} lacks {:?}",
                a.from, s.name, e.at
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
    pub fn promised(&mut self, now: Millis, writes: &[u64]) {
        for w in writes {
            self.refused.insert(*w);
            if self.ran.contains(w) {
                self.record_violation(format!(
                    "REFUSED at {now}: write {w} was committed before the promise"
                ));
            }
        }
    }
    /// What of the acknowledged a log lacks.
    pub fn lost(&mut self, now: Millis, s: &Server, when: &str) {
        let lacks = self.acked.iter().filter(|(_, e)| !s.holds(e, s.log.len()));
        let all: Vec<_> = lacks.map(|(at, e)| format!("{:?} acknowledged at {at}", e.at)).collect();
        if let Some(first) = all.first() {
            let n = all.len();
            self.record_violation(format!(
                "LOST at {now}: {} {when} at {:?} lacks {n}, first {first}",
                s.name,
                s.end()
            ));
        }
    }
}
