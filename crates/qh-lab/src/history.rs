//! What callers saw, and the checks of it against the BRIEF's must-nevers (§1, §9.4).
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum End {
    Kept,
    /// The nodes took it on; no server was asked.
    Promised,
    Nothing,
    Unknown,
    /// No answer at all: the node or the way to it broke.
    Lost,
}

/// One try of an order, every time it was sent or asked after.
#[derive(Clone, Debug, Serialize)]
pub struct TryRow {
    pub group: String,
    pub list: String,
    pub key: String,
    /// Every end told, with the time of asking and of the answer.
    pub ends: Vec<(End, u64, u64)>,
    /// The last word was a seal: it can never be kept.
    pub sealed: bool,
}

/// A lookup of a list: who must be in it, and what came.
#[derive(Clone, Debug, Serialize)]
pub struct ReadRow {
    pub group: String,
    pub list: String,
    pub order_side: bool,
    pub asked: u64,
    pub seen: BTreeSet<String>,
    pub server: String,
    pub node: String,
}

/// A push that was acknowledged.
#[derive(Clone, Debug, Serialize)]
pub struct PushRow {
    pub edition: u64,
    pub acked: u64,
}

/// The edition a visit ran under.
#[derive(Clone, Debug, Serialize)]
pub struct EditionRow {
    pub node: String,
    pub asked: u64,
    pub answered: u64,
    pub edition: u64,
}

#[derive(Debug, Default, Serialize)]
pub struct History {
    pub tries: BTreeMap<String, TryRow>,
    pub reads: Vec<ReadRow>,
    pub pushes: Vec<PushRow>,
    pub editions: Vec<EditionRow>,
    /// Breaches seen as they happened: a foreign stamp, a lost setting.
    pub spot: Vec<String>,
    /// Times at which an order was kept, by group.
    pub kept_at: BTreeMap<String, Vec<u64>>,
    /// Lookups answered in time, and those that were not.
    pub lookups: (u64, u64),
    pub late: u64,
}

/// What the servers hold and did, once all is quiet again.
#[derive(Debug, Default)]
pub struct Facts {
    /// Lists by group and name, in the order kept.
    pub lists: BTreeMap<(String, String), Vec<String>>,
    /// Statements that ran: server, transaction, text, caller's mark.
    pub ran: Vec<(String, u64, String, String)>,
    pub late_work: u64,
}

pub type Book = Mutex<History>;

/// Bounds of the BRIEF, in milliseconds.
pub const STALE: u64 = 1_500;
pub const IN_FORCE: u64 = 3_000;
pub const BACK: u64 = 12_000;

/// Every breach, as a line that names the must-never (§1).
pub fn check(h: &History, f: &Facts, sent: &BTreeSet<String>, faults: &[(u64, String)]) -> Vec<String> {
    let mut bad = h.spot.clone();
    orders(h, f, &mut bad);
    reads(h, &mut bad);
    statements(f, sent, &mut bad);
    blueprints(h, &mut bad);
    if f.late_work > 0 {
        bad.push(format!(
            "N9 {} pieces of new work reached a server over 7 s after it said it leaves",
            f.late_work
        ));
    }
    back(h, faults, &mut bad);
    bad
}

fn orders(h: &History, f: &Facts, bad: &mut Vec<String>) {
    let mut count: BTreeMap<&str, usize> = BTreeMap::new();
    f.lists.values().flatten().for_each(|k| *count.entry(k.as_str()).or_default() += 1);
    for (k, n) in count.iter().filter(|(_, n)| **n > 1) {
        bad.push(format!("N1 the order {k} took effect {n} times"));
    }
    for t in h.tries.values() {
        let n = count.get(t.key.as_str()).copied().unwrap_or(0);
        let kept = t.ends.iter().any(|e| e.0 == End::Kept);
        if kept && n == 0 {
            bad.push(format!("N2 the acknowledged order {} vanished", t.key));
        }
        let doubt = t.ends.iter().any(|e| matches!(e.0, End::Unknown | End::Lost));
        if n > 0 && !kept && !doubt {
            bad.push(format!(
                "N3 the order {} was kept though every answer said nothing was: {:?}",
                t.key, t.ends
            ));
        }
        if n > 0 && t.sealed {
            bad.push(format!("N3 the sealed order {} was kept", t.key));
        }
    }
}

