//! Pushes against what their operators were told (§1 N11).
use super::{History, MAX_PUSH_TIME, PushAttempt, PushEnd};
use quincehatch_core::ErrorCode;
use std::collections::{BTreeMap, BTreeSet};

pub(super) fn check_pushes(h: &History, bad: &mut Vec<String>) {
    let invalid = PushEnd::Rejected(ErrorCode::ConfigurationInvalid.number().into());
    let stale = PushEnd::Rejected(ErrorCode::ConfigurationStale.number().into());
    let mut won: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
    let mut races: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for t in &h.push_attempts {
        for (end, at) in &t.ends {
            match end {
                PushEnd::Version(e) => drop(won.entry(&t.key).or_default().insert(*e)),
                e if *e == invalid && t.valid => {
                    bad.push(format!("N11 the valid push {} was declined as invalid at {at}", t.key));
                }
                _ => {}
            }
        }
        let last = t.ends.last().map_or(PushEnd::NoReply, |e| e.0);
        if !t.valid && last != invalid && (t.majority_up || last != PushEnd::NoReply) {
            bad.push(format!("N11 the broken push {} came to {last:?}", t.key));
        }
        let over = t.ends.last().map_or(u64::MAX, |e| e.1).saturating_sub(t.asked);
        let told = matches!(last, PushEnd::Version(_)) || last == stale;
        if t.valid && t.majority_up && (!told || over > MAX_PUSH_TIME) {
            bad.push(format!("N11 the valid push {} came to {last:?} after {over} ms", t.key));
        }
        if let Some(r) = t.race {
            races.entry(r).or_default().insert(&t.key);
        }
    }
    for (key, versions) in won.iter().filter(|(_, e)| e.len() > 1) {
        bad.push(format!("N11 the push {key}, sent twice, was taken as {versions:?}"));
    }
    for (r, keys) in races {
        let winners = keys.iter().filter(|k| won.contains_key(**k)).count();
        let bound = h.push_attempts.iter().filter(|t| t.race == Some(r)).all(|t| t.majority_up);
        let base = h.push_attempts.iter().find(|t| t.race == Some(r)).map_or(0, |t| t.base);
        // Nobody may win only if another's version came between.
        let beaten = h.pushes.iter().any(|p| p.version == base + 1) || lost_to_unanswered_push(h, base, r);
        if winners > 1 || (winners == 0 && bound && !beaten) {
            bad.push(format!("N11 of {} pushes at once on version {base}, {winners} won", keys.len()));
        }
    }
}

/// A push outside the race that was never answered took the version after `base`: a later push builds on it, and nobody
/// was told that it is his.
fn lost_to_unanswered_push(h: &History, base: u64, race: u64) -> bool {
    let unanswered = |t: &PushAttempt| t.ends.iter().all(|(end, _)| *end == PushEnd::NoReply);
    let rival = |t: &&PushAttempt| t.race != Some(race) && t.base == base && t.valid && unanswered(t);
    let built_upon = h.push_attempts.iter().any(|t| t.base == base + 1);
    built_upon && h.push_attempts.iter().any(|t| rival(&t))
}
