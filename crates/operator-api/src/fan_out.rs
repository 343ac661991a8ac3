//! Replies that are put together from the answers of several nodes.
use quincehatch_core::Name;
use serde::{Deserialize, Serialize};

/// One node's part of a reply.
// The order of the variants matters: serde tries `Unresponsive` first, whose field no answer has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum NodeAnswer<Report> {
    /// The node did not answer in time.
    Unresponsive {
        /// Name of the node.
        node: Name,
        /// Always true.
        #[serde(alias = "silent")]
        unresponsive: bool,
    },
    /// The node answered.
    Answered {
        /// Name of the node.
        node: Name,
        /// What it reported; `None` if it knows nothing of the subject.
        answer: Option<Report>,
    },
}

impl<Report> NodeAnswer<Report> {
    /// The part of a node that did not answer in time.
    pub fn unresponsive(node: Name) -> Self {
        NodeAnswer::Unresponsive { node, unresponsive: true }
    }
}
