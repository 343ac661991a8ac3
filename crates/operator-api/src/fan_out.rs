//! Replies that combine the answers of several nodes.
use quincehatch_core::Name;
use serde::{Deserialize, Serialize};

/// The answer of one node within a combined reply.
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
        /// The report, or `None` if the node has none on the subject.
        answer: Option<Report>,
    },
}

impl<Report> NodeAnswer<Report> {
    /// Creates the entry of a node that did not answer in time.
    pub fn unresponsive(node: Name) -> Self {
        NodeAnswer::Unresponsive { node, unresponsive: true }
    }
}
