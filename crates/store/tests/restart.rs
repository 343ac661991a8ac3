//! Restarts of the tail.
mod kit;

use kit::fleet::{SEEDS, first_view};
use kit::{Net, START};

fn restart_all(net: &mut Net) {
    net.ks.clear();
    net.wire.clear();
    for seed in SEEDS {
        net.seeker(seed, seed, &SEEDS, first_view());
    }
}

/// A keeper that has served as the tail of its view has waited for older tails before: after a restart it need not do so
/// again. One that has not served must wait. Found in runs that kill all processes at once.
#[test]
fn a_restarted_tail_serves_at_once_if_it_served_in_its_view_before() {
    let mut net = Net { now: START, ..Default::default() };
    restart_all(&mut net);
    net.run(6_000);
    let tail = net.tail().unwrap();
    restart_all(&mut net);
    net.run(300);
    assert_eq!(net.tail(), Some(tail.clone()));
    net.disks.get_mut(&tail).unwrap().served_version = 0;
    restart_all(&mut net);
    net.run(300);
    assert_eq!(net.tail(), None, "an older tail might still hold its lease");
}
