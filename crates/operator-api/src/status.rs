//! `status`: the state of the whole cluster.
use crate::fan_out::NodeAnswer;
use crate::members::ViewReport;
use crate::nodes::NodeReport;
use crate::{CallName, OperatorCall};
use quincehatch_core::{Name, Version};
use serde::{Deserialize, Serialize};

/// Asks for the state of the whole cluster.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusRequest {}

impl OperatorCall for StatusRequest {
    const NAME: CallName = CallName::Status;
    type Reply = StatusReply;
}

/// The state of the whole cluster, as collected by the node that served the call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Version of the configuration that this node has applied.
    pub version: Version,
    /// Number of the last change that this node has applied.
    pub change: u64,
    /// The newest view of the replication chain that this node knows.
    pub view: ViewReport,
    /// The voting keepers of that view.
    pub keepers: Vec<KeeperAnswer>,
    /// The primary of each group.
    pub primaries: Vec<PrimaryReport>,
    /// Every node's report on itself.
    pub nodes: Vec<NodeAnswer<NodeReport>>,
}

/// The answer of one keeper within the status.
// The order of the variants matters: serde tries `Unresponsive` first, whose field no report has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum KeeperAnswer {
    /// The keeper did not answer in time.
    Unresponsive {
        /// Name of the keeper.
        name: Name,
        /// Address of the keeper, `ip:port`.
        addr: Name,
        /// Always true.
        unresponsive: bool,
    },
    /// The keeper answered.
    Answered(KeeperReport),
}

/// What a keeper reports on itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeeperReport {
    /// Name of the keeper.
    pub name: Name,
    /// Address of the keeper, `ip:port`.
    pub addr: Name,
    /// Describes the keeper's state: why it does or does not serve requests.
    pub why: String,
    /// Version of the keeper's current view.
    pub view: Version,
    /// Number of the last change that the keeper has stored.
    pub change: u64,
    /// Number of the last change that the keeper knows to be committed.
    pub committed: u64,
    /// Number of the last change that is in force on every node.
    pub in_force: u64,
    /// Number of node leases that the keeper has granted.
    pub leases: usize,
    /// Size of the keeper's data directory.
    pub disk: DiskReport,
    /// Size of the log that the keeper retains for lagging members.
    pub log: LogReport,
}

/// Size of a keeper's data directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DiskReport {
    /// Bytes in use.
    pub used: u64,
    /// Limit in bytes.
    pub allowed: u64,
}

/// Size of a keeper's in-memory log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LogReport {
    /// Number of entries.
    pub entries: u64,
    /// Size of the entries in bytes.
    pub bytes: u64,
}

/// The primary of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrimaryReport {
    /// Name of the group.
    pub group: Name,
    /// Name of the primary; `None` during a promotion.
    pub server: Option<Name>,
    /// Fencing token of the assignment.
    pub fence: u64,
    /// Name of the node that made the assignment.
    pub assigned_by: Name,
}
