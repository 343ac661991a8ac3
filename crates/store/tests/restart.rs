//! A tail that is started anew (§5.3).
mod kit;

use kit::Net;
use quincehatch_core::Name;
use quincehatch_store::View;

const SEEDS: [&str; 3] = ["a:1", "b:1", "c:1"];

fn start(net: &mut Net) {
    net.ks.clear();
    net.wire.clear();
    for s in SEEDS {
        net.seeker(s, s, &SEEDS, View::initial(&SEEDS.map(Name::from)));
    }
}

/// Whoever served as the tail of a view has outlasted older tails before: started anew it need not do so again. One
/// that has not must (found on days on which all processes were killed at once).
#[test]
fn a_tail_that_served_in_its_view_serves_at_once_when_started_anew() {
    let mut net = Net { now: 1_000, ..Default::default() };
    start(&mut net);
    net.run(6_000);
    let tail = net.tail().unwrap();
    start(&mut net);
    net.run(300);
    assert_eq!(net.tail(), Some(tail.clone()));
    net.disks.get_mut(&tail).unwrap().served_version = 0;
    start(&mut net);
    net.run(300);
    assert_eq!(net.tail(), None, "an older tail might still hold its lease");
}
