//! Which servers of a pooled group vote: a commit is acknowledged once a majority of the voters has it.
use quincehatch_core::{Millis, Name};

/// A server that is draining and has not answered for this long is gone for good.
pub const GONE_AFTER: Millis = 2_500;

/// How a server of a group looks to the node that owns the group's promotion duty.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaObservation {
    /// The server's name.
    pub name: Name,
    /// It reported that it is draining.
    pub draining: bool,
    /// For how long its status probes have failed.
    pub failing_for: Option<Millis>,
}

impl ReplicaObservation {
    fn is_up(&self) -> bool {
        !self.draining && self.failing_for.is_none()
    }

    fn is_gone(&self) -> bool {
        self.draining && self.failing_for.is_some_and(|elapsed| elapsed >= GONE_AFTER)
    }
}

/// The voters of the next assignment: all servers that are up. Where these are fewer than the group is declared to have,
/// current voters and then other servers fill the places, as they may come back.
pub fn next_voters(server_count: usize, replicas: &[ReplicaObservation], current: &[Name]) -> Vec<Name> {
    let mut voters: Vec<Name> =
        replicas.iter().filter(|replica| replica.is_up()).map(|replica| replica.name.clone()).collect();
    let may_return = replicas.iter().filter(|replica| !replica.is_gone()).map(|replica| &replica.name);
    for name in current.iter().chain(may_return) {
        if voters.len() < server_count && !voters.contains(name) {
            voters.push(name.clone());
        }
    }
    voters
}

/// Whether a server that is up does not vote, or a voter is gone and enough servers are up without it. False while
/// there are no voters.
pub fn membership_changed(server_count: usize, replicas: &[ReplicaObservation], current: &[Name]) -> bool {
    if current.is_empty() {
        return false;
    }
    let joined = replicas.iter().any(|replica| replica.is_up() && !current.contains(&replica.name));
    let enough_up = replicas.iter().filter(|replica| replica.is_up()).count() >= server_count;
    let voter_gone = replicas.iter().any(|replica| replica.is_gone() && current.contains(&replica.name));
    joined || (enough_up && voter_gone)
}
