//! `promote` and `drain`: planned maintenance.
use crate::{CallName, OperatorCall};
use quincehatch_core::Name;
use serde::{Deserialize, Serialize};

/// Asks for a planned promotion in one group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PromoteRequest {
    /// Name of the group.
    pub group: Name,
    /// Name of the server to promote. If empty, the best candidate is promoted.
    #[serde(skip_serializing_if = "Name::is_empty")]
    pub to: Name,
}

impl OperatorCall for PromoteRequest {
    const NAME: CallName = CallName::Promote;
    type Reply = PromoteReply;
}

/// Confirms that the promotion was requested. Its outcome is reported by `explain`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PromoteReply {
    /// Name of the node that was asked to perform the promotion.
    pub asked: Name,
    /// Name of the group.
    pub group: Name,
}

/// Starts or ends draining a node: no new clients are routed to a draining node, and its existing sessions continue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DrainRequest {
    /// Name of the node.
    pub name: Name,
    /// Whether to end draining, so that new clients are routed to the node again.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub undo: bool,
}

impl OperatorCall for DrainRequest {
    const NAME: CallName = CallName::Drain;
    type Reply = DrainReply;
}

/// The answer of the node that was asked to drain or to end draining.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainReply {
    /// Name of the node.
    pub node: Name,
    /// The node's state after the change, or `None` if its answer could not be parsed.
    pub answer: Option<DrainState>,
}

/// Whether a node is draining, with its remaining sessions and requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainState {
    /// Whether the node is draining: it reports itself as not ready, so that the platform routes no new clients to it.
    pub draining: bool,
    /// Number of open sessions.
    pub sessions: usize,
    /// Number of requests in flight.
    #[serde(alias = "in_hand")]
    pub in_flight: u64,
}
