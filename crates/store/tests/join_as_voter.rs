//! Only a machine that votes joins the chain: the others of its view could not reach any other (§5.3).
mod kit;

use kit::{Net, machine};
use quincehatch_core::Name;
use quincehatch_store::keeper::Input;
use quincehatch_store::snapshot::SnapshotProgress;
use quincehatch_store::{PeerMessage, View};

/// `c:1` was cut off, and `d:1` took its place. The answer to what it asked of the tail before that comes late.
#[test]
fn a_machine_that_lost_its_vote_does_not_join_with_a_late_snapshot() {
    let members: Vec<Name> = ["a:1", "b:1"].map(Name::from).into();
    let machines = ["a:1", "b:1", "d:1"].map(machine).into();
    let view = View { version: 3, members, voters: machines };
    let mut net = Net { now: 1_000, ..Default::default() };
    // What joins by itself is held back until the late answer came.
    net.deaf = vec!["d:1".into()];
    for keeper in ["a:1", "b:1", "c:1", "d:1"] {
        net.seeker(keeper, keeper, &["a:1", "b:1"], view.clone());
    }
    net.run(3_000);
    assert_eq!(net.tail().as_deref(), Some("b:1"));
    let m = PeerMessage::FetchSnapshot { version: 3, progress: SnapshotProgress::default() };
    net.step("b:1", Input::Peer { from: "c:1".into(), message: m });
    let answered = |m: &PeerMessage| matches!(m, PeerMessage::Snapshot { joining: true, .. });
    assert!(net.wire.iter().any(|(_, to, m)| to == "c:1" && answered(m)), "the tail sends its store");
    net.run(3_000);
    assert!(!net.view("a:1").is_member("c:1"), "{:?}", net.view("a:1"));
    assert_eq!(net.tail().as_deref(), Some("b:1"));
}
