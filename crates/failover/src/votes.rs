//! Confirmation of a primary's failure by other nodes, so that a node that is cut off does not depose a primary.

/// The way in which a primary is suspected to have failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectedFailure {
    /// The primary answers no status probes.
    Unresponsive,
    /// The primary answers probes, but its replies to statements are overdue.
    Stalled,
}

/// One node's observation of a server when the node is queried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrimaryObservation {
    /// Whether the node knows the server.
    pub server_known: bool,
    /// Whether the server's status probes fail.
    pub failing: bool,
    /// Whether the server's replies are overdue.
    pub stalled: bool,
    /// Whether the server answered statements recently.
    pub answering: bool,
}

impl PrimaryObservation {
    fn vote(&self, suspected: SuspectedFailure) -> Vote {
        if !self.server_known {
            return Vote::Abstain;
        }
        match suspected {
            SuspectedFailure::Unresponsive if self.failing => Vote::Confirm,
            SuspectedFailure::Unresponsive => Vote::Deny,
            SuspectedFailure::Stalled if self.stalled => Vote::Confirm,
            SuspectedFailure::Stalled if self.answering => Vote::Deny,
            // A node that sends the server no requests cannot distinguish a stall from idleness.
            SuspectedFailure::Stalled => Vote::Abstain,
        }
    }
}

enum Vote {
    Confirm,
    Deny,
    Abstain,
}

/// The votes of nodes on a primary that this node suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureVotes {
    suspected: SuspectedFailure,
    confirming: usize,
    denying: usize,
    queried_nodes: usize,
}

impl FailureVotes {
    /// Starts the count with this node's own observation; `queried_nodes` is the number of other nodes that are queried.
    ///
    /// The own observation counts only for a stall, which nodes without requests to the server cannot observe. Every
    /// node probes every server's status, so other nodes must also observe a server that does not answer.
    pub fn new(suspected: SuspectedFailure, own: PrimaryObservation, queried_nodes: usize) -> Self {
        let own_stall = suspected == SuspectedFailure::Stalled && own.stalled;
        Self { suspected, confirming: usize::from(own_stall), denying: 0, queried_nodes }
    }

    /// Counts another node's observation.
    pub fn add(&mut self, observation: PrimaryObservation) {
        match observation.vote(self.suspected) {
            Vote::Confirm => self.confirming += 1,
            Vote::Deny => self.denying += 1,
            Vote::Abstain => {}
        }
    }

    /// Whether the failure is confirmed. Nodes that did not answer count for neither side. A node without other nodes
    /// to query decides alone.
    pub fn is_confirmed(&self) -> bool {
        self.queried_nodes == 0 || (self.confirming >= 1 && self.confirming > self.denying)
    }
}
