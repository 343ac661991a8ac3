//! What servers ran and answered, against what callers sent and got (§1 N4, N7, N8, N9).
use super::{Facts, History, SentStatements};
use crate::stand_in::journal::JournalEntry;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// A success is some server's own answer to that very call, stamp and rows to the byte.
pub(super) fn check_answers(h: &History, f: &Facts, bad: &mut Vec<String>) {
    let word = |id: &str, stamp: &Value, rows: &Value| format!("{id} {stamp} {rows}");
    let mut said: BTreeSet<String> = BTreeSet::new();
    for e in f.journals.values().flatten() {
        if let JournalEntry::Said { id, stamp, rows } = e {
            said.insert(word(id, stamp, rows));
        }
    }
    for a in &h.answers {
        if a.stamp.is_null() || a.rows.is_null() {
            bad.push(format!("N4 {} of {:?} was answered kept without stamp or rows", a.path, a.id));
        } else if !said.contains(&word(&a.id, &a.stamp, &a.rows)) {
            let by = &a.stamp["server"];
            bad.push(format!("N4 {} of {:?} was answered kept in words that {by} never said", a.path, a.id));
        }
    }
}

/// The mark of who sent a statement: the last of its parameters.
fn caller_mark(params: &Value) -> &str {
    params.as_array().and_then(|p| p.last()).and_then(Value::as_str).unwrap_or_default()
}

pub(super) fn check_statements(f: &Facts, sent: &SentStatements, bad: &mut Vec<String>) {
    let mut ran: BTreeMap<&str, usize> = BTreeMap::new();
    for (server, entries) in &f.journals {
        let mut of: BTreeMap<u64, &str> = BTreeMap::new();
        for e in entries {
            match e {
                JournalEntry::Ran { txn, text, params, .. } => {
                    let m = caller_mark(params);
                    let own = sent.marks.get(m).is_some_and(|s| s.text == *text && s.params == *params);
                    if !own {
                        bad.push(format!(
                            "N8 {server} ran a statement that no caller sent so ({} bytes)",
                            text.len()
                        ));
                    }
                    *ran.entry(m).or_default() += 1;
                    if *txn > 0 {
                        let who = m.split('#').next().unwrap_or_default();
                        let first = *of.entry(*txn).or_insert(who);
                        if first != who {
                            bad.push(format!(
                                "N7 on {server} a statement of {who} ran inside a transaction of {first}"
                            ));
                        }
                    }
                }
                JournalEntry::Wore { text, .. } if !sent.session_state.contains(text) => {
                    bad.push(format!("N8 {server} was given a context that no caller sent"));
                }
                _ => {}
            }
        }
    }
    for (m, n) in ran {
        let over = sent.marks.get(m).filter(|s| !s.retryable && n > s.times);
        if let Some(s) = over {
            bad.push(format!("N8 the statement {m} was sent {} times and ran {n} times", s.times));
        }
    }
}

pub(super) fn check_drain(f: &Facts, bad: &mut Vec<String>) {
    for (server, entries) in &f.journals {
        let n = entries.iter().filter(|e| **e == JournalEntry::Late).count();
        if n > 0 {
            bad.push(format!("N9 {n} pieces of new work reached {server} over 7 s after it said it leaves"));
        }
    }
}
