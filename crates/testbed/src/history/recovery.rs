//! Service after a final fault (N12): it is back for all, and stays back.
use super::{History, MAX_RECOVERY, ServedCall};
use quincehatch_core::Millis;
use std::collections::BTreeSet;

/// Of all calls in the window at least so many of a hundred succeed.
pub const MIN_SUCCESS_PERCENT: u64 = 95;
/// No longer than this passes in the window without a success.
pub const MAX_GAP: Millis = 1_500;
/// A shorter window proves nothing.
const MIN_WINDOW: Millis = 2_000;

/// From the bound after a fault to the end of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// First time.
    pub from: Millis,
    /// Last time.
    pub to: Millis,
}

/// The longest time without a success, from `at` to the last one, or to an end that is given.
pub fn longest_gap(calls: &[ServedCall], at: Millis, to: Option<Millis>) -> Millis {
    let last = to.unwrap_or(Millis::MAX);
    let is_counted = |call: &&ServedCall| call.succeeded && (at..=last).contains(&call.ended);
    let mut times: Vec<Millis> = calls.iter().filter(is_counted).map(|call| call.ended).collect();
    times.push(at);
    times.extend(to);
    times.sort_unstable();
    times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0)
}

/// In every group, orders and lookups alike: from the bound after a final fault to the end of the run the share of
/// successes and the longest gap stay within their bounds.
pub(super) fn check_recovery(
    history: &History,
    faults: &[(Millis, String)],
    end: Millis,
    violations: &mut Vec<String>,
) {
    for (at, what) in faults.iter().filter(|(_, what)| what.starts_with("final")) {
        let window = Window { from: at + MAX_RECOVERY, to: end };
        if window.to < window.from + MIN_WINDOW {
            violations.push(format!("N12 after '{what}' the run ended too soon to tell"));
            continue;
        }
        for ((group, kind), calls) in &history.served {
            if let Some(shortfall) = window.shortfall(calls) {
                violations.push(format!("N12 from 12 s after '{what}' on, {kind}s of {group}: {shortfall}"));
            }
        }
    }
}

impl Window {
    /// How calls of one kind fall short of their bounds within the window.
    fn shortfall(&self, calls: &[ServedCall]) -> Option<String> {
        let is_inside = |call: &&ServedCall| call.asked >= self.from && call.ended <= self.to;
        let inside: Vec<ServedCall> = calls.iter().filter(is_inside).copied().collect();
        let count = inside.len() as u64;
        let succeeded = inside.iter().filter(|call| call.succeeded).count() as u64;
        let gap = longest_gap(&inside, self.from, Some(self.to));
        let has_share = count > 0 && succeeded * 100 >= MIN_SUCCESS_PERCENT * count;
        if has_share && gap <= MAX_GAP {
            return None;
        }
        let failed = inside.iter().filter(|call| !call.succeeded);
        let codes: BTreeSet<u64> = failed.map(|call| call.code).collect();
        Some(format!("{succeeded} of {count} succeeded, the longest gap was {gap} ms, codes {codes:?}"))
    }
}
