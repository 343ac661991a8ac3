//! Checks that two nodes that own the same sessions find differing replicas by digests and both end with the newer
//! ones.
use quincehatch_core::{Name, Version};
use quincehatch_gossip::LiveMember;
use quincehatch_gossip::session_replicas::{OwnerPair, RANGE_COUNT, SessionReplicaTable};
use quincehatch_proxy::session::SessionState;

fn session(number: usize, version: Version) -> SessionState {
    SessionState { id: format!("s{number}").into(), version, ..Default::default() }
}

#[test]
fn digests_find_the_differing_ranges_and_repair_keeps_the_newer_replicas() {
    let member = |i| LiveMember { name: format!("n{i}").into(), zone: format!("d{i}").into() };
    let live: Vec<LiveMember> = (0..3).map(member).collect();
    let (first, second) = (Name::from("n0"), Name::from("n1"));
    let pair = OwnerPair { local: &first, peer: &second, live: &live };
    let (mut a, mut b) = (SessionReplicaTable::default(), SessionReplicaTable::default());
    for number in 0..300 {
        a.insert_if_newer(0, session(number, 1));
        b.insert_if_newer(0, session(number, 1));
    }
    assert_eq!(a.range_digests(pair), b.range_digests(pair));
    a.insert_if_newer(0, session(7, 3));
    b.insert_if_newer(0, session(9, 2));
    b.insert_if_newer(0, session(7, 2));
    let (digests_a, digests_b) = (a.range_digests(pair), b.range_digests(pair));
    let differs = |range: &u8| digests_a[*range as usize] != digests_b[*range as usize];
    let differing: Vec<u8> = (0..RANGE_COUNT as u8).filter(differs).collect();
    assert!(!differing.is_empty() && differing.len() <= 2);
    for range in differing {
        let (versions_a, versions_b) = (a.versions_in_range(pair, range), b.versions_in_range(pair, range));
        let diff = b.diff_range(&versions_b, &versions_a);
        let sent: Vec<SessionState> = diff.wanted.iter().filter_map(|id| a.get(id)).collect();
        diff.newer.into_iter().for_each(|replica| assert!(a.insert_if_newer(0, replica)));
        sent.into_iter().for_each(|replica| assert!(b.insert_if_newer(0, replica)));
    }
    assert_eq!(a.range_digests(pair), b.range_digests(pair));
    assert_eq!(b.get("s7").map(|replica| replica.version), Some(3));
    assert_eq!(a.get("s9").map(|replica| replica.version), Some(2));
}
