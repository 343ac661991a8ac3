//! Nodes and a core of keepers that is cut in two (§5.3, §5.6), in virtual time.
#[allow(dead_code)]
#[path = "held/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "held/group.rs"]
mod group;

use fleet::World;
use group::Group;

/// The tail is cut off from the other keepers, and every node still reaches all of them: the others go on without it,
/// and nodes find them before their leases are out (found on days when the core was cut).
#[test]
fn a_tail_that_is_cut_off_from_the_core_keeps_no_node_from_the_others() {
    for seed in 80..84 {
        let w = World::new(seed, 3, Group::new(&["a", "b", "c"]));
        w.run(3_000);
        w.known();
        w.until(1_500, |w| w.led_by("a"));
        w.run(3_000);
        // Keepers are the first three processes, the third is the tail.
        for other in [0, 1] {
            w.core.lock().partitions.extend([(2, other), (other, 2)]);
        }
        for _ in 0..100 {
            w.run(100);
            for (f, pid) in w.fleets.iter().zip(&w.pids) {
                assert!(
                    w.core.run_in(*pid, || f.proxy.registry.has_lease()),
                    "{} lost its lease",
                    f.proxy.settings.name
                );
            }
        }
        w.end();
    }
}
