//! Restarts of the tail.
mod cluster;

use cluster::three_keepers::{SEEDS, first_view};
use cluster::{Cluster, START};

fn restart_all(cluster: &mut Cluster) {
    cluster.keepers.clear();
    cluster.in_flight.clear();
    for seed in SEEDS {
        cluster.start(seed, seed, &SEEDS, first_view());
    }
}

/// A keeper that has served as the tail of its view has already waited for the leases of earlier tails, so it does not
/// wait again after a restart. A keeper that has not served must wait. Runs that kill all processes at once found this.
#[test]
fn a_restarted_tail_serves_at_once_if_it_served_in_its_view_before() {
    let mut cluster = Cluster { now: START, ..Default::default() };
    restart_all(&mut cluster);
    cluster.run_for(6_000);
    let tail = cluster.tail().unwrap();
    restart_all(&mut cluster);
    cluster.run_for(300);
    assert_eq!(cluster.tail(), Some(tail.clone()));
    cluster.disks.get_mut(&tail).unwrap().served_version = 0;
    restart_all(&mut cluster);
    cluster.run_for(300);
    assert_eq!(cluster.tail(), None, "an older tail might still hold its lease");
}
