//! Keys are divided among the live nodes by rendezvous hashing.
use crate::membership::LiveMember;
use quincehatch_core::{Name, rendezvous};

/// Replicas of each session.
const REPLICAS: usize = 3;

/// Which of the live nodes owns `key`.
pub fn owner<'a>(key: &str, live: &'a [Name]) -> Option<&'a Name> {
    rendezvous(key, live).into_iter().next()
}

/// The three nodes that keep replicas of a session: different nodes, and in different zones where there are enough.
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
    // Fewer zones than replicas: the best-ranked nodes that are left.
    for member in &ranked {
        if owners.len() < REPLICAS && !owners.contains(&member.name) {
            owners.push(member.name.clone());
        }
    }
    owners
}
