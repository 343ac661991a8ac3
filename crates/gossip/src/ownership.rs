//! Ownership of keys, which are divided among the live nodes by rendezvous hashing.
use crate::membership::LiveMember;
use quincehatch_core::{Name, rendezvous};

/// The number of replicas of each session.
const REPLICAS: usize = 3;

/// Returns the live node that owns `key`, or `None` if no node is live.
pub fn owner<'a>(key: &str, live: &'a [Name]) -> Option<&'a Name> {
    rendezvous(key, live).into_iter().next()
}

/// Returns the three nodes that store the replicas of a session. They are in different zones if there are enough zones.
/// If there are fewer live nodes, it returns all of them.
pub fn replica_owners(key: &str, live: &[LiveMember]) -> Vec<Name> {
    let ranked = rendezvous(key, live);
    let mut owners: Vec<Name> = Vec::new();
    let mut zones: Vec<&Name> = Vec::new();
    for member in &ranked {
        if owners.len() < REPLICAS && !zones.contains(&&member.zone) {
            zones.push(&member.zone);
            owners.push(member.name.clone());
        }
    }
    // If there are fewer zones than replicas, the best-ranked remaining nodes are added.
    for member in &ranked {
        if owners.len() < REPLICAS && !owners.contains(&member.name) {
            owners.push(member.name.clone());
        }
    }
    owners
}
