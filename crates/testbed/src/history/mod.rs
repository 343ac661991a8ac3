//! What callers saw, and the checks of it against the BRIEF's must-nevers (§1, §9.4).
mod answers;
mod orders;
mod pushes;
mod recovery;

use crate::stand_in::journal::JournalEntry;
pub use recovery::{MAX_GAP, MIN_SUCCESS_PERCENT, Window};
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum CallEnd {
    Committed,
    /// The nodes took it on; no server was asked.
    Accepted,
    NotApplied,
    Unknown,
    /// No answer at all: the node or the way to it broke.
    NoReply,
}

/// One try of an order, every time it was sent or asked after.
#[derive(Clone, Debug, Serialize)]
pub struct AttemptRecord {
    pub group: String,
    pub list: String,
    pub key: String,
    /// Every end told, with the time of asking and of the answer.
    pub ends: Vec<(CallEnd, u64, u64)>,
    /// The last word was a seal: it can never be kept.
    pub sealed: bool,
}

/// A lookup of a list: who must be in it, and what came.
#[derive(Clone, Debug, Serialize)]
pub struct ReadRecord {
    pub group: String,
    pub list: String,
    pub order_side: bool,
    pub asked: u64,
    /// When the answer came: the node passed it on a moment before.
    pub answered: u64,
    pub seen: BTreeSet<String>,
    pub server: String,
    pub node: String,
}

/// A success as its caller got it, and what it had asked.
#[derive(Clone, Debug, Serialize)]
pub struct AnswerRecord {
    pub path: String,
    /// The try, or the mark among the parameters; nothing for `begin` and `rollback`.
    pub id: String,
    pub stamp: Value,
    pub rows: Value,
}

/// What a caller sent under one mark, and how often.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SentStatement {
    pub text: String,
    pub params: Value,
    pub times: usize,
    /// A lookup may be carried to several servers.
    pub retryable: bool,
}

/// One order or lookup as a caller had it: asked, over, and whether it was answered well.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ServedCall {
    pub asked: u64,
    pub ended: u64,
    pub succeeded: bool,
    /// The result code it ended with; 0 if it went well or had no answer.
    pub code: u64,
}

/// A push that was acknowledged.
#[derive(Clone, Debug, Serialize)]
pub struct AcknowledgedPush {
    pub version: u64,
    pub acked: u64,
}

/// What a push was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum PushEnd {
    Version(u64),
    Rejected(u64),
    /// No answer, or none that came in time.
    NoReply,
}

/// A push under its key, every time it was sent.
#[derive(Clone, Debug, Serialize)]
pub struct PushAttempt {
    pub key: String,
    pub base: u64,
    /// Pushes of one race build on one version at one time.
    pub race: Option<u64>,
    pub valid: bool,
    /// A majority of the disk machines was up and could be reached all along.
    pub majority_up: bool,
    pub asked: u64,
    pub ends: Vec<(PushEnd, u64)>,
}

/// The version a visit ran under.
#[derive(Clone, Debug, Serialize)]
pub struct VersionRecord {
    pub node: String,
    pub asked: u64,
    pub answered: u64,
    pub version: u64,
}

#[derive(Debug, Default, Serialize)]
pub struct History {
    pub attempts: BTreeMap<String, AttemptRecord>,
    pub reads: Vec<ReadRecord>,
    pub pushes: Vec<AcknowledgedPush>,
    pub push_attempts: Vec<PushAttempt>,
    pub versions: Vec<VersionRecord>,
    pub answers: Vec<AnswerRecord>,
    /// Breaches seen as they happened: a lost setting, a push taken twice.
    pub violations: Vec<String>,
    /// Orders and lookups by group.
    pub served: BTreeMap<(String, &'static str), Vec<ServedCall>>,
    pub late_replies: u64,
    /// In the simulator an acknowledged blueprint is held to be in force at once, as the design claims (§5.6).
    pub immediate_effect: bool,
}

/// What the servers hold and did, once all is quiet again.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Lists by group and name, in the order kept, as the named lead holds them.
    pub lists: BTreeMap<(String, String), Vec<String>>,
    /// Visible logs by group: the lead's first, then the other servers' by name.
    pub logs: BTreeMap<String, Vec<(String, Vec<String>)>>,
    /// What each server did.
    pub journals: BTreeMap<String, Vec<JournalEntry>>,
}

pub type SharedHistory = Mutex<History>;

/// Bounds of the BRIEF, in milliseconds.
pub const MAX_STALENESS: u64 = 1_500;
pub const MAX_APPLY_DELAY: u64 = 3_000;
pub const MAX_RECOVERY: u64 = 12_000;
/// A valid push is answered for good within this, while a majority of the disk machines is up: a node's lease
/// that has to run out, a chain that has to be mended, and one call that was lost (§5.6).
pub const MAX_PUSH_TIME: u64 = 12_000;
/// What may pass between a node's passing an answer on and its caller's noting it.
pub const OBSERVATION_SLACK: u64 = 250;

/// All that callers sent: statements by mark, and texts promised to sessions.
#[derive(Clone, Debug, Default)]
pub struct SentStatements {
    pub marks: BTreeMap<String, SentStatement>,
    pub session_state: BTreeSet<String>,
}

/// Every breach, as a line that names the must-never (§1).
pub fn check_history(
    h: &History,
    f: &Facts,
    sent: &SentStatements,
    faults: &[(u64, String)],
    end: u64,
) -> Vec<String> {
    let mut bad = h.violations.clone();
    orders::check_orders(h, f, &mut bad);
    orders::check_logs(f, &mut bad);
    orders::check_reads(h, &mut bad);
    answers::check_answers(h, f, &mut bad);
    answers::check_statements(f, sent, &mut bad);
    answers::check_drain(f, &mut bad);
    orders::check_versions(h, &mut bad);
    pushes::check_pushes(h, &mut bad);
    recovery::check_recovery(h, faults, end, &mut bad);
    bad
}

/// The longest time without a kept order in a group after `at`.
pub fn longest_gaps_after(h: &History, at: u64) -> BTreeMap<String, u64> {
    let orders = h.served.iter().filter(|(k, _)| k.1 == "order");
    orders.map(|(k, v)| (k.0.clone(), recovery::longest_gap(v, at, None))).collect()
}
