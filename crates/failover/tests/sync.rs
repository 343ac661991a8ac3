//! Whom to promote by receiving replicas (§5.5), over every small case, against what could have been acknowledged.
use quincehatch_core::{Name, Position, PrimaryAssignment};
use quincehatch_failover::sync::{Case, Group, Mark, dead, need};
use quincehatch_failover::watch::{GroupObservation, PromotionNeed};
use std::collections::BTreeMap;

fn at(n: u64) -> Position {
    Position { fence: 1, number: n }
}
fn names(n: usize) -> Vec<Name> {
    (0..n).map(|i| format!("r{i}").into()).collect()
}

/// A group at the moment of choosing: the lead's end, the replicas' ends, who of them stands still.
#[derive(Clone, Debug)]
struct World {
    n: u64,
    lead: u64,
    lead_still: bool,
    ends: Vec<u64>,
    still: Vec<bool>,
    leaving: Vec<bool>,
}

impl World {
    /// The highest commit that may be acknowledged, now or later: `n` replicas have it, or may yet receive it. A lead
    /// that does not stand still may have made more than it was seen to.
    fn acknowledged(&self) -> u64 {
        let most = if self.lead_still { self.lead } else { self.lead + 1 };
        let mut ends: Vec<u64> =
            self.ends.iter().zip(&self.still).map(|(e, still)| if *still { *e } else { most }).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(self.n as usize - 1).copied().unwrap_or(0)
    }
    fn seen(&self) -> (Group, BTreeMap<Name, Position>) {
        let all = names(self.ends.len());
        let mut still: BTreeMap<Name, Position> = all
            .iter()
            .zip(&self.ends)
            .zip(&self.still)
            .filter(|x| *x.1)
            .map(|((n, e), _)| (n.clone(), at(*e)))
            .collect();
        if self.lead_still {
            still.insert("lead".into(), at(self.lead));
        }
        let leaving = all.iter().zip(&self.leaving).filter(|x| *x.1).map(|x| x.0.clone()).collect();
        (Group { n: self.n, holders: all, leaving, lead: None }, still)
    }
}

/// Every world of `r` replicas with ends up to 2.
fn worlds(r: usize, n: u64, mut each: impl FnMut(&World)) {
    let kinds = 3usize.pow(r as u32);
    for lead in 0..=2u64 {
        for (code, masks) in (0..kinds).flat_map(|c| (0..1usize << (2 * r + 1)).map(move |m| (c, m))) {
            let ends: Vec<u64> = (0..r).map(|i| (code / 3usize.pow(i as u32) % 3) as u64).collect();
            if ends.iter().any(|e| *e > lead) {
                continue;
            }
            let bit = |i: usize| masks >> i & 1 == 1;
            let still = (0..r).map(bit).collect();
            let leaving = (0..r).map(|i| bit(r + i)).collect();
            each(&World { n, lead, lead_still: bit(2 * r), ends, still, leaving });
        }
    }
}

