//! Tests which primaries' positions count as proof of freshness.
use quincehatch_core::{Role, ServerHeartbeat, ServerState};
use quincehatch_proxy::registry::StatusRecord;

fn heartbeat(boot: u64, fence: u64, role: Role, state: ServerState) -> ServerHeartbeat {
    ServerHeartbeat { boot, fence, role, state, ..Default::default() }
}

/// Found by drawn seed 5000009 of `--hands`: a draining server was promoted, and its positions proved reads fresh
/// before it showed everything that the previous primary had acknowledged.
#[test]
fn a_draining_primary_proves_no_position_until_it_showed_its_complete_log_under_its_fence() {
    use Role::{Primary, Replica};
    use ServerState::{Draining, Starting, Up};
    let mut status = StatusRecord::default();
    // The state `Up` of a fenced replica says nothing about the server as a primary.
    assert!(!status.shows_complete_log(&heartbeat(1, 5, Replica, Up)));
    assert!(!status.shows_complete_log(&heartbeat(1, 5, Primary, Draining)));
    assert!(!status.shows_complete_log(&heartbeat(1, 5, Primary, Starting)));
    assert!(status.shows_complete_log(&heartbeat(1, 5, Primary, Up)));
    assert!(status.shows_complete_log(&heartbeat(1, 5, Primary, Draining)));
    assert!(!status.shows_complete_log(&heartbeat(2, 5, Primary, Draining)), "another incarnation");
    assert!(!status.shows_complete_log(&heartbeat(1, 6, Primary, Draining)), "another fence");
}
