//! Messages to an earlier life of a keeper count for nothing in a later one (§5.3), whatever the wall clock says.
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::seam::{BoxFuture, OnDisconnect, VirtualConnection, World, with_world};
use quincehatch_store::keeper::{Input, Output, RecoveredState};
use quincehatch_store::{Keeper, PeerMessage, View, Voter};
use std::io;
use std::sync::Arc;
use std::task::Waker;

/// One start of a process whose wall clock is stepped back to where it was at the start before.
struct Life(u64);

impl World for Life {
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
    let machines = names.iter().map(|n| Voter { name: n.clone(), addr: n.clone() }).collect();
    let view = View { version: 1, members: names.to_vec(), voters: machines };
    RecoveredState { view, served_version: 1, ..Default::default() }
}

/// The tail as it starts in that life, and the grants that k1 gives its first heartbeats.
fn start(life: u64, at: Millis) -> (Keeper, Vec<PeerMessage>) {
    let mut tail = with_world(Arc::new(Life(life)), || Keeper::new("k3".into(), at, recovered()));
    let mut grants = Vec::new();
    for step in 0..5 {
        for output in tail.step(at + step * 500, Input::Tick) {
            if let Output::Send(to, PeerMessage::Beat { view, sequence: seq, .. }) = output
                && to == "k1"
            {
                grants.push(PeerMessage::GrantViewLease { version: view.version, sequence: seq });
            }
        }
    }
    (tail, grants)
}

#[test]
fn a_grant_to_an_earlier_life_renews_no_lease_of_this_one() {
    let (mut first, old_grants) = start(0x9e37_79b9_7f4a_7c15, 1_000);
    let at = 1_000 + 4 * 500;
    first.step(at, Input::Peer { from: "k1".into(), message: old_grants.last().unwrap().clone() });
    assert!(first.is_serving(), "two of three grant its lease");

    let (mut second, grants) = start(0x3c6e_f372_fe94_f82b, 1_000);
    for m in old_grants {
        second.step(at, Input::Peer { from: "k1".into(), message: m });
    }
    assert!(!second.is_serving(), "only grants to its own heartbeats count");
    second.step(at, Input::Peer { from: "k1".into(), message: grants.last().unwrap().clone() });
    assert!(second.is_serving());
}

/// The register's ballots are the other promise that outlives a start: they come from the disk.
#[test]
fn a_ballot_of_an_earlier_life_is_never_used_again() {
    let mut recovered = recovered();
    let mut used = Vec::new();
    for life in 0..3 {
        let mut keeper =
            with_world(Arc::new(Life(life)), || Keeper::new("k3".into(), 1_000, recovered.clone()));
        // k1 and k2 are silent: it proposes a view without them.
        for step in 0..60 {
            for output in keeper.step(1_000 + step * 100, Input::Tick) {
                match output {
                    Output::Persist(quincehatch_store::keeper::Record::Acceptor { acceptor }) => {
                        recovered.acceptor = acceptor
                    }
                    Output::Send(_, PeerMessage::Prepare { ballot, .. })
                        if !used.contains(&(life, ballot)) =>
                    {
                        used.push((life, ballot));
                    }
                    _ => {}
                }
            }
        }
    }
    let mut ballots: Vec<_> = used.iter().map(|(_, ballot)| *ballot).collect();
    assert!(used.iter().any(|(life, _)| *life == 2), "{used:?}");
    ballots.sort();
    ballots.dedup();
    assert_eq!(ballots.len(), used.len(), "{used:?}");
}
