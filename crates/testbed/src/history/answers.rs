//! Checks of what servers executed and answered against what callers sent and received (N4, N7, N8, N9).
use super::{Facts, History, SentStatements};
use crate::stand_in::journal::JournalEntry;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Checks that every success a caller received is the answer of a server to that same call, with identical stamp and
/// rows (N4).
pub(super) fn check_answers(history: &History, facts: &Facts, violations: &mut Vec<String>) {
    let fingerprint = |id: &str, stamp: &Value, rows: &Value| format!("{id} {stamp} {rows}");
    let mut sent_by_servers: BTreeSet<String> = BTreeSet::new();
    for entry in facts.journals.values().flatten() {
        if let JournalEntry::Said { id, stamp, rows } = entry {
            sent_by_servers.insert(fingerprint(id, stamp, rows));
        }
    }
    for answer in &history.answers {
        let (path, id) = (&answer.path, &answer.id);
        if answer.stamp.is_null() || answer.rows.is_null() {
            violations.push(format!("N4 {path} of {id:?} was answered as a success without stamp or rows"));
        } else if !sent_by_servers.contains(&fingerprint(id, &answer.stamp, &answer.rows)) {
            let server = &answer.stamp["server"];
            violations
                .push(format!("N4 {path} of {id:?} was answered with a success that {server} never gave"));
        }
    }
}

/// The mark that identifies the sender of a statement: the last of its parameters.
fn caller_mark(params: &Value) -> &str {
    params.as_array().and_then(|params| params.last()).and_then(Value::as_str).unwrap_or_default()
}

/// Checks that a transaction contains statements of one caller only (N7), and that servers run only statements that
/// callers sent, and those that must not be retried no more often than they were sent (N8).
pub(super) fn check_statements(facts: &Facts, sent: &SentStatements, violations: &mut Vec<String>) {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for (server, entries) in &facts.journals {
        let mut caller_by_transaction: BTreeMap<u64, &str> = BTreeMap::new();
        for entry in entries {
            match entry {
                JournalEntry::Ran { txn, text, params, .. } => {
                    let mark = caller_mark(params);
                    *runs.entry(mark).or_default() += 1;
                    let known = sent.marks.get(mark);
                    if !known.is_some_and(|known| known.text == *text && known.params == *params) {
                        let length = text.len();
                        violations.push(format!(
                            "N8 {server} ran a statement that no caller sent so ({length} bytes)"
                        ));
                    }
                    if *txn > 0 {
                        let caller = mark.split('#').next().unwrap_or_default();
                        let first = *caller_by_transaction.entry(*txn).or_insert(caller);
                        if first != caller {
                            violations.push(format!(
                                "N7 on {server} a statement of {caller} ran inside a transaction of {first}"
                            ));
                        }
                    }
                }
                JournalEntry::Wore { text, .. } if !sent.session_state.contains(text) => {
                    violations.push(format!("N8 {server} was given a session state that no caller sent"));
                }
                _ => {}
            }
        }
    }
    for (mark, count) in runs {
        let known = sent.marks.get(mark).filter(|known| !known.retryable && count > known.times);
        if let Some(known) = known {
            let times = known.times;
            violations.push(format!("N8 the statement {mark} was sent {times} times and ran {count} times"));
        }
    }
}

/// Checks that no new work reaches a server after the time limit for draining (N9).
pub(super) fn check_drain(facts: &Facts, violations: &mut Vec<String>) {
    for (server, entries) in &facts.journals {
        let late = entries.iter().filter(|entry| **entry == JournalEntry::Late).count();
        if late > 0 {
            violations.push(format!(
                "N9 {late} pieces of new work reached {server} over 7 s after it began to drain"
            ));
        }
    }
}
