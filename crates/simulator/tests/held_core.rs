//! Nodes of a fleet whose keepers are partitioned from each other (§5.3, §5.6), in virtual time.
#[allow(dead_code)]
#[path = "held/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "held/group.rs"]
mod group;

use fleet::Fleet;
use group::Group;

/// The tail is partitioned from the other keepers, while every node still reaches all keepers. The other keepers
/// continue without it, and nodes must find the new tail before their leases expire.
#[test]
fn nodes_keep_their_leases_when_the_tail_is_partitioned_from_the_other_keepers() {
    for seed in 80..84 {
        let fleet = Fleet::new(seed, 3, Group::new(&["a", "b", "c"]));
        fleet.run_for(3_000);
        fleet.register_all();
        fleet.wait_until(1_500, |fleet| fleet.is_primary("a"));
        fleet.run_for(3_000);
        // The keepers are the first three processes; the third is the tail.
        for other in [0, 1] {
            fleet.simulation.lock().partitions.extend([(2, other), (other, 2)]);
        }
        for _ in 0..100 {
            fleet.run_for(100);
            for (node, pid) in fleet.nodes.iter().zip(&fleet.pids) {
                assert!(
                    fleet.simulation.run_in(*pid, || node.proxy.registry.has_lease()),
                    "{} lost its lease",
                    node.proxy.settings.name
                );
            }
        }
        fleet.finish();
    }
}
