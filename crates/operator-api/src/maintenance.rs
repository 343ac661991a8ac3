//! `promote` and `drain`: planned changes.
use crate::{CallName, OperatorCall};
use quincehatch_core::Name;
use serde::{Deserialize, Serialize};

/// Asks for a planned promotion in one group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PromoteRequest {
    /// The group.
    pub group: Name,
    /// The server to promote; empty: the best candidate.
    #[serde(skip_serializing_if = "Name::is_empty")]
    pub to: Name,
}

impl OperatorCall for PromoteRequest {
    const NAME: CallName = CallName::Promote;
    type Reply = PromoteReply;
}

/// The promotion was requested; `explain` tells how it went.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PromoteReply {
    /// The node that was asked to carry the promotion out.
    pub asked: Name,
    /// The group.
    pub group: Name,
}

/// Asks that a node take no new clients, or take them again. Its sessions go on either way.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DrainRequest {
    /// Name of the node.
    pub name: Name,
    /// Take new clients again.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub undo: bool,
}

impl OperatorCall for DrainRequest {
    const NAME: CallName = CallName::Drain;
    type Reply = DrainReply;
}

/// What the node answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainReply {
    /// Name of the node.
    pub node: Name,
    /// Its state from now on; `None` if its answer could not be read.
    pub answer: Option<DrainState>,
}

/// Whether a node is draining, and what still runs there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainState {
    /// Whether new clients are kept away.
    pub draining: bool,
    /// Sessions open.
    pub sessions: usize,
    /// Requests in flight.
    #[serde(alias = "in_hand")]
    pub in_flight: u64,
}
