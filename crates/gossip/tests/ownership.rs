//! Checks that the replicas of sessions are spread over zones, and that few of them move when a node leaves.
use quincehatch_core::Name;
use quincehatch_gossip::LiveMember;
use quincehatch_gossip::ownership::replica_owners;
use std::collections::BTreeSet;

fn live(nodes: usize, zones: usize) -> Vec<LiveMember> {
    let member = |i| LiveMember { name: format!("n{i}").into(), zone: format!("d{}", i % zones).into() };
    (0..nodes).map(member).collect()
}

#[test]
fn owners_are_in_different_zones_and_few_change_when_a_node_leaves() {
    let (before, after) = (live(11, 4), live(10, 4));
    let mut moved = 0;
    for key in 0..200 {
        let key = format!("s{key}");
        let (owners, owners_after) = (replica_owners(&key, &before), replica_owners(&key, &after));
        let zone_of =
            |name: &Name| before.iter().find(|member| member.name == *name).map(|member| &member.zone);
        let zones: BTreeSet<_> = owners.iter().map(zone_of).collect();
        assert_eq!((owners.len(), zones.len()), (3, 3));
        moved += usize::from(owners != owners_after);
    }
    assert!(moved < 120, "{moved} of 200 sessions moved when one of 11 nodes left");
}
