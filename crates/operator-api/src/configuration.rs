//! `push`, `history` and `rollback`: configuration versions.
use crate::{CallName, OperatorCall};
use quincehatch_core::{Name, Version};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Longest idempotency key of a push, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Options for writing a new configuration version, shared by `push` and `rollback`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WriteOptions {
    /// Version that the new one builds on. `None` stands for the version in force at the node that serves the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub base: Option<Version>,
    /// Idempotency key: a request that is retried with the same key is applied once. Required unless `dry_run` is set;
    /// 1 to [`MAX_IDEMPOTENCY_KEY_BYTES`] bytes.
    #[serde(rename = "key", alias = "idempotency_key", skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
    /// Author of the change, recorded in the history. `None` stands for `operator`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub by: Option<Name>,
    /// Whether to only validate the configuration and report the difference.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dry_run: Option<bool>,
}

/// Pushes a new configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PushRequest {
    /// The configuration as TOML or JSON.
    pub text: String,
    /// Options for the new version.
    #[serde(flatten)]
    pub options: WriteOptions,
}

impl OperatorCall for PushRequest {
    const NAME: CallName = CallName::Push;
    type Reply = PushReply;
}

/// The outcome of a `push` or `rollback`.
// The order of the variants matters: serde tries `DryRun` first, whose fields no applied push has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum PushReply {
    /// The configuration was only validated; nothing was written.
    DryRun {
        /// Always true: an invalid configuration is an error reply.
        valid: bool,
        /// Version that the new one would build on.
        builds_on: Version,
        /// What the new version would change.
        #[serde(flatten)]
        difference: Difference,
    },
    /// The configuration is in force on every node.
    Applied {
        /// The new version.
        version: Version,
        /// What the new version changed.
        #[serde(flatten)]
        difference: Difference,
    },
}

/// How a new configuration differs from the one in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Settings removed (`- name = value`) and added (`+ name = value`).
    pub diff: Vec<String>,
    /// Placements that no known server matches.
    pub no_server_yet: Vec<String>,
}

/// Asks for the configuration versions that are retained.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HistoryRequest {}

impl OperatorCall for HistoryRequest {
    const NAME: CallName = CallName::History;
    type Reply = HistoryReply;
}

/// The retained versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// The versions, oldest first.
    pub history: Vec<RetainedVersion>,
}

/// A configuration version that is retained.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetainedVersion {
    /// Version number.
    pub version: Version,
    /// Author of the change.
    pub by: Name,
    /// Size of the configuration text in bytes.
    pub bytes: usize,
    /// The parsed configuration.
    pub configuration: Value,
}

/// Writes a new version with the content of an older one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RollbackRequest {
    /// Number of the older version.
    pub version: Version,
    /// Options for the new version.
    #[serde(flatten)]
    pub options: WriteOptions,
}

impl OperatorCall for RollbackRequest {
    const NAME: CallName = CallName::Rollback;
    type Reply = PushReply;
}
