//! Which calls between nodes may be sent again, and what they are recognized by then (§2.6).
use crate::msgs::{NodeAsk, NodeKnock, NodeKnocked};
use qh_core::wire::{Call, Key, Repeat};

impl Call for NodeKnock {
    type Answer = NodeKnocked;
    fn repeat(&self) -> Repeat {
        match self {
            // What it says of nodes goes by their incarnation, what it asks by the number of a probe.
            NodeKnock::Letter { .. } => Repeat::Recognized(Key::Incarnation),
            NodeKnock::Ask { ask } => ask.repeat(),
        }
    }
}

impl NodeAsk {
    /// What nodes ask each other.
    pub fn repeat(&self) -> Repeat {
        match self {
            NodeAsk::Store { .. } => Repeat::Recognized(Key::SessionEdition),
            NodeAsk::Suspect { .. } => Repeat::Recognized(Key::Report),
            // Nothing under a lower fence is passed on after it, however often it comes.
            NodeAsk::Acked { .. } => Repeat::Recognized(Key::Fence),
            NodeAsk::Find { .. }
            | NodeAsk::Digests { .. }
            | NodeAsk::Range { .. }
            | NodeAsk::Sees { .. }
            | NodeAsk::Open { .. }
            | NodeAsk::Report { .. } => Repeat::Read,
        }
    }
}
