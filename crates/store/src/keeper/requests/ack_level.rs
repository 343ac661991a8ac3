//! The acknowledgement level that a write must reach before it is answered.
use crate::command::{Answer, Command};

/// The acknowledgement level that a write must reach before it is answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AckLevel {
    /// The entry is committed: it is on the disk of every member.
    Committed,
    /// The entry is in force: every node that holds a lease has applied it.
    InForce,
    /// The entry is in force, or it has been committed for [`MAX_ADOPT_ACK_DELAY`](crate::timing::MAX_ADOPT_ACK_DELAY).
    InForceOrDelayed,
}

impl AckLevel {
    /// Returns the level for a command and its answer. A rejected command has not changed any state that nodes act on.
    pub fn for_write(command: &Command, answer: &Answer) -> AckLevel {
        match (answer, command) {
            (Answer::Rejected(_), _) => AckLevel::Committed,
            (_, Command::PushConfiguration { .. }) => AckLevel::InForce,
            // All nodes must have stopped using the old primary before a new one is assigned. The voters of the new
            // primary are set by a later command, which need only be committed.
            (_, Command::AssignPrimary { primary, .. })
                if primary.server.is_none() && primary.voters.is_empty() =>
            {
                AckLevel::InForce
            }
            (_, Command::AdoptDocument { .. }) => AckLevel::InForceOrDelayed,
            _ => AckLevel::Committed,
        }
    }
}
