//! The calls of the operator API and the types that belong to each.
use serde::Serialize;
use serde::de::DeserializeOwned;

/// HTTP path prefix of every operator call.
const PATH_PREFIX: &str = "/op/";

/// A request of the operator API: its call and the type of the reply.
pub trait OperatorCall: Serialize + DeserializeOwned {
    /// The call that this request is sent with.
    const NAME: CallName;
    /// What a node answers to it.
    type Reply: Serialize + DeserializeOwned;
}

/// The name of an operator call, the last segment of its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallName {
    /// State of the whole cluster.
    Status,
    /// Every node's report on itself.
    Nodes,
    /// Database servers as one node sees them.
    Servers,
    /// Placements with their servers and routes.
    Placements,
    /// A new configuration.
    Push,
    /// Configuration versions that are retained.
    History,
    /// A new version with the content of an older one.
    Rollback,
    /// Why a server was ejected, how a request was routed, what promotions were done.
    Explain,
    /// Hand a group's primary over.
    Promote,
    /// Stop or resume new clients at a node.
    Drain,
    /// List or change the voting keepers.
    Members,
    /// What tenants run, as the tail counts it.
    Tenants,
}

impl CallName {
    /// All calls.
    pub const ALL: [CallName; 12] = [
        CallName::Status,
        CallName::Nodes,
        CallName::Servers,
        CallName::Placements,
        CallName::Push,
        CallName::History,
        CallName::Rollback,
        CallName::Explain,
        CallName::Promote,
        CallName::Drain,
        CallName::Members,
        CallName::Tenants,
    ];

    /// The name as it stands in the path.
    pub fn as_str(self) -> &'static str {
        match self {
            CallName::Status => "status",
            CallName::Nodes => "nodes",
            CallName::Servers => "servers",
            CallName::Placements => "placements",
            CallName::Push => "push",
            CallName::History => "history",
            CallName::Rollback => "rollback",
            CallName::Explain => "explain",
            CallName::Promote => "promote",
            CallName::Drain => "drain",
            CallName::Members => "members",
            CallName::Tenants => "tenants",
        }
    }

    /// The HTTP path of the call.
    pub fn path(self) -> String {
        format!("{PATH_PREFIX}{}", self.as_str())
    }

    /// The call at an HTTP path; `None` if the path names no operator call.
    pub fn from_path(path: &str) -> Option<CallName> {
        let name = path.strip_prefix(PATH_PREFIX)?;
        CallName::ALL.into_iter().find(|call| call.as_str() == name)
    }

    /// Whether a path lies within the operator API, known call or not: such a path needs the operators' token.
    pub fn is_operator_path(path: &str) -> bool {
        path.starts_with(PATH_PREFIX)
    }
}
