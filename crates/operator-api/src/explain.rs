//! `explain`: recorded reasons for health changes, routing decisions and promotions, collected from every node.
use crate::fan_out::NodeAnswer;
use crate::{CallName, OperatorCall};
use quincehatch_core::{Name, Version};
use serde::{Deserialize, Serialize};

/// Asks every node about one subject. Exactly one field is expected to be set; if several are, the first one is used.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ExplainRequest {
    /// Name of a server whose health transitions are requested.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub server: String,
    /// Decimal id of a request whose path is requested.
    #[serde(alias = "visit", skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// Any non-empty text requests the last promotions.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub promotions: String,
}

/// The subject of an `explain` call.
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
    /// Returns the subject, or `None` if every field is empty.
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

/// The records of every node about the subject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainReply {
    /// One answer per node of the cluster.
    pub nodes: Vec<NodeAnswer<Explanation>>,
}

/// The records of one node about the subject.
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

/// The health of a server as one node sees it.
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
    /// The last changes of the health state, oldest first.
    #[serde(alias = "turns")]
    pub transitions: Vec<TransitionReport>,
}

/// A change of a server's health state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransitionReport {
    /// How long ago the change took place, in milliseconds.
    pub ago_ms: u64,
    /// The new health state.
    pub to: String,
    /// The reason for the change in one sentence.
    pub why: String,
    /// The evidence on which the change is based.
    pub evidence: Vec<EvidenceReport>,
}

/// One piece of evidence against a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The observed failure signal.
    #[serde(alias = "sign")]
    pub signal: String,
    /// The weight of the signal.
    pub weight: u64,
    /// How long ago the signal was observed, in milliseconds.
    pub ago_ms: u64,
}

/// The path of one request through a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestTrace {
    /// Id of the request, which the client finds in the reply.
    #[serde(alias = "visit")]
    pub request_id: u64,
    /// Name of the client API call.
    pub what: String,
    /// Duration of the request in milliseconds.
    pub ms: u64,
    /// Result code, 0 for success.
    pub code: u16,
    /// Node, server and route that served the request.
    #[serde(rename = "where")]
    pub location: RequestLocation,
    /// Processing steps in order.
    pub path: Vec<String>,
}

/// The node, server and route that served a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestLocation {
    /// Name of the node.
    pub node: Name,
    /// Name of the server, empty if none was reached.
    pub server: Name,
    /// Placement of the route.
    pub placement: Name,
    /// Zone of the server.
    #[serde(alias = "district")]
    pub zone: Name,
    /// Version of the configuration.
    pub version: Version,
    /// Health state of the server at the time of the request.
    #[serde(alias = "verdict")]
    pub health: Name,
}
