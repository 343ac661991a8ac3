//! Which primaries prove positions.
use quincehatch_core::{Role, ServerHeartbeat, ServerState};
use quincehatch_proxy::registry::StatusRecord;

fn heartbeat(boot: u64, fence: u64, role: Role, state: ServerState) -> ServerHeartbeat {
    ServerHeartbeat { boot, fence, role, state, ..Default::default() }
}

/// Drawn seed 5000009 of `--hands`: a server that was draining was promoted, and what it showed proved reads fresh before
/// it showed all that the primary before it had acknowledged.
#[test]
fn a_draining_primary_proves_nothing_until_it_was_seen_complete_under_its_fence() {
    use Role::{Primary, Replica};
    use ServerState::{Draining, Starting, Up};
    let mut status = StatusRecord::default();
    // Up as a replica that was fenced says nothing of it as a primary.
    assert!(!status.shows_complete_log(&heartbeat(1, 5, Replica, Up)));
    assert!(!status.shows_complete_log(&heartbeat(1, 5, Primary, Draining)));
    assert!(!status.shows_complete_log(&heartbeat(1, 5, Primary, Starting)));
    assert!(status.shows_complete_log(&heartbeat(1, 5, Primary, Up)));
    assert!(status.shows_complete_log(&heartbeat(1, 5, Primary, Draining)));
    assert!(!status.shows_complete_log(&heartbeat(2, 5, Primary, Draining)), "another incarnation");
    assert!(!status.shows_complete_log(&heartbeat(1, 6, Primary, Draining)), "another fence");
}
