//! How far a write must have come before it is answered (§5.6).
use crate::messages::Command;

/// When a write is answered (§5.6).
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AckLevel {
    Committed,
    InForce,
    /// In force, or committed for [`ADOPT_WAIT`](crate::terms::ADOPT_WAIT).
    InForceOrDelayed,
}

impl AckLevel {
    /// A close must be in force before another server is named (§5.5), and so is a push told; a new list, which comes
    /// after it, need only be committed.
    pub(crate) fn for_command(cmd: &Command) -> AckLevel {
        match cmd {
            Command::PushConfiguration { .. } => AckLevel::InForce,
            Command::AssignPrimary { primary: lead, .. }
                if lead.server.is_none() && lead.voters.is_empty() =>
            {
                AckLevel::InForce
            }
            Command::AdoptDocument { .. } => AckLevel::InForceOrDelayed,
            _ => AckLevel::Committed,
        }
    }
}
