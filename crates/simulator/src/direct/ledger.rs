//! What clients sent and learned, and what servers executed: violations are found call by call, or at the end.
//!
//! Each violation is a line that begins with the name of its check: TWICE, REFUSED, LOST, UNASKED, PINNED, STALE, MIXED.
use super::connection::Connection;
use super::sent_statement::{SentStatement, StampedAnswer};
use super::server::{LogEntry, Server};
use bytes::Bytes;
use quincehatch_core::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A lookup may miss what was acknowledged no longer ago than that.
pub const STALENESS_BOUND: Millis = 1_500;
/// Violations that are kept at most.
const MAX_REPORTED: usize = 20;

/// A commit whose client learned of it.
struct Acknowledgement {
    at: Millis,
    entry: Arc<LogEntry>,
}

/// A version of the configuration that was acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct AcknowledgedVersion {
    /// Its number.
    pub number: u64,
    /// When it was acknowledged.
    pub at: Millis,
}

/// A statement that is about to be executed.
pub struct Execution<'state> {
    /// Now.
    pub now: Millis,
    /// Id of the statement.
    pub id: u64,
    /// The connection it came on.
    pub connection: &'state Connection,
    /// The server that executes it.
    pub server: &'state Server,
    /// Entries of the server's log that it sees.
    pub visible: usize,
}

/// What is known of a run's statements.
#[derive(Default)]
pub struct Ledger {
    /// Statements by id.
    pub sent: BTreeMap<u64, SentStatement>,
    /// What each stamp was given for.
    answers_by_stamp: BTreeMap<Bytes, StampedAnswer>,
    /// Commits by the id of the single write or of the COMMIT.
    commit_by_id: BTreeMap<u64, Arc<LogEntry>>,
    committed_writes: BTreeSet<u64>,
    acknowledged: Vec<Acknowledgement>,
    /// Acknowledgements of a commit above all before.
    highest_acknowledged: Vec<Acknowledgement>,
    /// Writes whose client was told that they are not applied.
    rejected_writes: BTreeSet<u64>,
    /// Violations found so far.
    pub violations: Vec<String>,
    /// Reads that servers executed.
    pub reads: usize,
    /// Statements sent so far; the last one's id.
    pub statements: usize,
    /// Acknowledged versions of the configuration.
    pub config_versions: Vec<AcknowledgedVersion>,
    /// What happened, for the report of a violation.
    pub event_log: Vec<String>,
}

impl Ledger {
    /// Keeps a violation, up to a limit.
    pub fn record_violation(&mut self, violation: String) {
        if self.violations.len() < MAX_REPORTED {
            self.violations.push(violation);
        }
    }

    /// The id of a new statement.
    pub fn next_statement_id(&mut self) -> u64 {
        self.statements += 1;
        self.statements as u64
    }

    /// Writes took effect, in the commit of that id.
    pub fn record_commit(&mut self, now: Millis, id: u64, entry: &Arc<LogEntry>) {
        let position = entry.position;
        for write in &entry.writes {
            if !self.committed_writes.insert(*write) {
                self.record_violation(format!("TWICE at {now}: write {write} again in {position:?}"));
            }
            if self.rejected_writes.contains(write) {
                self.record_violation(format!(
                    "REFUSED at {now}: write {write} is committed in {position:?}"
                ));
            }
        }
        self.commit_by_id.insert(id, entry.clone());
    }

    /// A client learned that its commit succeeded.
    pub fn record_acknowledgement(&mut self, now: Millis, id: u64) {
        let Some(entry) = self.commit_by_id.get(&id).cloned() else {
            let violation = format!("LOST at {now}: {id} was acknowledged and never committed");
            return self.record_violation(violation);
        };
        let highest = self.highest_acknowledged.last();
        if highest.is_none_or(|highest| highest.entry.position < entry.position) {
            self.highest_acknowledged.push(Acknowledgement { at: now, entry: entry.clone() });
        }
        self.acknowledged.push(Acknowledgement { at: now, entry });
    }

