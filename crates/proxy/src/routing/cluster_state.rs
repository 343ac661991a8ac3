//! The configuration and primaries that this node has applied from the keepers' replication chain.
use crate::latest::Numbered;
use crate::tenants::TenantDirectory;
use quincehatch_config::configuration::Configuration;
use quincehatch_core::{ChangeNumber, FencingToken, Name, PrimaryAssignment, Version};
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
    /// The newest fencing token of each group for which one was issued after that of the assignment: a promotion was
    /// begun that has not written its assignment yet.
    pub pending_promotions: BTreeMap<Name, FencingToken>,
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

    /// Returns the token of the promotion that was begun under the group's assignment, if any.
    pub fn pending_promotion(&self, group: &str) -> Option<FencingToken> {
        self.pending_promotions.get(group).copied()
    }
}

impl Numbered for ClusterState {
    fn newer_or_same(&self, than: &Self) -> bool {
        self.number >= than.number && self.version >= than.version
    }
}
