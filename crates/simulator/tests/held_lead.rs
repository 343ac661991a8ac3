//! The primary of a group of servers on direct connections (§5.5), in virtual time.
#[allow(dead_code)]
#[path = "held/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "held/group.rs"]
mod group;

use fleet::World;
use group::Group;

/// Starts three nodes and servers `a` (the primary), `b` and `c`, with the configuration in force and under load.
fn world_under_load(seed: u64) -> World {
    let world = World::new(seed, 3, Group::new(&["a", "b", "c"]));
    world.run_for(3_000);
    world.register_servers();
    world.wait_until(1_500, |world| world.is_primary("a"));
    world.start_load();
    world.run_for(5_000);
    world
}
fn events(world: &World) -> Vec<String> {
    world.group.with(|s| s.events.clone())
}

#[test]
fn the_initial_primary_is_assigned_within_a_second_without_a_promotion() {
    let world = World::new(1, 3, Group::new(&["a", "b", "c"]));
    world.run_for(3_000);
    world.register_servers();
    let took = world.wait_until(3_000, |world| world.is_primary("a"));
    assert!(took <= 1_000, "{took} ms");
    world.run_for(10_000);
    assert!(events(&world).is_empty(), "{:?}", events(&world));
    world.finish();
}

#[test]
fn after_a_crash_the_most_recent_replica_is_promoted_and_the_other_is_resumed() {
    for seed in 0..8 {
        let world = world_under_load(seed);
        world.group.change("a", |s| s.up = false);
        let took = world.wait_until(6_000, |world| {
            world.assigned_primary().is_some_and(|assignment| assignment.server.as_deref() != Some("a"))
        });
        assert!(took <= 3_000, "{took} ms {:#?}", world.event_log());
        let acknowledged = world.group.with(|s| s.acknowledged);
        world.run_for(1_000);
        assert!(
            world
                .group
                .with(|s| s.acknowledged > acknowledged
                    && s.servers.values().all(|x| x.status.suspended_term == 0)),
            "{:#?}",
            world.event_log()
        );
        world.finish();
    }
}

#[test]
fn a_primary_that_only_one_node_cannot_reach_is_not_replaced() {
    for node in ["n0", "n1", "n2"] {
        let world = world_under_load(3);
        world.group.with(|s| s.unreachable.insert((node.into(), "a".into())));
        world.run_for(10_000);
        assert!(world.is_primary("a") && events(&world).is_empty(), "{:#?}", world.event_log());
        world.finish();
    }
}

#[test]
fn a_replica_that_lacks_commits_of_an_unreachable_server_is_not_promoted() {
    let world = world_under_load(5);
    // Only b receives commits; then a and b are down.
    world.group.change("c", |s| s.replication_stopped = true);
    world.run_for(4_000);
    world.group.change("a", |s| s.up = false);
    world.group.change("b", |s| s.up = false);
    world.run_for(15_000);
    assert!(
        world.assigned_primary().is_none_or(|assignment| assignment.server.as_deref() == Some("a")),
        "{:#?}",
        world.event_log()
    );
    world.group.change("b", |s| s.up = true);
    world.wait_until(6_000, |world| world.is_primary("b"));
    world.finish();
}

#[test]
fn a_replica_with_all_acknowledged_commits_is_promoted_while_another_is_unreachable() {
    let world = world_under_load(6);
    world.group.change("b", |s| s.up = false);
    world.run_for(4_000);
    world.group.change("a", |s| s.up = false);
    world.wait_until(6_000, |world| world.is_primary("c"));
    world.finish();
}

#[test]
fn a_draining_primary_hands_over_to_a_replica_that_is_not_draining() {
    for seed in 10..16 {
        let world = world_under_load(seed);
        world.register_server(&"b".into(), 1, true, 2);
        world.register_server(&"a".into(), 0, true, 2);
        let took = world.wait_until(4_000, |world| world.is_primary("c"));
        assert!(took <= 2_000, "{took} ms {:#?}", world.event_log());
        world.finish();
    }
}

#[test]
fn a_primary_cut_off_from_its_replicas_is_replaced_and_an_idle_one_is_not() {
    let world = world_under_load(20);
    world.group.with(|s| s.isolated_server = Some("a".into()));
    world.wait_until(8_000, |world| {
        world.assigned_primary().is_some_and(|assignment| assignment.server.as_deref() != Some("a"))
    });
    let acknowledged = world.group.with(|s| s.acknowledged);
    world.run_for(2_000);
    assert!(world.group.with(|s| s.acknowledged > acknowledged), "{:#?}", world.event_log());
    world.finish();
    // Without writes, the replicas have nothing to receive.
    let world = World::new(21, 3, Group::new(&["a", "b", "c"]));
    world.run_for(3_000);
    world.register_servers();
    world.run_for(20_000);
    assert!(world.is_primary("a") && events(&world).is_empty(), "{:#?}", world.event_log());
    world.finish();
}
