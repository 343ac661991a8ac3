//! Service after a final fault (N12): it is back for all, and stays back.
use super::{History, MAX_RECOVERY, ServedCall};
use quincehatch_core::Millis;
use std::collections::BTreeSet;

/// Of all calls in the window at least so many of a hundred succeed.
pub const MIN_SUCCESS_PERCENT: u64 = 95;
/// Callers wait no longer than this in the window until one of them succeeds.
pub const MAX_GAP: Millis = 1_500;
/// A window in which nobody called for longer than this proves nothing.
const MAX_QUIET: Millis = 4_000;
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

/// The time from one success to the next.
struct Pause {
    previous: Millis,
    /// When the first caller after the success began to wait.
    waiting_since: Millis,
    next: Millis,
}

/// The longest time without a success, from `at` to the last one.
pub fn longest_gap(calls: &[ServedCall], at: Millis) -> Millis {
    let is_counted = |call: &&ServedCall| call.succeeded && call.ended >= at;
    let mut times: Vec<Millis> = calls.iter().filter(is_counted).map(|call| call.ended).collect();
    times.push(at);
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
    /// The longest time in which somebody waited and nobody succeeded. It counts from the success before, or from the
    /// first call after that one: while nobody calls, nobody goes unserved.
    fn longest_unserved(&self, calls: &[ServedCall]) -> Millis {
        self.pauses(calls).map(|pause| pause.next.saturating_sub(pause.waiting_since)).max().unwrap_or(0)
    }

    /// The longest time in which nobody waited.
    fn longest_quiet(&self, calls: &[ServedCall]) -> Millis {
        self.pauses(calls)
            .map(|pause| pause.waiting_since.min(pause.next) - pause.previous)
            .max()
            .unwrap_or(0)
    }

    /// The times between one success and the next; the window's ends count as successes.
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

    /// How calls of one kind fall short of their bounds within the window.
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
