//! The options of a scenario run and the report of its result.
use crate::history::{CallEnd, Facts, History, check_history, longest_gaps_after};
use crate::load_environment::LoadEnvironment;
use quincehatch_core::Millis;
use std::collections::BTreeMap;

/// Options of a scenario run.
#[derive(Clone, Debug)]
pub struct ScenarioOptions {
    /// Name of the scenario.
    pub scenario: String,
    /// Duration of the load in seconds.
    pub seconds: u64,
    /// Number of callers.
    pub callers: usize,
    /// Mean pause between two calls of one caller.
    pub pause_ms: Millis,
    /// Seed of the callers.
    pub seed: u64,
    /// Whether callers use a connection until it breaks, even if the node replies that it is stopping.
    pub keeps_connections: bool,
    /// Whether to skip the recovery bounds (N12), which can only be met on a machine without other load.
    pub untimed: bool,
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct ScenarioReport {
    /// Every violation, as a line that names its check.
    pub violations: Vec<String>,
    /// The figures of the run in one line.
    pub summary: String,
    /// The longest time without an acknowledged order after the first fault, by group.
    pub gaps: BTreeMap<String, Millis>,
    /// Number of acknowledged orders.
    pub committed: usize,
    /// Number of orders that were sent.
    pub attempts: usize,
    /// Numbers of lookups that succeeded and that failed.
    pub lookups: (u64, u64),
}

/// The start of a run, the times of its faults, and the end of its load.
pub(crate) struct RunTimes {
    pub(crate) began: Millis,
    pub(crate) faults: Vec<(Millis, String)>,
    pub(crate) end: Millis,
}

fn count_attempts(history: &History, wanted: CallEnd) -> usize {
    let has_end = |ends: &[(CallEnd, u64, u64)]| ends.iter().any(|(end, _, _)| *end == wanted);
    history.attempts.values().filter(|attempt| has_end(&attempt.ends)).count()
}

fn count_lookups(history: &History, succeeded: bool) -> u64 {
    let lookups = history.served.iter().filter(|((_, kind), _)| *kind == "lookup");
    let calls = lookups.flat_map(|(_, calls)| calls);
    calls.filter(|call| call.succeeded == succeeded).count() as u64
}

/// Checks the history of a run and builds its report.
pub(crate) fn report(
    options: &ScenarioOptions,
    env: &LoadEnvironment,
    collected: Result<Facts, String>,
    times: RunTimes,
) -> ScenarioReport {
    let history = env.history.lock().unwrap();
    let sent = env.sent_statements.lock().unwrap().clone();
    let first_fault = times.faults.first().map_or(times.began, |(at, _)| *at);
    let gaps = longest_gaps_after(&history, first_fault);
    let committed = count_attempts(&history, CallEnd::Committed);
    let lookups = (count_lookups(&history, true), count_lookups(&history, false));
    let summary = format!(
        "{}: {} tries, {} kept, {} told nothing, {} unknown, {} lost, {} lookups, {} failed, {} late, longest gap {:?} ms",
        options.scenario,
        history.attempts.len(),
        committed,
        count_attempts(&history, CallEnd::NotApplied),
        count_attempts(&history, CallEnd::Unknown),
        count_attempts(&history, CallEnd::NoReply),
        lookups.0,
        lookups.1,
        history.late_replies,
        gaps
    );
    let timed_faults: &[(Millis, String)] = if options.untimed { &[] } else { &times.faults };
    let facts = collected.as_ref().map_or_else(|_| Facts::default(), Clone::clone);
    let mut violations = check_history(&history, &facts, &sent, timed_faults, times.end);
    violations.extend(collected.err());
    if facts.lists.is_empty() || committed == 0 {
        violations.push("nothing was committed at all: the run proves nothing".into());
    }
    ScenarioReport { violations, summary, gaps, committed, attempts: history.attempts.len(), lookups }
}
