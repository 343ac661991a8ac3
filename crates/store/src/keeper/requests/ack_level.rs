//! When a write is answered.
use crate::command::{Answer, Command};

/// How far a write must have come before it is answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AckLevel {
    /// Committed: on the disk of every member.
    Committed,
    /// In force: applied by every node that holds a lease.
    InForce,
    /// In force, or committed for [`ADOPT_ACK_DELAY`](crate::timing::ADOPT_ACK_DELAY).
    InForceOrDelayed,
}

impl AckLevel {
    /// The level for a command and the answer to it. A rejected command has changed nothing that nodes act on.
    pub fn for_write(command: &Command, answer: &Answer) -> AckLevel {
        match (answer, command) {
            (Answer::Rejected(_), _) => AckLevel::Committed,
            (_, Command::PushConfiguration { .. }) => AckLevel::InForce,
            // No node may use the old primary any more before a new one is named. The voters of a new one come after
            // it and need only be committed.
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
