//! The record of what clients sent, what servers executed and committed, and what responses clients received. The
//! checks compare them at each call and at the end of the run.
//!
//! Each violation is a line that begins with the name of its check: TWICE, REFUSED, LOST, UNASKED, PINNED, STALE,
//! MIXED.
use super::connection::Connection;
use super::sent_statement::{SentStatement, StampedAnswer};
use super::server::{LogEntry, Server};
use bytes::Bytes;
use quincehatch_core::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A lookup may miss commits that were acknowledged less than this before it was sent.
pub const STALENESS_BOUND: Millis = 1_500;
/// Maximum number of violations that are retained.
const MAX_REPORTED: usize = 20;

/// A commit that was acknowledged to its client.
struct Acknowledgement {
    at: Millis,
    entry: Arc<LogEntry>,
}

/// An acknowledged version of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct AcknowledgedVersion {
    /// The version's number.
    pub number: u64,
    /// When the version was acknowledged.
    pub at: Millis,
}

/// A statement that is about to be executed.
pub struct Execution<'state> {
    /// The current time.
    pub now: Millis,
    /// Id of the statement.
    pub id: u64,
    /// The connection on which the statement arrived.
    pub connection: &'state Connection,
    /// The server that executes the statement.
    pub server: &'state Server,
    /// Number of entries of the server's log that the statement sees.
    pub visible: usize,
}

/// The statements of a run, their commits and answers, and the violations found.
#[derive(Default)]
pub struct Ledger {
    /// Statements by id.
    pub sent: BTreeMap<u64, SentStatement>,
    /// The answer that each stamp marks.
    answers_by_stamp: BTreeMap<Bytes, StampedAnswer>,
    /// Commits by the id of the single write or of the COMMIT.
    commit_by_id: BTreeMap<u64, Arc<LogEntry>>,
    committed_writes: BTreeSet<u64>,
    acknowledged: Vec<Acknowledgement>,
    /// The acknowledgements whose commit is at a higher position than all acknowledged before it.
    highest_acknowledged: Vec<Acknowledgement>,
    /// Writes that were reported to their client as not applied.
    rejected_writes: BTreeSet<u64>,
    /// Violations found so far.
    pub violations: Vec<String>,
    /// Number of reads that servers executed.
    pub reads: usize,
    /// Number of statements so far, which is the id of the last one.
    pub statements: usize,
    /// Acknowledged versions of the configuration.
    pub config_versions: Vec<AcknowledgedVersion>,
    /// Log of events, for the report of a violation.
    pub event_log: Vec<String>,
}

impl Ledger {
    /// Records a violation, up to [`MAX_REPORTED`].
    pub fn record_violation(&mut self, violation: String) {
        if self.violations.len() < MAX_REPORTED {
            self.violations.push(violation);
        }
    }

    /// Returns the id for a new statement.
    pub fn next_statement_id(&mut self) -> u64 {
        self.statements += 1;
        self.statements as u64
    }

    /// Records a log entry as the commit with this id, and checks that none of its writes was committed or rejected
    /// before.
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

    /// Records that a client received the acknowledgement of its commit.
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

    /// Returns the times of all acknowledgements.
    pub fn acknowledgement_times(&self) -> impl ExactSizeIterator<Item = Millis> + '_ {
        self.acknowledged.iter().map(|acknowledgement| acknowledgement.at)
    }

    /// Returns the commit with the highest position among those acknowledged before `at`.
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

    /// Checks that the connection has the settings of the client's session and is in the client's transaction.
    fn check_session(&mut self, execution: &Execution<'_>, sent: &SentStatement) {
        let Execution { now, id, connection, server, .. } = *execution;
        let name = &server.name;
        if connection.session_settings != sent.session_settings {
            let (actual, expected) = (&connection.session_settings, &sent.session_settings);
            self.record_violation(format!(
                "PINNED at {now}: {id} on {name} with {actual:?} instead of {expected:?}"
            ));
        }
        let open = &connection.transaction;
        let is_expected = match (open, sent.transaction) {
            (None, None) => true,
            (Some(open), Some(own)) => {
                open.client_transaction.is_none_or(|id| id == own.id) && open.read_only == own.read_only
            }
            _ => false,
        };
        if !is_expected {
            let own = sent.transaction;
            self.record_violation(format!("PINNED at {now}: {id} of {own:?} in {open:?} on {name}"));
        }
    }

    /// Checks that a read at the primary sees every commit acknowledged before it was sent, and a lookup every commit
    /// acknowledged more than [`STALENESS_BOUND`] before.
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

    /// Records a successful answer under a new stamp.
    pub fn stamp(&mut self, server: &str, answer: StampedAnswer) -> Bytes {
        let stamp = Bytes::from(format!("{server}.{:x}", self.answers_by_stamp.len()));
        self.answers_by_stamp.insert(stamp.clone(), answer);
        stamp
    }

    /// Checks that a success reported to a client is a server's answer to the same statement.
    pub fn check_success(&mut self, now: Millis, id: u64, stamp: Option<&Bytes>, rows: &[Bytes]) {
        let given = stamp.and_then(|stamp| self.answers_by_stamp.get(stamp));
        if given.is_none_or(|given| given.statement != id || given.rows != rows) {
            self.record_violation(format!("MIXED at {now}: {id} with {stamp:?} given for {given:?}"));
        }
    }

    /// Records that a client was told that these writes are not applied, and checks that they are not committed.
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

    /// Checks that a server's log contains every acknowledged commit.
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
