//! Guards against a promotion that takes the replicas it knows for all that the old primary has: one that joined since the
//! plan, or that nobody has heard of yet, may alone have confirmed commits that clients were told of.
use quincehatch_core::{Name, Position, PrimaryAssignment};
use quincehatch_failover::direct::candidate::{CandidateSelection, SyncGroup};
use quincehatch_failover::promotion::{
    ListedServers, Phase, Promotion, PromotionAction, PromotionEvent, PromotionPlan,
};
use std::collections::BTreeMap;

fn at(number: u64) -> Position {
    Position { fence: 1, number }
}

fn names(list: &[&str]) -> Vec<Name> {
    list.iter().map(|name| (*name).into()).collect()
}

fn sync_group(holders: &[&str]) -> SyncGroup {
    SyncGroup { sync_replicas: 1, holders: names(holders), ..SyncGroup::default() }
}

fn listed(replicas: &[&str]) -> PromotionEvent {
    let servers = [&["lead"], replicas].concat();
    PromotionEvent::ServersListed(ListedServers {
        servers: names(&servers),
        voters: names(&servers),
        sync_group: sync_group(replicas),
    })
}

fn fenced(server: &str, number: u64) -> PromotionEvent {
    PromotionEvent::ServerFenced(server.into(), at(number))
}

fn acknowledged(at_least: u64, end: u64) -> PromotionEvent {
    PromotionEvent::AcknowledgedInPart { end: at(end), at_least: at(at_least) }
}

/// Returns a promotion of a group with the replicas r0 and r1 whose assignment is closed.
fn closed_promotion(planned: bool) -> Promotion {
    let plan = PromotionPlan {
        group: "g".into(),
        coordinator: "n".into(),
        attempt: "1".into(),
        primary: None,
        expected_fence: 0,
        old_primary: Some("lead".into()),
        servers: names(&["lead", "r0", "r1"]),
        server_count: 3,
        planned,
        earlier_calls: false,
        preferred: None,
        voters: names(&["lead", "r0", "r1"]),
        sync_group: Some(sync_group(&["r0", "r1"])),
    };
    let mut promotion = Promotion::new(1, plan).0;
    promotion.step(1, PromotionEvent::FenceAcquired(2));
    promotion.step(1, PromotionEvent::PrimaryClosed(PrimaryAssignment { fence: 2, ..Default::default() }));
    if planned {
        promotion.step(1, PromotionEvent::Drained);
    }
    assert_eq!(promotion.phase, Phase::Fencing);
    promotion
}

#[test]
fn a_replica_that_joined_since_the_plan_is_fenced_before_a_server_is_chosen() {
    let mut promotion = closed_promotion(false);
    for event in [fenced("r0", 5), fenced("r1", 5), acknowledged(5, 5)] {
        promotion.step(1, event);
        assert_eq!(promotion.phase, Phase::Fencing, "the servers are not listed yet");
    }
    promotion.step(1, listed(&["r0", "r1", "r2"]));
    assert_eq!(promotion.phase, Phase::Fencing, "r2 may hold more");
    let actions = promotion.step(400, PromotionEvent::Tick);
    let fences_newcomer = |action: &PromotionAction| matches!(action, PromotionAction::FenceServer { server, .. } if *server == "r2");
    assert!(actions.iter().any(fences_newcomer), "{actions:?}");
    let actions = promotion.step(401, fenced("r2", 7));
    let promoted = actions.iter().find_map(|action| match action {
        PromotionAction::PromoteServer { server, .. } => Some(server.clone()),
        _ => None,
    });
    assert_eq!(promoted, Some("r2".into()));
}

#[test]
fn no_server_is_chosen_by_the_listed_replicas_before_the_nodes_were_asked() {
    let mut promotion = closed_promotion(false);
    for event in [fenced("r0", 5), fenced("r1", 5), listed(&["r0", "r1"])] {
        promotion.step(1, event);
        assert_eq!(promotion.phase, Phase::Fencing);
    }
    promotion.step(1, acknowledged(0, 0));
    assert_eq!(promotion.phase, Phase::Promoting);
}

