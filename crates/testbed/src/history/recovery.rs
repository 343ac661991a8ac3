//! Checks that service recovers for every group after a final fault, and stays available (N12).
use super::{History, MAX_RECOVERY, ServedCall};
use quincehatch_core::Millis;
use std::collections::BTreeSet;

/// Least share of successful calls in the window, in percent.
pub const MIN_SUCCESS_PERCENT: u64 = 95;
/// Longest time in the window during which a caller waits and no call succeeds.
pub const MAX_GAP: Millis = 1_500;
/// A longer time without any call makes the window inconclusive, which counts as a violation.
const MAX_QUIET: Millis = 4_000;
/// A shorter window is inconclusive, which counts as a violation.
const MIN_WINDOW: Millis = 2_000;

/// The checked time: from [`MAX_RECOVERY`] after a final fault to the end of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Start of the window.
    pub from: Millis,
    /// End of the window.
    pub to: Millis,
}

/// The interval from one success to the next.
struct Pause {
    previous: Millis,
    /// When the first caller after the previous success began to wait.
    waiting_since: Millis,
    next: Millis,
}

/// Returns the longest time without a success between `at` and the last success.
pub fn longest_gap(calls: &[ServedCall], at: Millis) -> Millis {
    let is_counted = |call: &&ServedCall| call.succeeded && call.ended >= at;
    let mut times: Vec<Millis> = calls.iter().filter(is_counted).map(|call| call.ended).collect();
    times.push(at);
    times.sort_unstable();
    times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0)
}

/// Checks the orders and the lookups of every group: from [`MAX_RECOVERY`] after a final fault to the end of the run,
/// the share of successes and the longest unserved wait stay within their bounds.
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
    /// Returns the longest time during which a caller waited and no call succeeded. It counts from the previous
    /// success, or from the first call after that success: time without any call is not unserved.
    fn longest_unserved(&self, calls: &[ServedCall]) -> Millis {
        self.pauses(calls).map(|pause| pause.next.saturating_sub(pause.waiting_since)).max().unwrap_or(0)
    }

    /// Returns the longest time during which no caller waited.
    fn longest_quiet(&self, calls: &[ServedCall]) -> Millis {
        self.pauses(calls)
            .map(|pause| pause.waiting_since.min(pause.next) - pause.previous)
            .max()
            .unwrap_or(0)
    }

    /// Returns the intervals between consecutive successes; the window's start and end count as successes.
    fn pauses<'a>(&'a self, calls: &'a [ServedCall]) -> impl Iterator<Item = Pause> + 'a {
        let is_success = |call: &&ServedCall| call.succeeded && (self.from..=self.to).contains(&call.ended);
        let mut successes: Vec<Millis> = calls.iter().filter(is_success).map(|call| call.ended).collect();
        successes.extend([self.from, self.to]);
        successes.sort_unstable();
        let pairs: Vec<(Millis, Millis)> = successes.windows(2).map(|pair| (pair[0], pair[1])).collect();
        pairs.into_iter().map(|(previous, next)| {
            let unanswered = calls.iter().filter(|call| call.ended > previous);
            let waiting_since = unanswered.map(|call| call.asked.max(previous)).min().unwrap_or(Millis::MAX);
            Pause { previous, waiting_since, next }
        })
    }

    /// Describes how the calls of one kind miss their bounds within the window; none if they meet them.
    fn shortfall(&self, calls: &[ServedCall]) -> Option<String> {
        let is_inside = |call: &&ServedCall| call.asked >= self.from && call.ended <= self.to;
        let inside: Vec<ServedCall> = calls.iter().filter(is_inside).copied().collect();
        let count = inside.len() as u64;
        let succeeded = inside.iter().filter(|call| call.succeeded).count() as u64;
        let gap = self.longest_unserved(calls);
        let has_share = count > 0 && succeeded * 100 >= MIN_SUCCESS_PERCENT * count;
        let quiet = self.longest_quiet(calls);
        if quiet > MAX_QUIET {
            return Some(format!("nobody called for {quiet} ms, which proves nothing"));
        }
        if has_share && gap <= MAX_GAP {
            return None;
        }
        let failed = inside.iter().filter(|call| !call.succeeded);
        let codes: BTreeSet<u64> = failed.map(|call| call.code).collect();
        Some(format!(
            "{succeeded} of {count} succeeded, callers waited {gap} ms at the longest, codes {codes:?}"
        ))
    }
}
