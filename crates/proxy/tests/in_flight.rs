//! Tests the counts of work in flight and the bounded queue of requests that wait for a primary.
use quincehatch_proxy::in_flight::InFlightCounts;

#[test]
fn the_queue_is_bounded_and_dropped_slots_become_free() {
    let counts = InFlightCounts::default();
    let slot = counts.enter_queue("g", 1);
    assert!(slot.is_some() && counts.enter_queue("g", 1).is_none());
    assert_eq!(counts.queued_count("g"), 1);
    drop(slot);
    assert!(counts.enter_queue("g", 1).is_some());
    let work = counts.begin("g");
    assert_eq!((counts.open_count("g"), counts.open_count("h")), (1, 0));
    drop(work);
    assert_eq!(counts.open_count("g"), 0);
}