#[test]
fn in_a_planned_promotion_the_listed_replicas_count_only_after_a_better_proof_was_waited_for() {
    let mut promotion = closed_promotion(true);
    for event in [fenced("r0", 5), fenced("r1", 5), listed(&["r0", "r1"])] {
        promotion.step(1, event);
    }
    promotion.step(1, acknowledged(5, 5));
    assert_eq!(promotion.phase, Phase::Fencing);
    promotion.step(2, PromotionEvent::AcknowledgedUpTo { end: at(5), at_least: at(5) });
    assert_eq!(promotion.phase, Phase::Promoting);
    let mut promotion = closed_promotion(true);
    for event in [fenced("r0", 5), fenced("r1", 5), listed(&["r0", "r1"])] {
        promotion.step(1, event);
    }
    promotion.step(1, acknowledged(5, 5));
    promotion.step(900, PromotionEvent::Tick);
    assert_eq!(promotion.phase, Phase::Promoting);
}

/// Guards against the return of a primary that is cut off from its replicas: its own log is suspended first, and is always
/// long enough.
#[test]
fn the_old_primary_is_not_chosen_while_a_proof_for_its_replicas_may_still_come() {
    let mut promotion = closed_promotion(true);
    for event in [fenced("lead", 9), fenced("r0", 5), fenced("r1", 5), listed(&["r0", "r1"])] {
        promotion.step(1, event);
    }
    promotion.step(1, acknowledged(5, 5));
    assert_eq!(promotion.phase, Phase::Fencing, "the old primary is not chosen yet");
    let actions = promotion.step(900, PromotionEvent::Tick);
    let chooses_replica = |action: &PromotionAction| matches!(action, PromotionAction::PromoteServer { server, .. } if *server != "lead");
    assert!(actions.iter().any(chooses_replica), "{actions:?}");
}

/// Guards against the loss of a commit that lies between the two positions which nodes report, and that an unlisted replica or
/// the old primary alone holds: the listed replicas reached the lower position, and were chosen at once.
#[test]
fn a_replica_that_may_lack_acknowledged_commits_is_not_chosen_while_another_may_still_be_listed() {
    let mut promotion = closed_promotion(false);
    for event in [fenced("r0", 5), fenced("r1", 5), listed(&["r0", "r1"]), acknowledged(5, 6)] {
        promotion.step(1, event);
    }
    promotion.step(700, PromotionEvent::Tick);
    assert_eq!(promotion.phase, Phase::Fencing);
    let actions = promotion.step(701, listed(&["r0", "r1", "r2"]));
    let fences_newcomer = |action: &PromotionAction| matches!(action, PromotionAction::FenceServer { server, .. } if *server == "r2");
    assert!(actions.iter().any(fences_newcomer), "{actions:?}");
    let actions = promotion.step(702, fenced("r2", 6));
    let chooses_newcomer = |action: &PromotionAction| matches!(action, PromotionAction::PromoteServer { server, .. } if *server == "r2");
    assert!(actions.iter().any(chooses_newcomer), "{actions:?}");
}

/// Every combination of two listed replicas, one that is not listed and what it alone has confirmed.
#[test]
fn no_listed_replica_is_chosen_that_lacks_what_nodes_are_known_to_have_acknowledged() {
    for (first, second, acknowledged) in combinations() {
        let group = sync_group(&["r0", "r1"]);
        let suspended: BTreeMap<Name, Position> =
            [("r0".into(), at(first)), ("r1".into(), at(second))].into();
        let selection = CandidateSelection {
            group: &group,
            suspended: &suspended,
            old_primary: None,
            acknowledged_end: None,
            acknowledged_at_least: at(acknowledged),
            trust_listed_replicas: true,
            delay_elapsed: true,
        };
        let chosen = selection.choose(None).map(|candidate| candidate.end);
        let highest = at(first.max(second));
        let expected = (highest >= at(acknowledged)).then_some(highest);
        assert_eq!(chosen, expected, "{first} {second} {acknowledged}");
    }
}

fn combinations() -> impl Iterator<Item = (u64, u64, u64)> {
    (0..4).flat_map(|first| (0..4).flat_map(move |second| (0..5).map(move |third| (first, second, third))))
}
