//! Tests of the steps of a promotion: which voters it records before it promotes a server, and which servers must be
//! fenced before it chooses one.
use quincehatch_core::{Name, Position, PrimaryAssignment};
use quincehatch_failover::promotion::{Phase, Promotion, PromotionAction, PromotionEvent, PromotionPlan};

/// Returns one name for each letter.
fn names(letters: &str) -> Vec<Name> {
    letters.chars().map(|letter| letter.to_string().into()).collect()
}

fn plan(servers: &str, voters: &str) -> PromotionPlan {
    PromotionPlan {
        group: "g".into(),
        coordinator: "n".into(),
        attempt: "1".into(),
        primary: None,
        expected_fence: 0,
        old_primary: None,
        servers: names(servers),
        server_count: 3,
        planned: false,
        earlier_calls: false,
        preferred: None,
        voters: names(voters),
        sync_group: None,
    }
}

fn closed(voter_sets: &[&str]) -> PromotionEvent {
    let (last, previous) = voter_sets.split_last().unwrap();
    let previous_voters = previous.iter().map(|letters| names(letters)).collect();
    let primary = PrimaryAssignment { fence: 2, voters: names(last), previous_voters, ..Default::default() };
    PromotionEvent::PrimaryClosed(primary)
}

fn fenced(server: &str, number: u64) -> PromotionEvent {
    PromotionEvent::ServerFenced(server.into(), Position { fence: 1, number })
}

fn closed_promotion(servers: &str, voters: &str, voter_sets: &[&str]) -> Promotion {
    let mut promotion = Promotion::new(1, plan(servers, voters)).0;
    promotion.step(1, PromotionEvent::FenceAcquired(2));
    promotion.step(1, closed(voter_sets));
    promotion
}

/// Guards against a fault that seed 2001440 of the simulator found: a server became the primary with voters that no
/// other node knew, and served data that the next primary lacked.
#[test]
fn no_server_is_promoted_before_its_voters_are_recorded_in_the_store() {
    let mut promotion = closed_promotion("abcd", "abd", &["abc"]);
    promotion.step(1, fenced("a", 7));
    let actions = promotion.step(1, fenced("b", 5));
    assert!(
        !actions.iter().any(|action| matches!(action, PromotionAction::PromoteServer { .. })),
        "{actions:?}"
    );
    let written = actions.iter().find_map(|action| match action {
        PromotionAction::WritePrimary { primary, .. } => Some(primary.clone()),
        _ => None,
    });
    assert_eq!(written.map(|primary| (primary.server, primary.voters)), Some((None, names("abd"))));
    let actions = promotion.step(1, PromotionEvent::VotersRecorded);
    let promoted = actions.iter().find_map(|action| match action {
        PromotionAction::PromoteServer { server, voters, .. } => Some((server.clone(), voters.clone())),
        _ => None,
    });
    assert_eq!(promoted, Some(("a".into(), names("abd"))));
}

#[test]
fn voters_are_not_recorded_again_when_they_stay_the_same() {
    let mut promotion = closed_promotion("abc", "cab", &["abc"]);
    promotion.step(1, fenced("a", 7));
    promotion.step(1, fenced("b", 5));
    assert_eq!(promotion.phase, Phase::Promoting);
}

/// A commit may be on only two servers of a voter set, so three of five servers may all lack it.
#[test]
fn a_server_is_chosen_only_when_all_but_one_of_each_voter_set_are_fenced() {
    for voter_sets in [&["abcde"][..], &["abc", "cde"]] {
        let mut promotion = closed_promotion("abcde", "abc", voter_sets);
        for server in ["a", "b", "c"] {
            promotion.step(1, fenced(server, 5));
        }
        assert_eq!(promotion.phase, Phase::Fencing, "{voter_sets:?}");
        promotion.step(1, fenced("d", 9));
        assert_ne!(promotion.phase, Phase::Fencing, "{voter_sets:?}");
    }
}
