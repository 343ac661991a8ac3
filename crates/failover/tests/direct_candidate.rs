//! Checks which server of a direct group is promoted, in every small scenario, against the commits that may have been
//! acknowledged.
use quincehatch_core::{Name, Position};
use quincehatch_failover::direct::candidate::{Candidate, CandidateSelection, SyncGroup};
use std::collections::BTreeMap;

/// Log ends range from 0 to this.
const MAX_END: u64 = 2;

fn at(number: u64) -> Position {
    Position { fence: 1, number }
}

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|i| format!("r{i}").into()).collect()
}

fn candidate(server: &str, end: Position) -> Candidate {
    Candidate { server: server.into(), end }
}

/// The state of a group when the server to promote is chosen.
#[derive(Clone, Debug)]
struct Scenario {
    sync_replicas: u64,
    primary_end: u64,
    primary_suspended: bool,
    ends: Vec<u64>,
    suspended: Vec<bool>,
    draining: Vec<bool>,
}

impl Scenario {
    /// Returns the highest commit that may be acknowledged, now or later: `sync_replicas` replicas have it or may still
    /// receive it. A primary that is not suspended may have written one more commit than was observed.
    fn highest_acknowledged(&self) -> u64 {
        let may_receive = if self.primary_suspended { self.primary_end } else { self.primary_end + 1 };
        let replicas = self.ends.iter().zip(&self.suspended);
        let mut ends: Vec<u64> =
            replicas.map(|(end, suspended)| if *suspended { *end } else { may_receive }).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(self.sync_replicas as usize - 1).copied().unwrap_or(0)
    }

    fn group(&self) -> SyncGroup {
        let holders = names(self.ends.len());
        let draining = holders.iter().zip(&self.draining).filter(|(_, draining)| **draining);
        let draining = draining.map(|(name, _)| name.clone()).collect();
        SyncGroup { sync_replicas: self.sync_replicas, holders, draining, gathered_fence: None }
    }

    fn suspended_ends(&self) -> BTreeMap<Name, Position> {
        let mut ends = BTreeMap::new();
        for (i, name) in names(self.ends.len()).into_iter().enumerate() {
            if self.suspended[i] {
                ends.insert(name, at(self.ends[i]));
            }
        }
        if self.primary_suspended {
            ends.insert("lead".into(), at(self.primary_end));
        }
        ends
    }
}

/// Calls `check` with every scenario that has this number of replicas.
fn for_each_scenario(replicas: usize, sync_replicas: u64, mut check: impl FnMut(&Scenario)) {
    let end_count = MAX_END as usize + 1;
    for primary_end in 0..=MAX_END {
        for code in 0..end_count.pow(replicas as u32) {
            let ends: Vec<u64> =
                (0..replicas).map(|i| (code / end_count.pow(i as u32) % end_count) as u64).collect();
            if ends.iter().any(|end| *end > primary_end) {
                continue;
            }
            for mask in 0..1usize << (2 * replicas + 1) {
                let bit = |i: usize| mask >> i & 1 == 1;
                check(&Scenario {
                    sync_replicas,
                    primary_end,
                    primary_suspended: bit(2 * replicas),
                    ends: ends.clone(),
                    suspended: (0..replicas).map(bit).collect(),
                    draining: (0..replicas).map(|i| bit(replicas + i)).collect(),
                });
            }
        }
    }
}

