//! Promotions in a group whose servers nodes reach over direct connections (§5.5), in virtual time.
#[allow(dead_code)]
#[path = "held/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "held/group.rs"]
mod group;

use fleet::Fleet;
use group::Group;

/// Returns a fleet under load, with three nodes and the servers a (the primary), b and c.
fn fleet_under_load(seed: u64) -> Fleet {
    let fleet = Fleet::new(seed, 3, Group::new(&["a", "b", "c"]));
    fleet.run_for(3_000);
    fleet.register_all();
    fleet.wait_until(1_500, |fleet| fleet.is_primary("a"));
    fleet.start_load();
    fleet.run_for(5_000);
    fleet
}
fn recorded_calls(fleet: &Fleet) -> Vec<String> {
    fleet.group.with(|state| state.calls.clone())
}

#[test]
fn the_first_primary_is_adopted_within_a_second_without_a_promotion() {
    let fleet = Fleet::new(1, 3, Group::new(&["a", "b", "c"]));
    fleet.run_for(3_000);
    fleet.register_all();
    let elapsed = fleet.wait_until(3_000, |fleet| fleet.is_primary("a"));
    assert!(elapsed <= 1_000, "{elapsed} ms");
    fleet.run_for(10_000);
    assert!(recorded_calls(&fleet).is_empty(), "{:?}", recorded_calls(&fleet));
    fleet.finish();
}

#[test]
fn after_a_crash_the_most_advanced_replica_is_promoted_and_the_other_resumes() {
    for seed in 0..8 {
        let fleet = fleet_under_load(seed);
        fleet.group.change("a", |server| server.up = false);
        let elapsed = fleet.wait_until(6_000, |fleet| {
            fleet.primary().is_some_and(|assigned| assigned.server.as_deref() != Some("a"))
        });
        assert!(elapsed <= 3_000, "{elapsed} ms {:#?}", fleet.event_log());
        let acknowledged = fleet.group.with(|state| state.acknowledged);
        fleet.run_for(1_000);
        assert!(
            fleet.group.with(|state| state.acknowledged > acknowledged
                && state.servers.values().all(|server| server.reported.suspended_term == 0)),
            "{:#?}",
            fleet.event_log()
        );
        fleet.finish();
    }
}

#[test]
fn one_partitioned_node_does_not_replace_the_primary() {
    for node in ["n0", "n1", "n2"] {
        let fleet = fleet_under_load(3);
        fleet.group.with(|state| state.partitions.insert((node.into(), "a".into())));
        fleet.run_for(10_000);
        assert!(fleet.is_primary("a") && recorded_calls(&fleet).is_empty(), "{:#?}", fleet.event_log());
        fleet.finish();
    }
}

#[test]
fn no_replica_is_promoted_that_lacks_entries_of_an_unreachable_server() {
    let fleet = fleet_under_load(5);
    // Only b receives entries; then a and b crash.
    fleet.group.change("c", |server| server.deaf = true);
    fleet.run_for(4_000);
    fleet.group.change("a", |server| server.up = false);
    fleet.group.change("b", |server| server.up = false);
    fleet.run_for(15_000);
    assert!(
        fleet.primary().is_none_or(|assigned| assigned.server.as_deref() == Some("a")),
        "{:#?}",
        fleet.event_log()
    );
    fleet.group.change("b", |server| server.up = true);
    fleet.wait_until(6_000, |fleet| fleet.is_primary("b"));
    fleet.finish();
}

#[test]
fn a_replica_with_all_acknowledged_entries_is_promoted_though_another_is_down() {
    let fleet = fleet_under_load(6);
    fleet.group.change("b", |server| server.up = false);
    fleet.run_for(4_000);
    fleet.group.change("a", |server| server.up = false);
    fleet.wait_until(6_000, |fleet| fleet.is_primary("c"));
    fleet.finish();
}

#[test]
fn a_draining_primary_is_replaced_by_a_replica_that_does_not_drain() {
    for seed in 10..16 {
        let fleet = fleet_under_load(seed);
        fleet.register_server(&"b".into(), 1, true, 2);
        fleet.register_server(&"a".into(), 0, true, 2);
        let elapsed = fleet.wait_until(4_000, |fleet| fleet.is_primary("c"));
        assert!(elapsed <= 2_000, "{elapsed} ms {:#?}", fleet.event_log());
        fleet.finish();
    }
}

#[test]
fn a_primary_isolated_from_its_replicas_is_replaced_and_an_idle_one_is_not() {
    let fleet = fleet_under_load(20);
    fleet.group.with(|state| state.isolated = Some("a".into()));
    fleet.wait_until(8_000, |fleet| {
        fleet.primary().is_some_and(|assigned| assigned.server.as_deref() != Some("a"))
    });
    let acknowledged = fleet.group.with(|state| state.acknowledged);
    fleet.run_for(2_000);
    assert!(fleet.group.with(|state| state.acknowledged > acknowledged), "{:#?}", fleet.event_log());
    fleet.finish();
    // Without load the replicas receive nothing, which must not count as isolation.
    let fleet = Fleet::new(21, 3, Group::new(&["a", "b", "c"]));
    fleet.run_for(3_000);
    fleet.register_all();
    fleet.run_for(20_000);
    assert!(fleet.is_primary("a") && recorded_calls(&fleet).is_empty(), "{:#?}", fleet.event_log());
    fleet.finish();
}
