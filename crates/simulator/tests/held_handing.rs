//! Planned hand-overs of the primary role among servers with synchronous replicas (§5.5), in virtual time.
#[allow(dead_code)]
#[path = "held/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "held/group.rs"]
mod group;

use fleet::World;
use group::Group;

/// Starts three nodes under load. The primary `a` announces that it is draining.
fn world_with_draining_primary(seed: u64) -> World {
    let world = World::new(seed, 3, Group::new(&["a", "b", "c"]));
    world.run_for(3_000);
    world.register_servers();
    world.wait_until(1_500, |world| world.is_primary("a"));
    world.start_load();
    world.run_for(5_000);
    world.register_server(&"a".into(), 0, true, 2);
    world
}

/// Returns the longest time without an acknowledged commit, measured until one second after `is_done` is first true.
fn longest_gap(world: &World, is_done: impl Fn(&World) -> bool) -> u64 {
    let (mut acknowledged, mut since, mut longest, mut done_at) =
        (world.group.with(|s| s.acknowledged), 0, 0, None);
    for ms in (0..8_000).step_by(5) {
        world.run_for(5);
        let now = world.group.with(|s| s.acknowledged);
        (acknowledged, since) = if now > acknowledged { (now, 0) } else { (acknowledged, since + 5) };
        longest = longest.max(since);
        if done_at.is_none() && is_done(world) {
            done_at = Some(ms);
        }
        if done_at.is_some_and(|at| ms > at + 1_000) {
            return longest;
        }
    }
    panic!("no hand-over: {:#?}", world.event_log())
}

/// The platform needs 300 ms for a promotion. Meanwhile the old primary continues to commit, and commits pause only
/// while the new primary is assigned.
#[test]
fn the_old_primary_commits_until_its_successor_is_promoted() {
    for seed in 40..48 {
        let world = world_with_draining_primary(seed);
        let gap = longest_gap(&world, |world| {
            world.assigned_primary().is_some_and(|assignment| assignment.server.as_deref() != Some("a"))
        });
        assert!(gap <= 150, "{gap} ms without a commit: {:#?}", world.event_log());
        world.finish();
    }
}

/// A replica that cannot be suspended may be the one whose acknowledgement completes commits, so the old primary is
/// closed before its successor is assigned.
#[test]
fn the_old_primary_is_closed_before_the_hand_over_if_a_replica_is_unreachable() {
    for seed in 50..54 {
        let world = world_with_draining_primary(seed);
        world.group.change("c", |s| s.up = false);
        world.wait_until(8_000, |world| world.is_primary("b"));
        assert!(world.event_log().iter().any(|s| s.contains("is closing")), "{:#?}", world.event_log());
        world.finish();
    }
}

/// The old primary crashes during its hand-over: its successor must have every acknowledged commit.
#[test]
fn no_acknowledged_commit_is_lost_when_the_primary_crashes_during_its_hand_over() {
    for seed in 60..76 {
        let world = world_with_draining_primary(seed);
        world.run_for(10 * (seed - 59));
        world.group.change("a", |s| s.up = false);
        world.wait_until(12_000, |world| {
            world.assigned_primary().is_some_and(|assignment| assignment.server.as_deref() != Some("a"))
        });
        world.run_for(1_000);
        world.finish();
    }
}
