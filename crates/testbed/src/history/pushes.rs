//! Checks of configuration pushes against the replies that operators received (N11).
use super::{History, MAX_PUSH_TIME, PushAttempt, PushEnd};
use quincehatch_core::{ErrorCode, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// Versions that pushes created, by idempotency key of the push.
type VersionsByKey<'history> = BTreeMap<&'history str, BTreeSet<u64>>;

fn rejected_with(code: ErrorCode) -> PushEnd {
    PushEnd::Rejected(code.number().into())
}

impl PushAttempt {
    fn last_end(&self) -> PushEnd {
        self.ends.last().map_or(PushEnd::NoReply, |(end, _)| *end)
    }

    fn duration(&self) -> Millis {
        let ended = self.ends.last().map_or(Millis::MAX, |(_, at)| *at);
        ended.saturating_sub(self.asked)
    }

    fn is_unanswered(&self) -> bool {
        self.ends.iter().all(|(end, _)| *end == PushEnd::NoReply)
    }
}

/// Checks that valid pushes are answered in time, that invalid ones are rejected, that a push creates one version
/// however often it is sent, and that at most one push of a race wins.
pub(super) fn check_pushes(history: &History, violations: &mut Vec<String>) {
    let mut versions = VersionsByKey::new();
    for push in &history.push_attempts {
        for (end, _) in &push.ends {
            if let PushEnd::Version(version) = end {
                versions.entry(&push.key).or_default().insert(*version);
            }
        }
        check_push(push, violations);
    }
    for (key, versions) in versions.iter().filter(|(_, versions)| versions.len() > 1) {
        violations.push(format!("N11 the push {key}, sent twice, was taken as {versions:?}"));
    }
    let races: BTreeSet<u64> = history.push_attempts.iter().filter_map(|push| push.race).collect();
    for race in races {
        check_race(history, race, &versions, violations);
    }
}

fn check_push(push: &PushAttempt, violations: &mut Vec<String>) {
    let invalid = rejected_with(ErrorCode::ConfigurationInvalid);
    let stale = rejected_with(ErrorCode::ConfigurationStale);
    let (key, last) = (&push.key, push.last_end());
    if !push.valid {
        if last != invalid && (push.majority_up || last != PushEnd::NoReply) {
            violations.push(format!("N11 the invalid push {key} came to {last:?}"));
        }
        return;
    }
    for (_, at) in push.ends.iter().filter(|(end, _)| *end == invalid) {
        violations.push(format!("N11 the valid push {key} was rejected as invalid at {at}"));
    }
    let duration = push.duration();
    let is_answered = matches!(last, PushEnd::Version(_)) || last == stale;
    if push.majority_up && (!is_answered || duration > MAX_PUSH_TIME) {
        violations.push(format!("N11 the valid push {key} came to {last:?} after {duration} ms"));
    }
}

/// Checks that one push of a race wins, or none if a push outside the race took the next version first.
fn check_race(history: &History, race: u64, versions: &VersionsByKey<'_>, violations: &mut Vec<String>) {
    let runners: Vec<&PushAttempt> =
        history.push_attempts.iter().filter(|push| push.race == Some(race)).collect();
    let keys: BTreeSet<&str> = runners.iter().map(|push| push.key.as_str()).collect();
    let winners = keys.iter().filter(|key| versions.contains_key(**key)).count();
    let majority_up = runners.iter().all(|push| push.majority_up);
    let base = runners.first().map_or(0, |push| push.base);
    let lost_to_other_push = history.pushes.iter().any(|push| push.version == base + 1)
        || lost_to_unanswered_push(history, base, race);
    if winners > 1 || (winners == 0 && majority_up && !lost_to_other_push) {
        let count = keys.len();
        violations.push(format!("N11 of {count} pushes at once on version {base}, {winners} won"));
    }
}

/// Returns whether a push outside the race whose operator never received a reply took the version after `base`: a later
/// push is then based on that version.
fn lost_to_unanswered_push(history: &History, base: u64, race: u64) -> bool {
    let is_rival = |push: &PushAttempt| {
        push.race != Some(race) && push.base == base && push.valid && push.is_unanswered()
    };
    let has_successor = history.push_attempts.iter().any(|push| push.base == base + 1);
    has_successor && history.push_attempts.iter().any(is_rival)
}
