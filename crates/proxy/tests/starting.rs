//! Which primaries prove positions (§4.8).
use quincehatch_core::{Role, ServerHeartbeat, ServerState};
use quincehatch_proxy::registry::StatusRecord;

fn beat(boot: u64, fence: u64, role: Role, state: ServerState) -> ServerHeartbeat {
    ServerHeartbeat { boot, fence, role, state, ..Default::default() }
}

/// Drawn seed 5000009 of `--hands`: a server that was leaving was promoted, and what it showed proved lookups fresh before
/// it showed all that its forerunner had acknowledged.
#[test]
fn a_leaving_primary_proves_nothing_until_it_was_seen_whole_under_its_fence() {
    use Role::{Primary, Replica};
    use ServerState::{Draining, Starting, Up};
    let mut s = StatusRecord::default();
    // Up as a replica that was fenced says nothing of it as a primary.
    assert!(!s.shows_complete_log(&beat(1, 5, Replica, Up)));
    assert!(!s.shows_complete_log(&beat(1, 5, Primary, Draining)));
    assert!(!s.shows_complete_log(&beat(1, 5, Primary, Starting)));
    assert!(s.shows_complete_log(&beat(1, 5, Primary, Up)));
    assert!(s.shows_complete_log(&beat(1, 5, Primary, Draining)));
    assert!(!s.shows_complete_log(&beat(2, 5, Primary, Draining)), "another life");
    assert!(!s.shows_complete_log(&beat(1, 6, Primary, Draining)), "another fence");
}
