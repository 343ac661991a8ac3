//! Planned hand-over of the primary role in a group with synchronous replicas (§5.5), in virtual time.
#[allow(dead_code)]
#[path = "held/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "held/group.rs"]
mod group;

use fleet::Fleet;
use group::Group;

/// Returns a fleet with three nodes under load, whose primary `a` has announced that it drains.
fn fleet_with_draining_primary(seed: u64) -> Fleet {
    let fleet = Fleet::new(seed, 3, Group::new(&["a", "b", "c"]));
    fleet.run_for(3_000);
    fleet.register_all();
    fleet.wait_until(1_500, |fleet| fleet.is_primary("a"));
    fleet.start_load();
    fleet.run_for(5_000);
    fleet.register_server(&"a".into(), 0, true, 2);
    fleet
}

/// Returns the longest time in ms without an acknowledged commit, until one second after the hand-over.
fn longest_gap(fleet: &Fleet, is_handed_over: impl Fn(&Fleet) -> bool) -> u64 {
    let (mut acknowledged, mut waiting, mut longest, mut handed_over_at) =
        (fleet.group.with(|state| state.acknowledged), 0, 0, None);
    for ms in (0..8_000).step_by(5) {
        fleet.run_for(5);
        let now = fleet.group.with(|state| state.acknowledged);
        (acknowledged, waiting) = if now > acknowledged { (now, 0) } else { (acknowledged, waiting + 5) };
        longest = longest.max(waiting);
        if handed_over_at.is_none() && is_handed_over(fleet) {
            handed_over_at = Some(ms);
        }
        if handed_over_at.is_some_and(|at| ms > at + 1_000) {
            return longest;
        }
    }
    panic!("no hand-over: {:#?}", fleet.event_log())
}

/// The platform takes 300 ms to promote. The old primary serves meanwhile; commits pause only while the new primary is
/// recorded in the chain.
#[test]
fn the_old_primary_serves_until_the_new_one_is_promoted() {
    for seed in 40..48 {
        let fleet = fleet_with_draining_primary(seed);
        let longest_gap = longest_gap(&fleet, |fleet| {
            fleet.primary().is_some_and(|assigned| assigned.server.as_deref() != Some("a"))
        });
        assert!(longest_gap <= 150, "{longest_gap} ms without a commit: {:#?}", fleet.event_log());
        fleet.finish();
    }
}

/// A replica that cannot be suspended may be the one whose confirmation commits wait for. The primary is therefore
/// closed before a new one is recorded.
#[test]
fn the_primary_is_closed_before_the_hand_over_if_a_replica_is_unreachable() {
    for seed in 50..54 {
        let fleet = fleet_with_draining_primary(seed);
        fleet.group.change("c", |server| server.up = false);
        fleet.wait_until(8_000, |fleet| fleet.is_primary("b"));
        assert!(
            fleet.event_log().iter().any(|event| event.contains("is closing")),
            "{:#?}",
            fleet.event_log()
        );
        fleet.finish();
    }
}

/// The primary crashes during its hand-over; the new primary must have all acknowledged commits.
#[test]
fn no_acknowledged_commit_is_lost_if_the_primary_crashes_during_its_hand_over() {
    for seed in 60..76 {
        let fleet = fleet_with_draining_primary(seed);
        fleet.run_for(10 * (seed - 59));
        fleet.group.change("a", |server| server.up = false);
        fleet.wait_until(12_000, |fleet| {
            fleet.primary().is_some_and(|assigned| assigned.server.as_deref() != Some("a"))
        });
        fleet.run_for(1_000);
        fleet.finish();
    }
}
