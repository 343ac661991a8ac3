//! Service after a final breakdown (§1 N12): back is back for all, and stays back.
use super::{History, MAX_RECOVERY, ServedCall};

/// Of all calls in the window at least so many of a hundred are answered well.
pub const MIN_SUCCESS_PERCENT: u64 = 95;
/// No longer than this passes in the window without one answered well.
pub const MAX_GAP: u64 = 1_500;
/// A shorter window proves nothing.
const MIN_WINDOW: u64 = 2_000;

/// From the bound after a breakdown to the run's end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    pub from: u64,
    pub to: u64,
}

/// The longest time without a call answered well, from `at` on; to the last one, or to an end that is given.
pub fn longest_gap(rows: &[ServedCall], at: u64, to: Option<u64>) -> u64 {
    let last = to.unwrap_or(u64::MAX);
    let mut t: Vec<u64> =
        rows.iter().filter(|s| s.succeeded && s.ended >= at && s.ended <= last).map(|s| s.ended).collect();
    t.push(at);
    t.extend(to);
    t.sort_unstable();
    t.windows(2).map(|w| w[1] - w[0]).max().unwrap_or(0)
}

/// In every group, orders and lookups alike: from 12 s after the breakdown to the end of the run the share
/// answered well and the longest gap stay within their bounds.
pub(super) fn check_recovery(h: &History, faults: &[(u64, String)], end: u64, bad: &mut Vec<String>) {
    for (at, what) in faults.iter().filter(|(_, w)| w.starts_with("final")) {
        let w = Window { from: at + MAX_RECOVERY, to: end };
        if w.to < w.from + MIN_WINDOW {
            bad.push(format!("N12 after '{what}' the run ended too soon to tell"));
            continue;
        }
        for ((group, kind), rows) in &h.served {
            let of: Vec<ServedCall> =
                rows.iter().filter(|s| s.asked >= w.from && s.ended <= w.to).copied().collect();
            let well = of.iter().filter(|s| s.succeeded).count() as u64;
            let gap = longest_gap(&of, w.from, Some(w.to));
            let codes: std::collections::BTreeSet<u64> =
                of.iter().filter(|s| !s.succeeded).map(|s| s.code).collect();
            if of.is_empty() || well * 100 < MIN_SUCCESS_PERCENT * of.len() as u64 || gap > MAX_GAP {
                bad.push(format!(
                    "N12 from 12 s after '{what}' on, {well} of {} {kind}s of {group} went well, the longest gap was {gap} ms, codes {codes:?}",
                    of.len()
                ));
            }
        }
    }
}
