//! Orders, reads and blueprints against what callers were told (§1 N1, N2, N3, N5, N6, N10).
use super::{CallEnd, Facts, History, MAX_APPLY_DELAY, MAX_STALENESS, OBSERVATION_SLACK, VersionRecord};
use std::collections::BTreeMap;

pub(super) fn check_orders(h: &History, f: &Facts, bad: &mut Vec<String>) {
    let mut count: BTreeMap<&str, usize> = BTreeMap::new();
    f.lists.values().flatten().for_each(|k| *count.entry(k.as_str()).or_default() += 1);
    for (k, n) in count.iter().filter(|(_, n)| **n > 1) {
        bad.push(format!("N1 the order {k} took effect {n} times"));
    }
    for t in h.attempts.values() {
        let n = count.get(t.key.as_str()).copied().unwrap_or(0);
        let kept = t.ends.iter().any(|e| e.0 == CallEnd::Committed);
        if kept && n == 0 {
            bad.push(format!("N2 the acknowledged order {} vanished", t.key));
        }
        let doubt = t.ends.iter().any(|e| matches!(e.0, CallEnd::Unknown | CallEnd::NoReply));
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

/// Every server's visible log is the lead's, as far as it goes.
pub(super) fn check_logs(f: &Facts, bad: &mut Vec<String>) {
    for (g, all) in &f.logs {
        let Some((lead, log)) = all.first() else { continue };
        for (s, other) in &all[1..] {
            let at = other.iter().zip(log).position(|(a, b)| a != b);
            let at = at.or_else(|| (other.len() > log.len()).then_some(log.len()));
            if let Some(i) = at {
                bad.push(format!("N2 in {g} server {s} and the lead {lead} differ from record {} on", i + 1));
            }
        }
    }
}

pub(super) fn check_reads(h: &History, bad: &mut Vec<String>) {
    // For each list: keys with the time at which they were first acknowledged.
    let mut acked: BTreeMap<(&str, &str), Vec<(u64, &str)>> = BTreeMap::new();
    for t in h.attempts.values() {
        if let Some(at) = t.ends.iter().filter(|e| e.0 == CallEnd::Committed).map(|e| e.2).min() {
            acked.entry((&t.group, &t.list)).or_default().push((at, &t.key));
        }
    }
    for r in &h.reads {
        // A lookup may be so far behind when the node passes it on, however long it took before.
        let before =
            if r.order_side { r.asked } else { r.answered.saturating_sub(MAX_STALENESS + OBSERVATION_SLACK) };
        let word = if r.order_side { "N5 an order-side read" } else { "N6 a lookup" };
        let known = acked.get(&(r.group.as_str(), r.list.as_str()));
        let missed = known.into_iter().flatten().find(|(at, k)| *at < before && !r.seen.contains(*k));
        if let Some((at, k)) = missed {
            bad.push(format!(
                "{word} asked at {} and answered at {} on {} by {} missed {k}, acknowledged at {at}",
                r.asked, r.answered, r.server, r.node
            ));
        }
    }
}

pub(super) fn check_versions(h: &History, bad: &mut Vec<String>) {
    let within = if h.immediate_effect { 0 } else { MAX_APPLY_DELAY };
    for p in &h.pushes {
        let late = h.versions.iter().find(|e| e.asked > p.acked + within && e.version < p.version);
        if let Some(e) = late {
            bad.push(format!(
                "N10 version {} was acknowledged at {} but node {} ran a visit under {} at {}",
                p.version, p.acked, e.node, e.version, e.asked
            ));
        }
    }
    let mut by: BTreeMap<&str, Vec<&VersionRecord>> = BTreeMap::new();
    h.versions.iter().for_each(|e| by.entry(&e.node).or_default().push(e));
    for (node, mut rows) in by {
        rows.sort_by_key(|e| e.answered);
        let mut top = (0, 0);
        for r in rows {
            // Only a visit that began after another's answer can show a slip.
            if r.asked > top.1 && r.version < top.0 {
                bad.push(format!("N10 node {node} slipped from version {} back to {}", top.0, r.version));
            }
            if r.version > top.0 {
                top = (r.version, r.answered);
            }
        }
    }
}