type Rule = fn(&Case<'_>) -> Option<(Name, Position)>;

/// In how many worlds does the rule promote a log that lacks what was acknowledged, and in how many nobody?
fn judge(r: usize, n: u64, rule: Rule) -> (usize, usize, usize) {
    let (mut lost, mut nobody, mut all) = (0, 0, 0);
    let old = Name::from("lead");
    worlds(r, n, |w| {
        let (group, still) = w.seen();
        let may = w.acknowledged();
        // What nodes passed on is any part of it; where they told, no more than that is passed on.
        for told in (0..=may).map(Some).chain([None]) {
            let case =
                Case { group: &group, still: &still, old: Some(&old), acked: told.map(at), waited: true };
            all += 1;
            match rule(&case) {
                Some((_, end)) => lost += usize::from(end < at(told.unwrap_or(may))),
                None => nobody += 1,
            }
        }
    });
    (lost, nobody, all)
}

#[test]
fn nothing_that_may_have_been_acknowledged_is_missing_from_whom_is_promoted() {
    for (r, n) in [(1, 1), (2, 1), (3, 1), (2, 2), (3, 2), (3, 3)] {
        let (lost, nobody, all) = judge(r, n, |c| c.choose(None));
        assert_eq!(lost, 0, "{r} replicas, {n} of them in step");
        assert!(nobody * 3 < all * 2, "{r} {n}: nobody in {nobody} of {all}");
    }
}

#[test]
fn the_highest_log_without_condition_would_lose_some() {
    let highest: Rule = |c| c.still.iter().max_by_key(|(_, e)| **e).map(|(n, e)| (n.clone(), *e));
    assert!(judge(2, 1, highest).0 > 0 && judge(3, 1, highest).0 > 0);
    // One replica too few that stands still is seen too.
    let few: Rule = |c| {
        let group = Group { n: c.group.n + 1, ..c.group.clone() };
        Case { group: &group, ..c.clone() }.choose(None)
    };
    assert!(judge(2, 1, few).0 > 0 && judge(3, 2, few).0 > 0);
}

#[test]
fn someone_is_promoted_wherever_all_replicas_or_the_old_lead_stand_still() {
    worlds(3, 1, |w| {
        let (group, still) = w.seen();
        let old = Name::from("lead");
        let case = Case { group: &group, still: &still, old: Some(&old), acked: None, waited: false };
        let got = case.choose(None);
        if w.lead_still || w.still.iter().all(|s| *s) {
            let (s, end) = got.unwrap();
            // One that leaves is taken only where none that stays has all that counts.
            let stays = |n: &&Name| !group.leaving.contains(n) && still[*n] >= case.reach().unwrap();
            assert!(!group.leaving.contains(&s) || !still.keys().any(|n| stays(&n)), "{w:?}");
            assert_eq!(still[&s], end);
        } else {
            assert_eq!(got, None, "{w:?}");
        }
    });
}

#[test]
fn the_old_lead_is_relieved_where_another_will_do_and_a_wish_is_met_among_those_that_may() {
    let group = Group { n: 1, holders: names(2), ..Default::default() };
    let still: BTreeMap<Name, Position> =
        [("lead", 5), ("r0", 4), ("r1", 3)].map(|(n, e)| (n.into(), at(e))).into();
    let old = Name::from("lead");
    let case = Case { group: &group, still: &still, old: Some(&old), acked: None, waited: false };
    assert_eq!(case.choose(None), Some(("r0".into(), at(4))));
    assert_eq!(
        case.choose(Some(&"r1".into())),
        Some(("r0".into(), at(4))),
        "it lacks what may be acknowledged"
    );
    let only: BTreeMap<Name, Position> = [("lead", 5), ("r1", 3)].map(|(n, e)| (n.into(), at(e))).into();
    let case = Case { still: &only, ..case };
    assert_eq!(case.choose(None), Some(("lead".into(), at(5))));
}

#[test]
fn a_log_of_a_newer_term_is_the_higher_one() {
    let group = Group { n: 1, holders: names(2), ..Default::default() };
    let newer = Position { fence: 2, number: 3 };
    let still: BTreeMap<Name, Position> = [("r0".into(), at(9)), ("r1".into(), newer)].into();
    let case = Case { group: &group, still: &still, old: None, acked: None, waited: false };
    assert_eq!(case.choose(None), Some(("r1".into(), newer)));
}

#[test]
fn without_sync_replicas_the_highest_log_is_taken_after_a_while() {
    let group = Group { holders: names(2), ..Default::default() };
    let still: BTreeMap<Name, Position> = [("r0".into(), at(2))].into();
    let case = Case { group: &group, still: &still, old: None, acked: None, waited: false };
    assert_eq!(case.choose(None), None);
    assert_eq!(Case { waited: true, ..case }.choose(None), Some(("r0".into(), at(2))));
}

#[test]
fn a_silence_is_confirmed_by_others_and_a_leaving_lead_waits_for_an_heir() {
    let lead = PrimaryAssignment { fence: 1, server: Some("a".into()), ..Default::default() };
    let well = GroupObservation { primary: Some(lead), ..Default::default() };
    assert_eq!(need(&well, true), PromotionNeed::Nothing);
    let silent = GroupObservation { failing_for: Some(500), ..well.clone() };
    assert!(dead(&silent) && need(&silent, true) == PromotionNeed::Confirm);
    assert_eq!(
        need(&GroupObservation { failing_for: Some(499), ..well.clone() }, true),
        PromotionNeed::Nothing
    );
    assert_eq!(
        need(&GroupObservation { failing_for: Some(300), connection_refused: true, ..well.clone() }, true),
        PromotionNeed::Confirm
    );
    let leaves = GroupObservation { draining: true, ..well.clone() };
    assert_eq!(need(&leaves, true), PromotionNeed::Now { planned: true });
    assert_eq!(need(&leaves, false), PromotionNeed::Nothing);
    let closed = GroupObservation {
        primary: Some(PrimaryAssignment::default()),
        primary_unchanged_for: 3_999,
        ..well
    };
    assert_eq!(need(&closed, true), PromotionNeed::Nothing);
    assert_eq!(
        need(&GroupObservation { primary_unchanged_for: 4_000, ..closed }, true),
        PromotionNeed::Now { planned: false }
    );
}

#[test]
fn a_lead_is_cut_off_where_no_replica_that_answers_has_what_it_had_long_ago() {
    let mut m = Mark::default();
    assert_eq!(m.behind((100, at(5)), &[(90, at(4)), (0, at(0))]), 0);
    assert_eq!(m.behind((500, at(9)), &[(400, at(4)), (0, at(0))]), 300);
    assert_eq!(m.behind((2_100, at(9)), &[(2_200, at(4)), (0, at(0))]), 2_100);
    // One has it: a new mark.
    assert_eq!(m.behind((2_500, at(9)), &[(2_600, at(5)), (0, at(0))]), 100);
    assert_eq!(m.behind((3_000, at(9)), &[(3_100, at(9)), (0, at(0))]), 0);
    // Where nobody else answers, nothing is known.
    assert_eq!(m.behind((9_000, at(12)), &[]), 0);
}
