//! What callers saw, and the checks of it against what must never happen (N1 to N12 of docs/design.md).
mod answers;
mod orders;
mod pushes;
mod recovery;

use crate::stand_in::journal::JournalEntry;
use quincehatch_core::Millis;
pub use recovery::{MAX_GAP, MIN_SUCCESS_PERCENT, Window};
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum CallEnd {
    /// A server committed it, or answered it.
    Committed,
    /// The nodes took it on; no server was asked.
    Accepted,
    /// It is not applied.
    NotApplied,
    /// Whether it is applied is not known.
    Unknown,
    /// No answer came: the node, or the way to it, broke.
    NoReply,
}

/// One attempt of an order, every time it was sent or asked after.
#[derive(Clone, Debug, Serialize)]
pub struct AttemptRecord {
    /// Group that it was sent to.
    pub group: String,
    /// List that it appends to.
    pub list: String,
    /// Its idempotency key.
    pub key: String,
    /// Every end that was told, with the time of asking and of the answer.
    pub ends: Vec<(CallEnd, Millis, Millis)>,
    /// It was told to be sealed: it can never be committed.
    pub sealed: bool,
}

/// A lookup of a list.
#[derive(Clone, Debug, Serialize)]
pub struct ReadRecord {
    /// Group of the list.
    pub group: String,
    /// The list.
    pub list: String,
    /// It was to be read at the primary, where nothing may be missed.
    pub order_side: bool,
    /// When it was sent.
    pub asked: Millis,
    /// When the answer came: the node passed it on a moment before.
    pub answered: Millis,
    /// Orders in the list.
    pub seen: BTreeSet<String>,
    /// Server that answered.
    pub server: String,
    /// Node that passed the answer on.
    pub node: String,
}

/// A success as its caller got it.
#[derive(Clone, Debug, Serialize)]
pub struct AnswerRecord {
    /// Path of the call.
    pub path: String,
    /// The idempotency key, or the mark among the parameters; empty for `begin` and `rollback`.
    pub id: String,
    /// The server's stamp.
    pub stamp: Value,
    /// The rows.
    pub rows: Value,
}

/// What a caller sent under one mark, and how often.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SentStatement {
    /// Text of the statement.
    pub text: String,
    /// Its parameters.
    pub params: Value,
    /// How often it was sent.
    pub times: usize,
    /// A lookup may be retried on several servers.
    pub retryable: bool,
}

/// One order or lookup as a caller had it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ServedCall {
    /// When it was sent.
    pub asked: Millis,
    /// When it was over.
    pub ended: Millis,
    /// It succeeded.
    pub succeeded: bool,
    /// The result it ended with; 0 if it succeeded or had no answer.
    pub code: u64,
}

/// A push that was acknowledged.
#[derive(Clone, Debug, Serialize)]
pub struct AcknowledgedPush {
    /// The version that it became.
    pub version: u64,
    /// When its operator learned it.
    pub acked: Millis,
}

/// How a push ended for its operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum PushEnd {
    /// It became this version.
    Version(u64),
    /// It was rejected with this result.
    Rejected(u64),
    /// No answer came, or none in time.
    NoReply,
}

/// A push under its key, every time it was sent.
#[derive(Clone, Debug, Serialize)]
pub struct PushAttempt {
    /// Its key.
    pub key: String,
    /// The version it builds on.
    pub base: u64,
    /// Pushes of one race build on one version at one time.
    pub race: Option<u64>,
    /// The configuration is valid.
    pub valid: bool,
    /// A majority of the voters was up and could be reached all along.
    pub majority_up: bool,
    /// When it was first sent.
    pub asked: Millis,
    /// Every end, with its time.
    pub ends: Vec<(PushEnd, Millis)>,
}

/// The version that a request ran under.
#[derive(Clone, Debug, Serialize)]
pub struct VersionRecord {
    /// The node.
    pub node: String,
    /// When the request was sent.
    pub asked: Millis,
    /// When the answer came.
    pub answered: Millis,
    /// The version.
    pub version: u64,
}

/// Everything that callers and operators of a run saw.
#[derive(Debug, Default, Serialize)]
pub struct History {
    /// Attempts of orders by key.
    pub attempts: BTreeMap<String, AttemptRecord>,
    /// Lookups that were answered.
    pub reads: Vec<ReadRecord>,
    /// Pushes that were acknowledged.
    pub pushes: Vec<AcknowledgedPush>,
    /// All pushes.
    pub push_attempts: Vec<PushAttempt>,
    /// Versions that requests ran under.
    pub versions: Vec<VersionRecord>,
    /// Successes.
    pub answers: Vec<AnswerRecord>,
    /// Violations seen as they happened: lost session state, a process that did not stop.
    pub violations: Vec<String>,
    /// Orders and lookups, by group and kind.
    pub served: BTreeMap<(String, &'static str), Vec<ServedCall>>,
    /// Answers that came later than their deadline allows.
    pub late_replies: u64,
    /// An acknowledged configuration is held to be in force at once, as in the simulator.
    pub immediate_effect: bool,
}

/// What the servers hold and did, once all is quiet again.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Lists by group and name, in the order committed, as the primary holds them.
    pub lists: BTreeMap<(String, String), Vec<String>>,
    /// Visible logs by group: the primary's first, then the other servers' by name.
    pub logs: BTreeMap<String, Vec<(String, Vec<String>)>>,
    /// What each server did.
    pub journals: BTreeMap<String, Vec<JournalEntry>>,
}

/// A history that callers share.
pub type SharedHistory = Mutex<History>;

/// A lookup may miss what was acknowledged no longer ago than that (N6).
pub const MAX_STALENESS: Millis = 1_500;
/// An acknowledged configuration is in force everywhere after so long (N10).
pub const MAX_APPLY_DELAY: Millis = 3_000;
/// Service is back so long after a final fault (N12).
pub const MAX_RECOVERY: Millis = 12_000;
/// A valid push has its final answer within this time while a majority of the voters is up (N11): a node's lease has to
/// run out, the chain has to be repaired, and one call may be lost.
pub const MAX_PUSH_TIME: Millis = 12_000;
/// What may pass between a node's passing an answer on and its caller's recording it.
pub const OBSERVATION_SLACK: Millis = 250;

/// All that callers sent.
#[derive(Clone, Debug, Default)]
pub struct SentStatements {
    /// Statements by mark.
    pub marks: BTreeMap<String, SentStatement>,
    /// Settings and prepared statements of sessions.
    pub session_state: BTreeSet<String>,
}

/// Every violation, as a line that begins with the number of its check.
pub fn check_history(
    history: &History,
    facts: &Facts,
    sent: &SentStatements,
    faults: &[(Millis, String)],
    end: Millis,
) -> Vec<String> {
    let mut violations = history.violations.clone();
    orders::check_orders(history, facts, &mut violations);
    orders::check_logs(facts, &mut violations);
    orders::check_reads(history, &mut violations);
    answers::check_answers(history, facts, &mut violations);
    answers::check_statements(facts, sent, &mut violations);
    answers::check_drain(facts, &mut violations);
    orders::check_versions(history, &mut violations);
    pushes::check_pushes(history, &mut violations);
    recovery::check_recovery(history, faults, end, &mut violations);
    violations
}

/// The longest time without an acknowledged order after `at`, by group.
pub fn longest_gaps_after(history: &History, at: Millis) -> BTreeMap<String, Millis> {
    let orders = history.served.iter().filter(|((_, kind), _)| *kind == "order");
    let gap = |calls: &[ServedCall]| recovery::longest_gap(calls, at);
    orders.map(|((group, _), calls)| (group.clone(), gap(calls))).collect()
}
