//! A planned hand-over among servers with sync replicas (§5.5), in virtual time.
#[allow(dead_code)]
#[path = "held/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "held/group.rs"]
mod group;

use fleet::World;
use group::Group;

/// Three nodes under load; `a` leads and says that it leaves.
fn leaving(seed: u64) -> World {
    let w = World::new(seed, 3, Group::new(&["a", "b", "c"]));
    w.run(3_000);
    w.known();
    w.until(1_500, |w| w.led_by("a"));
    w.load();
    w.run(5_000);
    w.stand(&"a".into(), 0, true, 2);
    w
}

/// The longest time without a commit that was passed on, until `until` leads and a second beyond.
fn gap(w: &World, until: impl Fn(&World) -> bool) -> u64 {
    let (mut acked, mut since, mut most, mut led) = (w.group.with(|s| s.acked), 0, 0, None);
    for ms in (0..8_000).step_by(5) {
        w.run(5);
        let now = w.group.with(|s| s.acked);
        (acked, since) = if now > acked { (now, 0) } else { (acked, since + 5) };
        most = most.max(since);
        if led.is_none() && until(w) {
            led = Some(ms);
        }
        if led.is_some_and(|l| ms > l + 1_000) {
            return most;
        }
    }
    panic!("no hand-over: {:#?}", w.story())
}

/// The platform takes 300 ms to promote; work goes on meanwhile and stands still for the naming alone.
#[test]
fn the_old_lead_serves_until_the_heir_leads() {
    for seed in 40..48 {
        let w = leaving(seed);
        let gap = gap(&w, |w| w.lead().is_some_and(|l| l.server.as_deref() != Some("a")));
        assert!(gap <= 150, "{gap} ms without a commit: {:#?}", w.story());
        w.end();
    }
}

/// Where another replica cannot be made to stand still, it may be the one that commits wait for: the lead is closed
/// before anyone is named.
#[test]
fn a_dark_replica_keeps_the_lead_from_being_handed_over_while_it_serves() {
    for seed in 50..54 {
        let w = leaving(seed);
        w.group.change("c", |s| s.up = false);
        w.until(8_000, |w| w.led_by("b"));
        assert!(w.story().iter().any(|s| s.contains("is closing")), "{:#?}", w.story());
        w.end();
    }
}

/// The lead dies amid its hand-over: the heir has all that was acknowledged.
#[test]
fn a_lead_that_dies_while_it_is_handed_over_takes_nothing_along() {
    for seed in 60..76 {
        let w = leaving(seed);
        w.run(10 * (seed - 59));
        w.group.change("a", |s| s.up = false);
        w.until(12_000, |w| w.lead().is_some_and(|l| l.server.as_deref() != Some("a")));
        w.run(1_000);
        w.end();
    }
}
