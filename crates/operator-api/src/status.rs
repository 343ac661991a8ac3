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

/// The state of the whole cluster, as the asked node has gathered it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Version of the configuration that the asked node has applied.
    pub version: Version,
    /// Number of the last change that it has applied.
    pub change: u64,
    /// The newest view of the replication chain that it knows.
    pub view: ViewReport,
    /// The voting keepers of that view.
    pub keepers: Vec<KeeperAnswer>,
    /// The primary of each group.
    pub primaries: Vec<PrimaryReport>,
    /// Every node's report on itself.
    pub nodes: Vec<NodeAnswer<NodeReport>>,
}

/// One keeper's part of the status.
// The order of the variants matters: serde tries `Unresponsive` first, whose field no report has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum KeeperAnswer {
    /// The keeper did not answer in time.
    Unresponsive {
        /// Name of the keeper.
        name: Name,
        /// Its address, `ip:port`.
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
    /// Its address, `ip:port`.
    pub addr: Name,
    /// Its state in words: why it does or does not serve.
    pub why: String,
    /// Version of the view that it is in.
    pub view: Version,
    /// Number of the last change that it holds.
    pub change: u64,
    /// Number of the last change that it knows to be committed.
    pub committed: u64,
    /// Number of the last change that is in force on every node.
    pub in_force: u64,
    /// Node leases that it has granted.
    pub leases: usize,
    /// Size of its data folder.
    pub disk: DiskReport,
    /// Log entries that it keeps for members that lag behind.
    pub log: LogReport,
}

/// Size of a keeper's data folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DiskReport {
    /// Bytes used.
    pub used: u64,
    /// Bytes that it may use.
    pub allowed: u64,
}

/// Size of a keeper's log in memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LogReport {
    /// Entries.
    pub entries: u64,
    /// Bytes that they take.
    pub bytes: u64,
}

/// The primary of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrimaryReport {
    /// Name of the group.
    pub group: Name,
    /// Name of the primary; `None` during a promotion.
    pub server: Option<Name>,
    /// Fencing token of its assignment.
    pub fence: u64,
    /// Node that assigned it.
    pub assigned_by: Name,
}
