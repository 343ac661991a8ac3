//! The lead of a group whose servers are met over held links (§5.5), in virtual time.
#[allow(dead_code)]
#[path = "held/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "held/group.rs"]
mod group;

use fleet::World;
use group::Group;

/// Three nodes, and servers a (leads), b and c, adopted and under load.
fn begun(seed: u64) -> World {
    let w = World::new(seed, 3, Group::new(&["a", "b", "c"]));
    w.run(3_000);
    w.known();
    w.until(1_500, |w| w.led_by("a"));
    w.load();
    w.run(5_000);
    w
}
fn told(w: &World) -> Vec<String> {
    w.group.with(|s| s.told.clone())
}

#[test]
fn a_first_lead_is_taken_as_it_is_and_soon() {
    let w = World::new(1, 3, Group::new(&["a", "b", "c"]));
    w.run(3_000);
    w.known();
    let took = w.until(3_000, |w| w.led_by("a"));
    assert!(took <= 1_000, "{took} ms");
    w.run(10_000);
    assert!(told(&w).is_empty(), "{:?}", told(&w));
    w.end();
}

#[test]
fn after_a_crash_the_replica_that_has_all_leads_and_the_other_receives_again() {
    for seed in 0..8 {
        let w = begun(seed);
        w.group.change("a", |s| s.up = false);
        let took = w.until(6_000, |w| w.lead().is_some_and(|l| l.server.as_deref() != Some("a")));
        assert!(took <= 3_000, "{took} ms {:#?}", w.story());
        let acked = w.group.with(|s| s.acked);
        w.run(1_000);
        assert!(
            w.group.with(|s| s.acked > acked && s.servers.values().all(|x| x.look.suspended_term == 0)),
            "{:#?}",
            w.story()
        );
        w.end();
    }
}

#[test]
fn one_node_that_is_cut_off_deposes_nobody() {
    for node in ["n0", "n1", "n2"] {
        let w = begun(3);
        w.group.with(|s| s.cut.insert((node.into(), "a".into())));
        w.run(10_000);
        assert!(w.led_by("a") && told(&w).is_empty(), "{:#?}", w.story());
        w.end();
    }
}

#[test]
fn nobody_leads_who_lacks_what_only_a_dark_server_has() {
    let w = begun(5);
    // Only b receives; then both are gone.
    w.group.change("c", |s| s.deaf = true);
    w.run(4_000);
    w.group.change("a", |s| s.up = false);
    w.group.change("b", |s| s.up = false);
    w.run(15_000);
    assert!(w.lead().is_none_or(|l| l.server.as_deref() == Some("a")), "{:#?}", w.story());
    w.group.change("b", |s| s.up = true);
    w.until(6_000, |w| w.led_by("b"));
    w.end();
}

#[test]
fn a_replica_that_has_all_that_nodes_passed_on_leads_though_another_is_dark() {
    let w = begun(6);
    w.group.change("b", |s| s.up = false);
    w.run(4_000);
    w.group.change("a", |s| s.up = false);
    w.until(6_000, |w| w.led_by("c"));
    w.end();
}

#[test]
fn a_lead_that_leaves_hands_over_to_one_that_stays() {
    for seed in 10..16 {
        let w = begun(seed);
        w.stand(&"b".into(), 1, true, 2);
        w.stand(&"a".into(), 0, true, 2);
        let took = w.until(4_000, |w| w.led_by("c"));
        assert!(took <= 2_000, "{took} ms {:#?}", w.story());
        w.end();
    }
}

#[test]
fn a_lead_that_no_replica_hears_is_replaced_and_one_that_waits_is_not() {
    let w = begun(20);
    w.group.with(|s| s.alone = Some("a".into()));
    w.until(8_000, |w| w.lead().is_some_and(|l| l.server.as_deref() != Some("a")));
    let acked = w.group.with(|s| s.acked);
    w.run(2_000);
    assert!(w.group.with(|s| s.acked > acked), "{:#?}", w.story());
    w.end();
    // Nobody writes: nothing is to be received.
    let w = World::new(21, 3, Group::new(&["a", "b", "c"]));
    w.run(3_000);
    w.known();
    w.run(20_000);
    assert!(w.led_by("a") && told(&w).is_empty(), "{:#?}", w.story());
    w.end();
}
