//! The assignment of a group's primary, the server that accepts writes.
use crate::{FencingToken, Name, messages};

messages! {
    /// The primary of a group, as the replicated store records it.
    #[derive(Eq, Default)]
    pub struct PrimaryAssignment {
        /// Token under which this primary was assigned.
        pub fence: FencingToken,
        /// The primary; `None` while a change of primary is under way.
        pub server: Option<Name>,
        /// The former primary, which accepts no more writes since this assignment.
        pub demoted: Option<Name>,
        /// The node that wrote the assignment.
        pub assigned_by: Name,
        /// Servers whose acknowledgement counts towards a commit. A commit needs two of them, so the next promotion
        /// fences all but one to be sure that no commit under the old token can succeed any more.
        pub voters: Vec<Name>,
        /// Earlier voter sets. They stay valid beside `voters` until the primary's entire log is on two of the new set.
        pub previous_voters: Vec<Vec<Name>>
    }
}

impl PrimaryAssignment {
    /// Returns all valid voter sets, the newest last.
    pub fn voter_sets(&self) -> Vec<Vec<Name>> {
        let mut sets = self.previous_voters.clone();
        sets.push(self.voters.clone());
        sets.retain(|set| !set.is_empty());
        sets
    }
}
