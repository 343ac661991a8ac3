//! The configuration and primaries that this node has applied from the keepers' replication chain.
use crate::latest::Numbered;
use crate::tenants::TenantDirectory;
use quincehatch_config::configuration::Configuration;
use quincehatch_core::{ChangeNumber, Name, PrimaryAssignment, Version};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The configuration and primaries at one change number.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// The number of the last change that this state includes.
    pub number: ChangeNumber,
    /// The version of the configuration.
    pub version: Version,
    /// The configuration; `None` until the first one is received.
    pub configuration: Option<Arc<Configuration>>,
    /// The primary of each group.
    pub primaries: BTreeMap<Name, PrimaryAssignment>,
    /// The index of the route for each database that direct sessions name.
    pub route_by_database: Arc<HashMap<Name, usize>>,
    /// The tenants of the configuration, indexed by their client keys.
    pub tenants: Arc<TenantDirectory>,
}

impl ClusterState {
    /// Returns the server that is assigned as the group's primary.
    pub fn primary_of(&self, group: &str) -> Option<&Name> {
        self.primaries.get(group)?.server.as_ref()
    }
}

impl Numbered for ClusterState {
    fn newer_or_same(&self, than: &Self) -> bool {
        self.number >= than.number && self.version >= than.version
    }
}
