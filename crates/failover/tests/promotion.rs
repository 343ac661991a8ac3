//! A promotion's steps: what it writes before it tells a server anything, and of whom it chooses (§5.5).
use quincehatch_core::{Name, Position, PrimaryAssignment};
use quincehatch_failover::promotion::{Phase, Promotion, PromotionAction, PromotionEvent, PromotionPlan};

fn names(of: &str) -> Vec<Name> {
    of.chars().map(|c| c.to_string().into()).collect()
}
fn plan(servers: &str, counts: &str) -> PromotionPlan {
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
        preferred: None,
        voters: names(counts),
        sync_group: None,
    }
}
fn closed(lists: &[&str]) -> PromotionEvent {
    let (last, before) = lists.split_last().unwrap();
    let before = before.iter().map(|l| names(l)).collect();
    PromotionEvent::PrimaryClosed(PrimaryAssignment {
        fence: 2,
        voters: names(last),
        previous_voters: before,
        ..Default::default()
    })
}
fn fenced(s: &str, n: u64) -> PromotionEvent {
    PromotionEvent::ServerFenced(s.into(), Position { fence: 1, number: n })
}
fn begun(servers: &str, counts: &str, lists: &[&str]) -> Promotion {
    let mut p = Promotion::new(1, plan(servers, counts)).0;
    p.step(1, PromotionEvent::FenceAcquired(2));
    p.step(1, closed(lists));
    p
}

/// Drawn seed 2001440: a server led under a list that nobody else knew, and showed what the next lead lacked.
#[test]
fn no_server_is_told_of_a_list_that_the_chain_does_not_have() {
    let mut p = begun("abcd", "abd", &["abc"]);
    p.step(1, fenced("a", 7));
    let outs = p.step(1, fenced("b", 5));
    assert!(!outs.iter().any(|o| matches!(o, PromotionAction::PromoteServer { .. })), "{outs:?}");
    let list = outs.iter().find_map(|o| match o {
        PromotionAction::WritePrimary { primary: lead, .. } => Some(lead.clone()),
        _ => None,
    });
    assert_eq!(list.map(|l| (l.server, l.voters)), Some((None, names("abd"))));
    let outs = p.step(1, PromotionEvent::VotersRecorded);
    let told = outs.iter().find_map(|o| match o {
        PromotionAction::PromoteServer { server, voters: counts, .. } => {
            Some((server.clone(), counts.clone()))
        }
        _ => None,
    });
    assert_eq!(told, Some(("a".into(), names("abd"))));
}

#[test]
fn a_list_that_stands_needs_no_writing() {
    let mut p = begun("abc", "cab", &["abc"]);
    p.step(1, fenced("a", 7));
    p.step(1, fenced("b", 5));
    assert_eq!(p.phase, Phase::Promoting);
}

/// A commit is on two of a list, so three of five may all lack it.
#[test]
fn all_but_one_of_each_list_must_be_fenced() {
    for lists in [&["abcde"][..], &["abc", "cde"]] {
        let mut p = begun("abcde", "abc", lists);
        for s in ["a", "b", "c"] {
            p.step(1, fenced(s, 5));
        }
        assert_eq!(p.phase, Phase::Fencing, "{lists:?}");
        p.step(1, fenced("d", 9));
        assert_ne!(p.phase, Phase::Fencing, "{lists:?}");
    }
}
