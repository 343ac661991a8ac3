//! Confirmation of a primary's failure by other nodes: a node that is cut off deposes nobody.

/// How a primary is suspected to have failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectedFailure {
    /// It answers no status probe.
    Unresponsive,
    /// It answers probes, but replies to statements are overdue.
    Stalled,
}

/// What one node sees of a server when it is asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrimaryObservation {
    /// The node knows the server at all.
    pub known_here: bool,
    /// Status probes fail.
    pub failing: bool,
    /// Replies are overdue.
    pub stalled: bool,
    /// Statements were answered lately.
    pub answering: bool,
}

impl PrimaryObservation {
    fn vote(&self, suspected: SuspectedFailure) -> Vote {
        if !self.known_here {
            return Vote::Abstain;
        }
        match suspected {
            SuspectedFailure::Unresponsive if self.failing => Vote::Confirm,
            SuspectedFailure::Unresponsive => Vote::Deny,
            SuspectedFailure::Stalled if self.stalled => Vote::Confirm,
            SuspectedFailure::Stalled if self.answering => Vote::Deny,
            // A node without requests to the server cannot tell a stall from idleness.
            SuspectedFailure::Stalled => Vote::Abstain,
        }
    }
}

enum Vote {
    Confirm,
    Deny,
    Abstain,
}

/// The count of what nodes see of a primary that this node suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureVotes {
    suspected: SuspectedFailure,
    confirming: usize,
    denying: usize,
    asked: usize,
}

impl FailureVotes {
    /// Starts the count with what this node sees itself, `asked` other nodes being asked.
    ///
    /// The own observation counts for a stall only, where a node without requests to the server has nothing to say.
    /// Every node probes every server's status, so others must see a failure to answer too.
    pub fn begin(suspected: SuspectedFailure, own: PrimaryObservation, asked: usize) -> Self {
        let own_stall = suspected == SuspectedFailure::Stalled && own.stalled;
        Self { suspected, confirming: usize::from(own_stall), denying: 0, asked }
    }

    /// Counts another node's observation.
    pub fn add(&mut self, observation: PrimaryObservation) {
        match observation.vote(self.suspected) {
            Vote::Confirm => self.confirming += 1,
            Vote::Deny => self.denying += 1,
            Vote::Abstain => {}
        }
    }

    /// Whether the failure is confirmed. Nodes that did not answer count for neither side; a node that has no others
    /// to ask decides alone.
    pub fn confirmed(&self) -> bool {
        self.asked == 0 || (self.confirming >= 1 && self.confirming > self.denying)
    }
}
