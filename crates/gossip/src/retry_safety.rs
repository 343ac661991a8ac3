//! Retry safety of the requests between nodes: which of them may be retried, and how the receiver recognizes a retry.
use crate::queries::{NodeQuery, NodeRequest, NodeResponse};
use quincehatch_wire::{Call, IdempotencyKey, RetrySafety};

impl Call for NodeRequest {
    type Answer = NodeResponse;
    fn retry_safety(&self) -> RetrySafety {
        match self {
            // Member records are ordered by incarnation, and probes are matched by their number.
            NodeRequest::Gossip { .. } => RetrySafety::Idempotent(IdempotencyKey::Incarnation),
            NodeRequest::Query { query } => query.retry_safety(),
        }
    }
    fn kind(&self) -> &'static str {
        match self {
            NodeRequest::Gossip { message } => message.message.kind(),
            NodeRequest::Query { query } => query.kind(),
        }
    }
}

impl NodeQuery {
    /// Returns whether the query may be retried when it was not answered.
    pub fn retry_safety(&self) -> RetrySafety {
        match self {
            NodeQuery::StoreSession { .. } => RetrySafety::Idempotent(IdempotencyKey::SessionVersion),
            NodeQuery::SuspectPrimary { .. } => RetrySafety::Idempotent(IdempotencyKey::Report),
            // What the node acknowledges after the first arrival depends on the fencing token alone, however often the
            // query is repeated.
            NodeQuery::AcknowledgedEnd { .. }
            | NodeQuery::AcknowledgedRange { .. }
            | NodeQuery::JoinHandover { .. } => RetrySafety::Idempotent(IdempotencyKey::Fence),
            NodeQuery::FindSession { .. }
            | NodeQuery::SessionDigests { .. }
            | NodeQuery::SessionRange { .. }
            | NodeQuery::ServerEvidence { .. }
            | NodeQuery::InFlight { .. }
            | NodeQuery::Report { .. } => RetrySafety::ReadOnly,
        }
    }
}
