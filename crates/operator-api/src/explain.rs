//! `explain`: why something happened, as every node has recorded it.
use crate::fan_out::NodeAnswer;
use crate::{CallName, OperatorCall};
use quincehatch_core::{Name, Version};
use serde::{Deserialize, Serialize};

/// Asks every node about one subject. Exactly one of the fields is expected; of several the first counts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ExplainRequest {
    /// Name of a server: its health transitions.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub server: String,
    /// Id of a request, in decimal: the path that it took.
    #[serde(alias = "visit", skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// Any word: the last promotions.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub promotions: String,
}

/// What is to be explained.
#[derive(Clone, Debug, PartialEq)]
pub enum ExplainSubject {
    /// The health transitions of a server.
    Server(String),
    /// The path of a request.
    Request(String),
    /// The last promotions.
    Promotions,
}

impl ExplainRequest {
    /// The subject; `None` if every field is empty.
    pub fn subject(self) -> Option<ExplainSubject> {
        if !self.server.is_empty() {
            Some(ExplainSubject::Server(self.server))
        } else if !self.request.is_empty() {
            Some(ExplainSubject::Request(self.request))
        } else if !self.promotions.is_empty() {
            Some(ExplainSubject::Promotions)
        } else {
            None
        }
    }
}

impl OperatorCall for ExplainRequest {
    const NAME: CallName = CallName::Explain;
    type Reply = ExplainReply;
}

/// What each node has recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainReply {
    /// One part for each node of the cluster.
    pub nodes: Vec<NodeAnswer<Explanation>>,
}

/// What one node has recorded about the subject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Explanation {
    /// The health of a server.
    Server(HealthReport),
    /// The path of a request.
    Request(RequestTrace),
    /// Promotions, oldest first, one sentence each.
    Promotions(Vec<String>),
}

/// How one node sees the health of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Name of the node.
    pub node: Name,
    /// Name of the server.
    pub server: Name,
    /// Health state: `in-rotation`, `set-aside` or `on-trial`.
    #[serde(alias = "verdict")]
    pub health: String,
    /// Time until an ejected server goes on probation, in milliseconds; `None` while it is healthy.
    #[serde(alias = "trial_in_ms")]
    pub probation_in_ms: Option<u64>,
    /// The last changes of its health state, oldest first.
    #[serde(alias = "turns")]
    pub transitions: Vec<TransitionReport>,
}

/// A change of a server's health state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransitionReport {
    /// How long ago, in milliseconds.
    pub ago_ms: u64,
    /// The state from then on.
    pub to: String,
    /// The reason in one sentence.
    pub why: String,
    /// The evidence that was weighed.
    pub evidence: Vec<EvidenceReport>,
}

/// One piece of evidence against a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// What was seen.
    #[serde(alias = "sign")]
    pub signal: String,
    /// How much it weighs.
    pub weight: u64,
    /// How long ago, in milliseconds.
    pub ago_ms: u64,
}

/// The path of one request through a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestTrace {
    /// Id of the request, as in its reply.
    #[serde(alias = "visit")]
    pub request_id: u64,
    /// The client API call.
    pub what: String,
    /// How long it took, in milliseconds.
    pub ms: u64,
    /// Result code; 0 for success.
    pub code: u16,
    /// Where it ran.
    #[serde(rename = "where")]
    pub location: RequestLocation,
    /// The steps it took.
    pub path: Vec<String>,
}

/// Where a request ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestLocation {
    /// Name of the node.
    pub node: Name,
    /// Name of the server; empty if none was reached.
    pub server: Name,
    /// Placement of the route.
    pub placement: Name,
    /// Zone of the server.
    #[serde(alias = "district")]
    pub zone: Name,
    /// Version of the configuration.
    pub version: Version,
    /// Health state of the server at that time.
    #[serde(alias = "verdict")]
    pub health: Name,
}
