//! Configuration and primaries as the keepers' chain has them and this node has applied them.
use crate::latest::Numbered;
use crate::tenants::TenantDirectory;
use quincehatch_config::configuration::Configuration;
use quincehatch_core::{ChangeNumber, Name, PrimaryAssignment, Version};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Configuration and primaries of one moment.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// Number of the last change that is in it.
    pub number: ChangeNumber,
    /// Version of the configuration.
    pub version: Version,
    /// The configuration; none before the first is known.
    pub configuration: Option<Arc<Configuration>>,
    /// The primary of each group.
    pub primaries: BTreeMap<Name, PrimaryAssignment>,
    /// For each database that direct sessions name, the index of its route.
    pub route_by_database: Arc<HashMap<Name, usize>>,
    /// The tenants of the configuration, by their keys.
    pub tenants: Arc<TenantDirectory>,
}

impl ClusterState {
    /// The server that is named the group's primary.
    pub fn primary_of(&self, group: &str) -> Option<&Name> {
        self.primaries.get(group)?.server.as_ref()
    }
}

impl Numbered for ClusterState {
    fn newer_or_same(&self, than: &Self) -> bool {
        self.number >= than.number && self.version >= than.version
    }
}