/// A rule that chooses the server to promote.
type Choose = fn(&CandidateSelection<'_>) -> Option<Candidate>;

/// The results of a rule over all scenarios.
#[derive(Default)]
struct Tally {
    scenarios: usize,
    /// Scenarios in which the promoted log lacks an acknowledged commit.
    lost: usize,
    /// Scenarios in which no server was promoted.
    not_promoted: usize,
}

fn tally(replicas: usize, sync_replicas: u64, choose: Choose) -> Tally {
    let mut tally = Tally::default();
    let old_primary = Name::from("lead");
    for_each_scenario(replicas, sync_replicas, |scenario| {
        let (group, suspended) = (scenario.group(), scenario.suspended_ends());
        let highest = scenario.highest_acknowledged();
        // Nodes may have acknowledged any part of these commits. Once all have reported, they acknowledge no more.
        for reported in (0..=highest).map(Some).chain([None]) {
            let selection = CandidateSelection {
                group: &group,
                suspended: &suspended,
                old_primary: Some(&old_primary),
                acknowledged_end: reported.map(at),
                acknowledged_at_least: Position::default(),
                trust_listed_replicas: true,
                delay_elapsed: true,
            };
            tally.scenarios += 1;
            match choose(&selection) {
                Some(chosen) => tally.lost += usize::from(chosen.end < at(reported.unwrap_or(highest))),
                None => tally.not_promoted += 1,
            }
        }
    });
    tally
}

#[test]
fn the_promoted_server_has_every_commit_that_may_be_acknowledged() {
    for (replicas, sync_replicas) in [(1, 1), (2, 1), (3, 1), (2, 2), (3, 2), (3, 3)] {
        let tally = tally(replicas, sync_replicas, |selection| selection.choose(None));
        assert_eq!(tally.lost, 0, "{replicas} replicas, {sync_replicas} of them synchronous");
        let (not_promoted, scenarios) = (tally.not_promoted, tally.scenarios);
        let case = format!("{replicas} {sync_replicas}: no server promoted in {not_promoted} of {scenarios}");
        assert!(not_promoted * 3 < scenarios * 2, "{case}");
    }
}

#[test]
fn choosing_the_highest_log_unconditionally_loses_commits() {
    let highest: Choose = |selection| {
        let best = selection.suspended.iter().max_by_key(|(_, end)| **end);
        best.map(|(name, end)| candidate(name, *end))
    };
    assert!(tally(2, 1, highest).lost > 0 && tally(3, 1, highest).lost > 0);
    // Requiring one suspended replica too few also loses commits.
    let one_too_few: Choose = |selection| {
        let sync_replicas = selection.group.sync_replicas + 1;
        let group = SyncGroup { sync_replicas, ..selection.group.clone() };
        CandidateSelection { group: &group, ..selection.clone() }.choose(None)
    };
    assert!(tally(2, 1, one_too_few).lost > 0 && tally(3, 2, one_too_few).lost > 0);
}

#[test]
fn a_server_is_promoted_when_all_replicas_or_the_old_primary_are_suspended() {
    for_each_scenario(3, 1, |scenario| {
        let (group, suspended) = (scenario.group(), scenario.suspended_ends());
        let old_primary = Name::from("lead");
        let selection = CandidateSelection {
            group: &group,
            suspended: &suspended,
            old_primary: Some(&old_primary),
            acknowledged_end: None,
            acknowledged_at_least: Position::default(),
            trust_listed_replicas: true,
            delay_elapsed: false,
        };
        let chosen = selection.choose(None);
        if !scenario.primary_suspended && !scenario.suspended.iter().all(|suspended| *suspended) {
            assert_eq!(chosen, None, "{scenario:?}");
            return;
        }
        let chosen = chosen.unwrap();
        // A draining server is chosen only if no other server has every commit that may be acknowledged.
        let required = selection.required_end().unwrap();
        let is_staying = |name: &&Name| !group.draining.contains(name) && suspended[*name] >= required;
        let is_last_resort = !suspended.keys().any(|name| is_staying(&name));
        assert!(!group.draining.contains(&chosen.server) || is_last_resort, "{scenario:?}");
        assert_eq!(suspended[&chosen.server], chosen.end);
    });
}

#[test]
fn an_eligible_replica_is_chosen_before_the_old_primary_and_before_an_ineligible_preferred_server() {
    let group = SyncGroup { sync_replicas: 1, holders: names(2), ..Default::default() };
    let suspended: BTreeMap<Name, Position> =
        [("lead", 5), ("r0", 4), ("r1", 3)].map(|(name, end)| (name.into(), at(end))).into();
    let old_primary = Name::from("lead");
    let selection = CandidateSelection {
        group: &group,
        suspended: &suspended,
        old_primary: Some(&old_primary),
        acknowledged_end: None,
        acknowledged_at_least: Position::default(),
        trust_listed_replicas: true,
        delay_elapsed: false,
    };
    assert_eq!(selection.choose(None), Some(candidate("r0", at(4))));
    let preferred = selection.choose(Some(&"r1".into()));
    assert_eq!(
        preferred,
        Some(candidate("r0", at(4))),
        "the preferred server lacks a commit that may be acknowledged"
    );
    let only_low: BTreeMap<Name, Position> =
        [("lead", 5), ("r1", 3)].map(|(name, end)| (name.into(), at(end))).into();
    let selection = CandidateSelection { suspended: &only_low, ..selection };
    assert_eq!(selection.choose(None), Some(candidate("lead", at(5))));
}

#[test]
fn the_log_of_the_newer_term_is_chosen_when_terms_differ() {
    let group = SyncGroup { sync_replicas: 1, holders: names(2), ..Default::default() };
    let newer = Position { fence: 2, number: 3 };
    let suspended: BTreeMap<Name, Position> = [("r0".into(), at(9)), ("r1".into(), newer)].into();
    let selection = CandidateSelection {
        group: &group,
        suspended: &suspended,
        old_primary: None,
        acknowledged_end: None,
        acknowledged_at_least: Position::default(),
        trust_listed_replicas: true,
        delay_elapsed: false,
    };
    assert_eq!(selection.choose(None), Some(candidate("r1", newer)));
}

#[test]
fn without_sync_replicas_the_highest_log_is_chosen_after_the_delay() {
    let group = SyncGroup { holders: names(2), ..Default::default() };
    let suspended: BTreeMap<Name, Position> = [("r0".into(), at(2))].into();
    let selection = CandidateSelection {
        group: &group,
        suspended: &suspended,
        old_primary: None,
        acknowledged_end: None,
        acknowledged_at_least: Position::default(),
        trust_listed_replicas: true,
        delay_elapsed: false,
    };
    assert_eq!(selection.choose(None), None);
    let waited = CandidateSelection { delay_elapsed: true, ..selection };
    assert_eq!(waited.choose(None), Some(candidate("r0", at(2))));
}
