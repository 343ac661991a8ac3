//! The calls of the operator API and the types that belong to each.
use serde::Serialize;
use serde::de::DeserializeOwned;

/// HTTP path prefix of every operator call.
const PATH_PREFIX: &str = "/op/";

/// A request of the operator API: its call and the type of the reply.
pub trait OperatorCall: Serialize + DeserializeOwned {
    /// The call that this request is sent with.
    const NAME: CallName;
    /// The reply that a node sends to this request.
    type Reply: Serialize + DeserializeOwned;
}

/// The name of an operator call, the last segment of its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallName {
    /// Shows the state of the whole cluster.
    Status,
    /// Shows every node's report on itself.
    Nodes,
    /// Shows one node's view of the database servers.
    Servers,
    /// Shows the placements with their servers and routes.
    Placements,
    /// Writes a new configuration version.
    Push,
    /// Lists the retained configuration versions.
    History,
    /// Writes a new configuration version with the content of an older one.
    Rollback,
    /// Explains why a server was ejected, how a request was routed or which promotions took place.
    Explain,
    /// Promotes another server of a group to primary.
    Promote,
    /// Starts or ends draining a node.
    Drain,
    /// Lists or changes the voting keepers.
    Members,
    /// Shows the rate limits of the tenants and their usage, as counted by the tail of the chain.
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

    /// Returns the name used in the path.
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

    /// Returns the HTTP path of the call.
    pub fn path(self) -> String {
        format!("{PATH_PREFIX}{}", self.as_str())
    }

    /// Returns the call at an HTTP path, or `None` if the path names no operator call.
    pub fn from_path(path: &str) -> Option<CallName> {
        let name = path.strip_prefix(PATH_PREFIX)?;
        CallName::ALL.into_iter().find(|call| call.as_str() == name)
    }

    /// Returns whether a path belongs to the operator API, even if it names no known call. Every such path requires the
    /// operators' token.
    pub fn is_operator_path(path: &str) -> bool {
        path.starts_with(PATH_PREFIX)
    }
}
