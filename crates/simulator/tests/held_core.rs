//! Nodes and a chain of keepers that a network partition splits (§5.3, §5.6), in virtual time.
#[allow(dead_code)]
#[path = "held/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "held/group.rs"]
mod group;

use fleet::World;
use group::Group;

/// The tail is cut off from the other keepers, while every node still reaches all of them. The other keepers continue
/// without the tail, and the nodes must find them before their leases expire. Nodes once failed to do so when the
/// keepers were partitioned.
#[test]
fn nodes_keep_their_leases_when_the_tail_is_partitioned_from_the_other_keepers() {
    for seed in 80..84 {
        let world = World::new(seed, 3, Group::new(&["a", "b", "c"]));
        world.run_for(3_000);
        world.register_servers();
        world.wait_until(1_500, |world| world.is_primary("a"));
        world.run_for(3_000);
        // The keepers are the first three processes, and the third one is the tail.
        for other in [0, 1] {
            world.simulation.lock().partitions.extend([(2, other), (other, 2)]);
        }
        for _ in 0..100 {
            world.run_for(100);
            for (node, pid) in world.nodes.iter().zip(&world.pids) {
                assert!(
                    world.simulation.run_in(*pid, || node.proxy.registry.has_lease()),
                    "{} lost its lease",
                    node.proxy.settings.name
                );
            }
        }
        world.finish();
    }
}
