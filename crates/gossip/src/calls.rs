//! Which calls between nodes may be sent again, and what they are recognized by then (§2.6).
use crate::messages::{NodeQuery, NodeRequest, NodeResponse};
use quincehatch_wire::{Call, Key, Repeat};

impl Call for NodeRequest {
    type Answer = NodeResponse;
    fn repeat(&self) -> Repeat {
        match self {
            // What it says of nodes goes by their incarnation, what it asks by the number of a probe.
            NodeRequest::Gossip { .. } => Repeat::Recognized(Key::Incarnation),
            NodeRequest::Query { query } => query.repeat(),
        }
    }
}

impl NodeQuery {
    /// What nodes ask each other.
    pub fn repeat(&self) -> Repeat {
        match self {
            NodeQuery::Store { .. } => Repeat::Recognized(Key::SessionEdition),
            NodeQuery::Suspect { .. } => Repeat::Recognized(Key::Report),
            // Nothing under a lower fence is passed on after it, however often it comes.
            NodeQuery::Acked { .. } => Repeat::Recognized(Key::Fence),
            NodeQuery::Find { .. }
            | NodeQuery::Digests { .. }
            | NodeQuery::Range { .. }
            | NodeQuery::Sees { .. }
            | NodeQuery::Open { .. }
            | NodeQuery::Report { .. } => Repeat::Read,
        }
    }
}
