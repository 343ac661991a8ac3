//! Which calls between nodes may be sent again, and what they are recognized by then (§2.6).
use crate::messages::{NodeQuery, NodeRequest, NodeResponse};
use quincehatch_wire::{Call, IdempotencyKey, RetrySafety};

impl Call for NodeRequest {
    type Answer = NodeResponse;
    fn retry_safety(&self) -> RetrySafety {
        match self {
            // What it says of nodes goes by their incarnation, what it asks by the number of a probe.
            NodeRequest::Gossip { .. } => RetrySafety::Idempotent(IdempotencyKey::Incarnation),
            NodeRequest::Query { query } => query.retry_safety(),
        }
    }
}

impl NodeQuery {
    /// What nodes ask each other.
    pub fn retry_safety(&self) -> RetrySafety {
        match self {
            NodeQuery::StoreSession { .. } => RetrySafety::Idempotent(IdempotencyKey::SessionVersion),
            NodeQuery::SuspectPrimary { .. } => RetrySafety::Idempotent(IdempotencyKey::Report),
            // Nothing under a lower fence is passed on after it, however often it comes.
            NodeQuery::AcknowledgedEnd { .. } => RetrySafety::Idempotent(IdempotencyKey::Fence),
            NodeQuery::FindSession { .. }
            | NodeQuery::SessionDigests { .. }
            | NodeQuery::SessionRange { .. }
            | NodeQuery::ServerEvidence { .. }
            | NodeQuery::InFlight { .. }
            | NodeQuery::Report { .. } => RetrySafety::ReadOnly,
        }
    }
}
