//! Only a voter may join the chain, because the members have no address of any other keeper.
mod cluster;

use cluster::{Cluster, InFlight, START, voter};
use quincehatch_core::Name;
use quincehatch_store::snapshot::SnapshotProgress;
use quincehatch_store::{Input, PeerMessage, View};

/// `c:1` was partitioned, and `d:1` replaced it as a voter. A snapshot request that `c:1` sent before is answered late.
#[test]
fn a_keeper_that_lost_its_vote_does_not_join_when_a_late_snapshot_arrives() {
    let members: Vec<Name> = ["a:1", "b:1"].map(Name::from).into();
    let voters = ["a:1", "b:1", "d:1"].map(voter).into();
    let view = View { version: 3, members, voters };
    let mut cluster = Cluster { now: START, ..Default::default() };
    // `d:1` receives no messages, because otherwise it would join the chain before the late answer arrives.
    cluster.unreachable = vec!["d:1".into()];
    for keeper in ["a:1", "b:1", "c:1", "d:1"] {
        cluster.start(keeper, keeper, &["a:1", "b:1"], view.clone());
    }
    cluster.run_for(3_000);
    assert_eq!(cluster.tail().as_deref(), Some("b:1"));
    let message = PeerMessage::FetchSnapshot { version: 3, progress: SnapshotProgress::default() };
    cluster.step("b:1", Input::Peer { from: "c:1".into(), message });
    let is_snapshot_for_c = |sent: &InFlight| {
        sent.to == "c:1" && matches!(sent.message, PeerMessage::Snapshot { joining: true, .. })
    };
    assert!(cluster.in_flight.iter().any(is_snapshot_for_c), "the tail sends its store");
    cluster.run_for(3_000);
    assert!(!cluster.view("a:1").is_member("c:1"), "{:?}", cluster.view("a:1"));
    assert_eq!(cluster.tail().as_deref(), Some("b:1"));
}
