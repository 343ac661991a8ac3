//! A restarted keeper ignores messages that answer its earlier process, whatever its wall clock shows.
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::seam::{BoxFuture, OnDisconnect, VirtualConnection, World, with_world};
use quincehatch_store::{Input, Keeper, Output, PeerMessage, Record, RecoveredState, View, Voter};
use std::io;
use std::sync::Arc;
use std::task::Waker;

/// A process whose wall clock shows the same time as at the start of the previous process. The number is its
/// incarnation.
struct Process(u64);

impl World for Process {
    fn now(&self) -> Millis {
        1
    }
    fn wall_clock_ms(&self) -> u64 {
        1_000_000
    }
    fn incarnation(&self) -> u64 {
        self.0
    }
    fn wake_at(&self, _: Millis, _: Waker) -> u64 {
        0
    }
    fn cancel_timer(&self, _: u64) {}
    fn spawn(&self, _: BoxFuture<'static, ()>) {}
    fn connect(
        &self,
        _: &str,
        _: OnDisconnect,
    ) -> BoxFuture<'static, io::Result<Arc<dyn VirtualConnection>>> {
        Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) })
    }
    fn exchange_frame(&self, _: &str, _: Vec<u8>) -> BoxFuture<'static, io::Result<Vec<u8>>> {
        Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) })
    }
    fn injected_bug(&self, _: &str) -> bool {
        false
    }
    fn trace_point(&self, _: &str) {}
}

fn recovered() -> RecoveredState {
    let names = ["k1", "k2", "k3"].map(Name::from);
    let voters = names.iter().map(|name| Voter { name: name.clone(), addr: name.clone() }).collect();
    let view = View { version: 1, members: names.to_vec(), voters };
    RecoveredState { view, served_version: 1, ..Default::default() }
}

/// Starts the tail in the process with this incarnation, and returns it with the grants of k1 for its first heartbeats.
fn start(incarnation: u64, at: Millis) -> (Keeper, Vec<PeerMessage>) {
    let mut tail = with_world(Arc::new(Process(incarnation)), || Keeper::new("k3".into(), at, recovered()));
    let mut grants = Vec::new();
    for step in 0..5 {
        for output in tail.step(at + step * 500, Input::Tick) {
            if let Output::Send(to, PeerMessage::Heartbeat { view, sequence, .. }) = output
                && to == "k1"
            {
                grants.push(PeerMessage::GrantViewLease { version: view.version, sequence });
            }
        }
    }
    (tail, grants)
}

#[test]
fn no_lease_is_renewed_when_a_grant_is_for_an_earlier_process() {
    let (mut first, old_grants) = start(0x9e37_79b9_7f4a_7c15, 1_000);
    let at = 1_000 + 4 * 500;
    first.step(at, Input::Peer { from: "k1".into(), message: old_grants.last().unwrap().clone() });
    assert!(first.is_serving(), "two of three voters grant its lease");

    let (mut second, grants) = start(0x3c6e_f372_fe94_f82b, 1_000);
    for message in old_grants {
        second.step(at, Input::Peer { from: "k1".into(), message });
    }
    assert!(!second.is_serving(), "only grants to its own heartbeats count");
    second.step(at, Input::Peer { from: "k1".into(), message: grants.last().unwrap().clone() });
    assert!(second.is_serving());
}

/// Ballots must not be reused after a restart: they continue from the ballots on the disk.
#[test]
fn ballots_are_never_used_again_when_the_proposer_restarts() {
    let mut recovered = recovered();
    let mut used = Vec::new();
    for incarnation in 0..3 {
        let mut keeper =
            with_world(Arc::new(Process(incarnation)), || Keeper::new("k3".into(), 1_000, recovered.clone()));
        // k1 and k2 are unresponsive, so k3 proposes a view without them.
        for step in 0..60 {
            for output in keeper.step(1_000 + step * 100, Input::Tick) {
                match output {
                    Output::Persist(Record::Acceptor { acceptor }) => recovered.acceptor = acceptor,
                    Output::Send(_, PeerMessage::Prepare { ballot, .. })
                        if !used.contains(&(incarnation, ballot)) =>
                    {
                        used.push((incarnation, ballot));
                    }
                    _ => {}
                }
            }
        }
    }
    let mut ballots: Vec<_> = used.iter().map(|(_, ballot)| *ballot).collect();
    assert!(used.iter().any(|(incarnation, _)| *incarnation == 2), "{used:?}");
    ballots.sort();
    ballots.dedup();
    assert_eq!(ballots.len(), used.len(), "{used:?}");
}
