//! `members`: lists and changes the voting keepers.
use crate::{CallName, OperatorCall};
use quincehatch_core::{Name, Version};
use serde::{Deserialize, Serialize};

/// Lists the voting keepers, after adding or removing one if `add` or `remove` is set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MembersRequest {
    /// The keeper to add, as `name=ip:port`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub add: Option<String>,
    /// Name of the keeper to remove.
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
    /// The view of the replication chain.
    pub view: ViewReport,
}

/// A view of the replication chain: its members and the keepers that vote on the next view.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewReport {
    /// Version of the view, which increases with every change.
    pub version: Version,
    /// Names of the chain members from head to tail.
    pub members: Vec<Name>,
    /// Keepers that vote on the next view.
    pub voters: Vec<VoterReport>,
}

/// A keeper that votes on views.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterReport {
    /// Name of the keeper.
    pub name: Name,
    /// Address of the keeper, `ip:port`.
    pub addr: Name,
}

impl ViewReport {
    /// Returns whether a keeper votes on views.
    pub fn is_voter(&self, keeper: &Name) -> bool {
        self.voters.iter().any(|voter| voter.name == *keeper)
    }

    /// Returns the position of a keeper in the chain, counted from 0 at the head, or `None` if it is not in the chain.
    pub fn chain_position(&self, keeper: &Name) -> Option<usize> {
        self.members.iter().position(|member| member == keeper)
    }
}