    /// Times of all acknowledgements.
    pub fn acknowledgement_times(&self) -> impl ExactSizeIterator<Item = Millis> + '_ {
        self.acknowledged.iter().map(|acknowledgement| acknowledgement.at)
    }

    /// The highest commit acknowledged before `at`.
    fn highest_acknowledged_before(&self, at: Millis) -> Option<&Arc<LogEntry>> {
        let count = self.highest_acknowledged.partition_point(|acknowledged| acknowledged.at < at);
        count.checked_sub(1).map(|last| &self.highest_acknowledged[last].entry)
    }

    /// Checks a statement that is about to be executed.
    pub fn check_execution(&mut self, execution: &Execution<'_>) {
        let Execution { now, id, server, .. } = *execution;
        let Some(sent) = self.sent.get(&id).cloned() else {
            return self.record_violation(format!("UNASKED at {now}: {id} on {}", server.name));
        };
        self.check_session(execution, &sent);
        if !sent.write && !sent.commit {
            self.reads += 1;
            self.check_freshness(execution, &sent);
        }
    }

    /// The connection wears the client's session and is in the client's transaction.
    fn check_session(&mut self, execution: &Execution<'_>, sent: &SentStatement) {
        let Execution { now, id, connection, server, .. } = *execution;
        let name = &server.name;
        if connection.values != sent.values {
            let (worn, wanted) = (&connection.values, &sent.values);
            self.record_violation(format!(
                "PINNED at {now}: {id} on {name} with {worn:?} instead of {wanted:?}"
            ));
        }
        let open = &connection.transaction;
        let fits = match (open, sent.transaction) {
            (None, None) => true,
            (Some(open), Some(own)) => {
                open.client_transaction.is_none_or(|id| id == own.id) && open.read_only == own.read_only
            }
            _ => false,
        };
        if !fits {
            let own = sent.transaction;
            self.record_violation(format!("PINNED at {now}: {id} of {own:?} in {open:?} on {name}"));
        }
    }

    /// A read misses nothing that was acknowledged before it; at a replica, nothing older than the bound.
    fn check_freshness(&mut self, execution: &Execution<'_>, sent: &SentStatement) {
        let Execution { now, id, server, visible, .. } = *execution;
        let needed_from =
            if sent.at_primary { sent.sent_at } else { sent.sent_at.saturating_sub(STALENESS_BOUND) };
        let needed = self.highest_acknowledged_before(needed_from);
        let Some(missing) = needed.filter(|entry| !server.holds(entry, visible)) else { return };
        let kind = if sent.at_primary { "a read at the primary" } else { "a lookup" };
        let at = visible.checked_sub(1).and_then(|last| server.log.get(last)).map(|entry| entry.position);
        let violation = format!(
            "STALE at {now}: {kind} {id} from {} on {} at {at:?} lacks {:?}",
            sent.sent_at, server.name, missing.position
        );
        self.record_violation(violation);
    }

    /// Notes a success under a new stamp.
    pub fn stamp(&mut self, server: &str, answer: StampedAnswer) -> Bytes {
        let stamp = Bytes::from(format!("{server}.{:x}", self.answers_by_stamp.len()));
        self.answers_by_stamp.insert(stamp.clone(), answer);
        stamp
    }

    /// A client was told that this succeeded: some server said so, of this very statement.
    pub fn check_success(&mut self, now: Millis, id: u64, stamp: Option<&Bytes>, rows: &[Bytes]) {
        let given = stamp.and_then(|stamp| self.answers_by_stamp.get(stamp));
        if given.is_none_or(|given| given.statement != id || given.rows != rows) {
            self.record_violation(format!("MIXED at {now}: {id} with {stamp:?} given for {given:?}"));
        }
    }

    /// A client was told that these writes are not applied.
    pub fn record_rejection(&mut self, now: Millis, writes: &[u64]) {
        for write in writes {
            self.rejected_writes.insert(*write);
            if self.committed_writes.contains(write) {
                self.record_violation(format!(
                    "REFUSED at {now}: write {write} was committed before its rejection"
                ));
            }
        }
    }

    /// A server's log holds all that was acknowledged.
    pub fn check_log_complete(&mut self, now: Millis, server: &Server, when: &str) {
        let is_missing =
            |acknowledged: &&Acknowledgement| !server.holds(&acknowledged.entry, server.log.len());
        let missing: Vec<&Acknowledgement> = self.acknowledged.iter().filter(is_missing).collect();
        let Some(first) = missing.first() else { return };
        let violation = format!(
            "LOST at {now}: {} {when} at {:?} lacks {}, first {:?} acknowledged at {}",
            server.name,
            server.log_end(),
            missing.len(),
            first.entry.position,
            first.at
        );
        self.record_violation(violation);
    }
}