fn reads(h: &History, bad: &mut Vec<String>) {
    // For each list: keys with the time at which they were first acknowledged.
    let mut acked: BTreeMap<(&str, &str), Vec<(u64, &str)>> = BTreeMap::new();
    for t in h.tries.values() {
        if let Some(at) = t.ends.iter().filter(|e| e.0 == End::Kept).map(|e| e.2).min() {
            acked.entry((&t.group, &t.list)).or_default().push((at, &t.key));
        }
    }
    for r in &h.reads {
        let before = if r.order_side { r.asked } else { r.asked.saturating_sub(STALE) };
        let word = if r.order_side { "N5 an order-side read" } else { "N6 a lookup" };
        let known = acked.get(&(r.group.as_str(), r.list.as_str()));
        let missed = known.into_iter().flatten().find(|(at, k)| *at < before && !r.seen.contains(*k));
        if let Some((at, k)) = missed {
            let by = r.asked - at;
            bad.push(format!(
                "{word} at {} on {} by {} missed {k}, acknowledged {by} ms before",
                r.asked, r.server, r.node
            ));
        }
    }
}

fn statements(f: &Facts, sent: &BTreeSet<String>, bad: &mut Vec<String>) {
    let mut of: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    for (server, txn, text, mark) in &f.ran {
        if !sent.contains(text) {
            bad.push(format!("N8 server {server} ran a text that no caller sent ({} bytes)", text.len()));
        }
        if *txn > 0 {
            let first = of.entry((server, *txn)).or_insert(mark);
            if first != mark {
                bad.push(format!("N7 on {server} a statement of {mark} ran inside a transaction of {first}"));
            }
        }
    }
}

fn blueprints(h: &History, bad: &mut Vec<String>) {
    for p in &h.pushes {
        let late = h.editions.iter().find(|e| e.asked > p.acked + IN_FORCE && e.edition < p.edition);
        if let Some(e) = late {
            bad.push(format!(
                "N10 edition {} was acknowledged at {} but node {} ran a visit under {} at {}",
                p.edition, p.acked, e.node, e.edition, e.asked
            ));
        }
    }
    let mut by: BTreeMap<&str, Vec<&EditionRow>> = BTreeMap::new();
    h.editions.iter().for_each(|e| by.entry(&e.node).or_default().push(e));
    for (node, mut rows) in by {
        rows.sort_by_key(|e| e.answered);
        let mut top = (0, 0);
        for r in rows {
            // Only a visit that began after another's answer can show a slip.
            if r.asked > top.1 && r.edition < top.0 {
                bad.push(format!("N10 node {node} slipped from edition {} back to {}", top.0, r.edition));
            }
            if r.edition > top.0 {
                top = (r.edition, r.answered);
            }
        }
    }
}

/// After a final breakdown, orders are kept again within the bound.
fn back(h: &History, faults: &[(u64, String)], bad: &mut Vec<String>) {
    for (at, what) in faults.iter().filter(|(_, w)| w.starts_with("final")) {
        for (g, times) in &h.kept_at {
            let next = times.iter().filter(|t| **t > *at + 50).min();
            let last = times.iter().max().copied().unwrap_or(0);
            let gap = next.map_or(last.saturating_sub(*at), |t| t - at);
            if next.is_none() || gap > BACK {
                bad.push(format!("N12 after '{what}' at {at} group {g} kept no order for {gap} ms"));
            }
        }
    }
}

/// The longest time without a kept order in a group after `at`.
pub fn gap_after(h: &History, at: u64) -> BTreeMap<String, u64> {
    let mut out = BTreeMap::new();
    for (g, times) in &h.kept_at {
        let mut t: Vec<u64> = times.iter().copied().filter(|t| *t >= at).collect();
        t.sort_unstable();
        t.insert(0, at);
        let gap = t.windows(2).map(|w| w[1] - w[0]).max().unwrap_or(0);
        out.insert(g.clone(), gap);
    }
    out
}
