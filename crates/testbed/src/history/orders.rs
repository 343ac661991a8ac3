//! Checks of orders, server logs, reads and configuration versions against the replies that callers received (N1, N2,
//! N3, N5, N6, N10).
use super::{
    CallEnd, Facts, History, MAX_APPLY_DELAY, MAX_STALENESS, OBSERVATION_SLACK, ReadRecord, VersionRecord,
};
use quincehatch_core::Millis;
use std::collections::BTreeMap;

/// Checks that an order takes effect at most once (N1), that every acknowledged order takes effect (N2), and that no
/// order takes effect whose replies all said that it was not applied or that its key is sealed (N3).
pub(super) fn check_orders(history: &History, facts: &Facts, violations: &mut Vec<String>) {
    let mut effects: BTreeMap<&str, usize> = BTreeMap::new();
    for key in facts.lists.values().flatten() {
        *effects.entry(key.as_str()).or_default() += 1;
    }
    for (key, count) in effects.iter().filter(|(_, count)| **count > 1) {
        violations.push(format!("N1 the order {key} took effect {count} times"));
    }
    for attempt in history.attempts.values() {
        let (key, ends) = (&attempt.key, &attempt.ends);
        let has_effect = effects.contains_key(key.as_str());
        let is_acknowledged = ends.iter().any(|(end, _, _)| *end == CallEnd::Committed);
        if is_acknowledged && !has_effect {
            violations.push(format!("N2 the acknowledged order {key} vanished"));
        }
        let in_doubt = ends.iter().any(|(end, _, _)| matches!(end, CallEnd::Unknown | CallEnd::NoReply));
        if has_effect && !is_acknowledged && !in_doubt {
            violations
                .push(format!("N3 the order {key} took effect though every answer denied it: {ends:?}"));
        }
        if has_effect && attempt.sealed {
            violations.push(format!("N3 the sealed order {key} took effect"));
        }
    }
}

/// Checks that every server's committed log is a prefix of the primary's (N2).
pub(super) fn check_logs(facts: &Facts, violations: &mut Vec<String>) {
    for (group, logs) in &facts.logs {
        let Some(((primary, log), others)) = logs.split_first() else { continue };
        for (server, other) in others {
            let common = other.iter().zip(log).take_while(|(own, primarys)| own == primarys).count();
            if common < other.len() {
                let record = common + 1;
                violations.push(format!(
                    "N2 in {group} server {server} and the primary {primary} differ from record {record} on"
                ));
            }
        }
    }
}

/// An order of a list and the time of its first acknowledgement.
struct AcknowledgedOrder<'history> {
    at: Millis,
    key: &'history str,
}

type OrdersByList<'history> = BTreeMap<(&'history str, &'history str), Vec<AcknowledgedOrder<'history>>>;

fn acknowledged_orders(history: &History) -> OrdersByList<'_> {
    let mut orders = OrdersByList::new();
    for attempt in history.attempts.values() {
        let acknowledged = attempt.ends.iter().filter(|(end, _, _)| *end == CallEnd::Committed);
        if let Some(at) = acknowledged.map(|(_, _, answered)| *answered).min() {
            let list = orders.entry((&attempt.group, &attempt.list)).or_default();
            list.push(AcknowledgedOrder { at, key: &attempt.key });
        }
    }
    orders
}

/// Checks that a read at the primary sees every order acknowledged before it was sent (N5), and that a lookup misses
/// only orders acknowledged within its staleness bound (N6).
pub(super) fn check_reads(history: &History, violations: &mut Vec<String>) {
    let orders = acknowledged_orders(history);
    for read in &history.reads {
        let Some(orders) = orders.get(&(read.group.as_str(), read.list.as_str())) else { continue };
        let needed_before = needed_before(read);
        let is_missing =
            |order: &&AcknowledgedOrder| order.at < needed_before && !read.seen.contains(order.key);
        let Some(missing) = orders.iter().find(is_missing) else { continue };
        let kind = if read.order_side { "N5 a read at the primary" } else { "N6 a lookup" };
        let ReadRecord { asked, answered, server, node, .. } = read;
        violations.push(format!(
            "{kind} asked at {asked} and answered at {answered} on {server} by {node} missed {}, acknowledged at {}",
            missing.key, missing.at
        ));
    }
}

/// Returns the time before which acknowledged orders must be seen. The staleness bound of a lookup counts back from
/// when the node forwards the answer, regardless of how long the request took.
fn needed_before(read: &ReadRecord) -> Millis {
    if read.order_side { read.asked } else { read.answered.saturating_sub(MAX_STALENESS + OBSERVATION_SLACK) }
}

/// Checks that nodes apply acknowledged configuration versions in time and never go back to an older version (N10).
pub(super) fn check_versions(history: &History, violations: &mut Vec<String>) {
    let apply_delay = if history.immediate_effect { 0 } else { MAX_APPLY_DELAY };
    for push in &history.pushes {
        let is_late =
            |run: &&VersionRecord| run.asked > push.acked + apply_delay && run.version < push.version;
        if let Some(late) = history.versions.iter().find(is_late) {
            violations.push(format!(
                "N10 version {} was acknowledged at {} but node {} ran a request under {} at {}",
                push.version, push.acked, late.node, late.version, late.asked
            ));
        }
    }
    let mut by_node: BTreeMap<&str, Vec<&VersionRecord>> = BTreeMap::new();
    for run in &history.versions {
        by_node.entry(&run.node).or_default().push(run);
    }
    for (node, mut runs) in by_node {
        runs.sort_by_key(|run| run.answered);
        check_versions_rise(node, &runs, violations);
    }
}

fn check_versions_rise(node: &str, runs: &[&VersionRecord], violations: &mut Vec<String>) {
    let (mut highest, mut highest_answered) = (0, 0);
    for run in runs {
        // Requests that overlap may use different versions: only one sent after another's reply can show a step back.
        if run.asked > highest_answered && run.version < highest {
            violations.push(format!("N10 node {node} went from version {highest} back to {}", run.version));
        }
        if run.version > highest {
            (highest, highest_answered) = (run.version, run.answered);
        }
    }
}
