//! `members`: the voting keepers.
use crate::{CallName, OperatorCall};
use quincehatch_core::{Name, Version};
use serde::{Deserialize, Serialize};

/// Lists the voting keepers; with `add` or `remove` changes them first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MembersRequest {
    /// A keeper to add, `name=ip:port`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub add: Option<String>,
    /// Name of a keeper to remove.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<String>,
}

impl OperatorCall for MembersRequest {
    const NAME: CallName = CallName::Members;
    type Reply = MembersReply;
}

/// The view in force after the call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembersReply {
    /// The view.
    pub view: ViewReport,
}

/// A view of the replication chain: who votes, and who is in the chain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewReport {
    /// Its version; rises with every change.
    pub version: Version,
    /// Names of the chain's members, from head to tail.
    pub members: Vec<Name>,
    /// Keepers with a vote on the next view.
    pub voters: Vec<VoterReport>,
}

/// A keeper that votes on views.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterReport {
    /// Name of the keeper.
    pub name: Name,
    /// Its address, `ip:port`.
    pub addr: Name,
}

impl ViewReport {
    /// Whether a keeper votes on views.
    pub fn is_voter(&self, keeper: &Name) -> bool {
        self.voters.iter().any(|voter| voter.name == *keeper)
    }

    /// Position of a keeper in the chain, counted from 0 at the head; `None` outside the chain.
    pub fn chain_position(&self, keeper: &Name) -> Option<usize> {
        self.members.iter().position(|member| member == keeper)
    }
}
