//! The history of a run as callers observed it, and the checks of its safety and recovery rules (N1 to N12 of
//! docs/design.md).
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
    /// A server committed the order or answered the request.
    Committed,
    /// The nodes accepted the call; no server was involved.
    Accepted,
    /// The call was not applied.
    NotApplied,
    /// Whether the call was applied is unknown.
    Unknown,
    /// No reply arrived: the node or the connection to it failed.
    NoReply,
}

/// An order under its idempotency key, with every time it was sent or its outcome was queried.
#[derive(Clone, Debug, Serialize)]
pub struct AttemptRecord {
    /// Group that the order was sent to.
    pub group: String,
    /// List that the order appends to.
    pub list: String,
    /// Idempotency key of the order.
    pub key: String,
    /// How each call about the order ended, with the times of its request and of its reply.
    pub ends: Vec<(CallEnd, Millis, Millis)>,
    /// A reply said that the key is sealed: the order can never be committed.
    pub sealed: bool,
}

/// An answered lookup of a list.
#[derive(Clone, Debug, Serialize)]
pub struct ReadRecord {
    /// Group of the list.
    pub group: String,
    /// The list.
    pub list: String,
    /// The lookup had to be read at the primary, where it must see every acknowledged order.
    pub order_side: bool,
    /// When the lookup was sent.
    pub asked: Millis,
    /// When the reply arrived, shortly after the node forwarded it.
    pub answered: Millis,
    /// Orders in the list.
    pub seen: BTreeSet<String>,
    /// Server that answered.
    pub server: String,
    /// Node that forwarded the answer.
    pub node: String,
}

/// A successful reply as its caller received it.
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

/// The statement that a caller sent under one mark, and how often.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SentStatement {
    /// Text of the statement.
    pub text: String,
    /// Its parameters.
    pub params: Value,
    /// How often it was sent.
    pub times: usize,
    /// Nodes may retry the statement on several servers, because it is a lookup.
    pub retryable: bool,
}

/// The outcome of one order or lookup as its caller observed it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ServedCall {
    /// When the call was sent.
    pub asked: Millis,
    /// When the call ended.
    pub ended: Millis,
    /// Whether the call succeeded.
    pub succeeded: bool,
    /// Result code of the reply; 0 if the call succeeded or had no reply.
    pub code: u64,
}

/// A push that was acknowledged.
#[derive(Clone, Debug, Serialize)]
pub struct AcknowledgedPush {
    /// The configuration version that the push created.
    pub version: u64,
    /// When the operator received the acknowledgement.
    pub acked: Millis,
}

/// How a push ended for its operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum PushEnd {
    /// The push created this configuration version.
    Version(u64),
    /// The push was rejected with this result code.
    Rejected(u64),
    /// No reply arrived before the deadline.
    NoReply,
}

/// A push under its idempotency key, with every time it was sent.
#[derive(Clone, Debug, Serialize)]
pub struct PushAttempt {
    /// Idempotency key of the push.
    pub key: String,
    /// The configuration version that the push is based on.
    pub base: u64,
    /// Race that the push belongs to: concurrent pushes based on the same version.
    pub race: Option<u64>,
    /// Whether the configuration is valid.
    pub valid: bool,
    /// Whether a majority of the voters was up and reachable the whole time.
    pub majority_up: bool,
    /// When the push was first sent.
    pub asked: Millis,
    /// How each sending ended, with its time.
    pub ends: Vec<(PushEnd, Millis)>,
}

/// The configuration version that a request ran under.
#[derive(Clone, Debug, Serialize)]
pub struct VersionRecord {
    /// The node.
    pub node: String,
    /// When the request was sent.
    pub asked: Millis,
    /// When the reply arrived.
    pub answered: Millis,
    /// The version.
    pub version: u64,
}

/// Everything that the callers and operators of a run observed.
#[derive(Debug, Default, Serialize)]
pub struct History {
    /// Orders by idempotency key.
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
    /// Violations detected during the run: lost session state, a process that did not stop.
    pub violations: Vec<String>,
    /// Ended orders and lookups by group and kind (`order` or `lookup`).
    pub served: BTreeMap<(String, &'static str), Vec<ServedCall>>,
    /// Number of replies that arrived later than their deadline allows.
    pub late_replies: u64,
    /// Whether the checks expect an acknowledged configuration to be in force immediately, as in the simulator.
    pub immediate_effect: bool,
}

/// The data and journals of the servers after the run.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Lists by group and name, in the order committed, as the primary holds them.
    pub lists: BTreeMap<(String, String), Vec<String>>,
    /// Committed logs by group, each with the name of its server: the primary's first, then the other servers'.
    pub logs: BTreeMap<String, Vec<(String, Vec<String>)>>,
    /// The journal of each server.
    pub journals: BTreeMap<String, Vec<JournalEntry>>,
}

/// A history that callers share.
pub type SharedHistory = Mutex<History>;

/// A lookup may miss orders that were acknowledged within this time before its reply (N6).
pub const MAX_STALENESS: Millis = 1_500;
/// An acknowledged configuration is in force on every node after this time (N10).
pub const MAX_APPLY_DELAY: Millis = 3_000;
/// Service must have recovered within this time after a final fault (N12).
pub const MAX_RECOVERY: Millis = 12_000;
/// A valid push has its final answer within this time while a majority of the voters is up (N11): a node's lease has to
/// run out, the chain has to be repaired, and one call may be lost.
pub const MAX_PUSH_TIME: Millis = 12_000;
/// Allowance for the time from a node's forwarding of an answer to the caller's recording of it.
pub const OBSERVATION_SLACK: Millis = 250;

/// The statements and session state that callers sent.
#[derive(Clone, Debug, Default)]
pub struct SentStatements {
    /// Statements by mark.
    pub marks: BTreeMap<String, SentStatement>,
    /// Settings and prepared statements of sessions.
    pub session_state: BTreeSet<String>,
}

/// Returns every violation as a line that begins with the number of its check.
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

/// Returns the longest time without an acknowledged order after `at`, by group.
pub fn longest_gaps_after(history: &History, at: Millis) -> BTreeMap<String, Millis> {
    let orders = history.served.iter().filter(|((_, kind), _)| *kind == "order");
    let gap = |calls: &[ServedCall]| recovery::longest_gap(calls, at);
    orders.map(|((group, _), calls)| (group.clone(), gap(calls))).collect()
}
