//! Selection of the voters of a pooled group. A commit is acknowledged once a majority of the voters has it.
use quincehatch_core::{Millis, Name};

/// A draining server counts as departed for good once it has not answered for this long.
pub const DEPARTURE_TIMEOUT: Millis = 2_500;

/// One observation of a server, made by the node that owns the promotion duty of the server's group.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaObservation {
    /// The name of the server.
    pub name: Name,
    /// Whether the server reported that it is draining.
    pub draining: bool,
    /// For how long status probes of the server have failed.
    pub failing_for: Option<Millis>,
}

impl ReplicaObservation {
    fn is_up(&self) -> bool {
        !self.draining && self.failing_for.is_none()
    }

    fn has_departed(&self) -> bool {
        self.draining && self.failing_for.is_some_and(|elapsed| elapsed >= DEPARTURE_TIMEOUT)
    }
}

/// Returns the voters of the next assignment: all servers that are up. If these are fewer than the group is declared to
/// have, the list is filled first with current voters and then with other servers, as they may return.
pub fn next_voters(server_count: usize, replicas: &[ReplicaObservation], current: &[Name]) -> Vec<Name> {
    let mut voters: Vec<Name> =
        replicas.iter().filter(|replica| replica.is_up()).map(|replica| replica.name.clone()).collect();
    let may_return = replicas.iter().filter(|replica| !replica.has_departed()).map(|replica| &replica.name);
    for name in current.iter().chain(may_return) {
        if voters.len() < server_count && !voters.contains(name) {
            voters.push(name.clone());
        }
    }
    voters
}

/// Whether a server that is up is not a voter, or a voter has departed and enough other servers are up. Returns false
/// while there are no voters.
pub fn membership_changed(server_count: usize, replicas: &[ReplicaObservation], current: &[Name]) -> bool {
    if current.is_empty() {
        return false;
    }
    let joined = replicas.iter().any(|replica| replica.is_up() && !current.contains(&replica.name));
    let enough_up = replicas.iter().filter(|replica| replica.is_up()).count() >= server_count;
    let voter_departed =
        replicas.iter().any(|replica| replica.has_departed() && current.contains(&replica.name));
    joined || (enough_up && voter_departed)
}
