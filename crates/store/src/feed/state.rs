//! The state of the replicated store that a node maintains from the feed.
use crate::command::PrimaryState;
use crate::compression::PackedText;
use crate::feed::{Change, FeedEvent};
use crate::store::{Store, promotion_role_key, upsert_server};
use quincehatch_core::{
    ChangeNumber, FencingToken, Name, PrimaryAssignment, ServerRecord, Version, messages,
};
use std::collections::BTreeMap;

messages! {
    /// The state that nodes act on, sent to a node that lacks more changes than the tail retains.
    #[derive(Eq, Default)]
    pub struct FeedSnapshot {
        /// Number of the last change that the snapshot reflects.
        pub last_change: ChangeNumber,
        /// Version of the configuration in force; 0 before the first.
        pub configuration_version: Version,
        /// The configuration in force, as JSON; empty before the first.
        pub configuration_json: PackedText,
        /// The primary of each group.
        pub primaries: BTreeMap<Name, PrimaryAssignment>,
        /// The servers, by name.
        pub servers: BTreeMap<Name, ServerRecord>,
        /// The nodes that may hold a lease, each with the number of the entry that enrolled its process.
        pub nodes: BTreeMap<Name, ChangeNumber>,
        /// The newest fencing token of each singleton role.
        pub fences: BTreeMap<Name, FencingToken>
    }
}

/// A node's copy of the parts of the replicated store that nodes act on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeedState {
    /// Number of the last change that was applied.
    pub last_change: ChangeNumber,
    /// Version of the configuration in force; 0 before the first.
    pub configuration_version: Version,
    /// The configuration in force, as JSON; empty before the first.
    pub configuration_json: String,
    /// The primary of each group.
    pub primaries: BTreeMap<Name, PrimaryAssignment>,
    /// The servers, by name.
    pub servers: BTreeMap<Name, ServerRecord>,
    /// The nodes that may hold a lease, each with the number of the entry that enrolled its process.
    pub nodes: BTreeMap<Name, ChangeNumber>,
    /// The newest fencing token of each singleton role.
    pub fences: BTreeMap<Name, FencingToken>,
}

impl FeedSnapshot {
    /// Returns the state of `store` that nodes act on. `configuration_json` is its configuration, which the caller
    /// packs once for many nodes.
    pub fn from_store(store: &Store, configuration_json: PackedText) -> FeedSnapshot {
        let fences = store.fences.iter().map(|(duty, issued)| (duty.clone(), issued.fence)).collect();
        FeedSnapshot {
            last_change: store.last_change,
            configuration_version: store.configuration_version(),
            configuration_json,
            primaries: store.primaries.clone(),
            servers: store.servers.clone(),
            nodes: store.nodes.clone(),
            fences,
        }
    }
}

impl FeedState {
    /// Returns the state that a snapshot contains; `None` if its configuration is damaged.
    pub fn from_snapshot(snapshot: FeedSnapshot) -> Option<FeedState> {
        let configuration_json = snapshot.configuration_json.unpack()?;
        Some(FeedState {
            last_change: snapshot.last_change,
            configuration_version: snapshot.configuration_version,
            configuration_json,
            primaries: snapshot.primaries,
            servers: snapshot.servers,
            nodes: snapshot.nodes,
            fences: snapshot.fences,
        })
    }

    /// Applies a change. Returns `false` and changes nothing if the change does not directly follow the last one or is
    /// a patch of another configuration; the node then requests a snapshot.
    pub fn apply(&mut self, change: &Change) -> bool {
        if change.number != self.last_change + 1 {
            return false;
        }
        match &change.event {
            FeedEvent::Other => {}
            FeedEvent::Configuration { version, patch } => {
                let is_next_version = *version == self.configuration_version + 1;
                let Some(json) = patch.apply(&self.configuration_json).filter(|_| is_next_version) else {
                    return false;
                };
                self.configuration_version = *version;
                self.configuration_json = json;
            }
            FeedEvent::RegisterServer { record } => upsert_server(&mut self.servers, record),
            FeedEvent::VotersChanged { registered, removed, primaries } => {
                if let Some(server) = removed {
                    self.servers.remove(server);
                }
                if let Some(record) = registered {
                    upsert_server(&mut self.servers, record);
                }
                self.primaries.extend(primaries.clone());
            }
            FeedEvent::DeregisterServer { server } => {
                self.servers.remove(server);
            }
            FeedEvent::FenceAdvanced { duty, fence } => {
                self.fences.insert(duty.clone(), *fence);
            }
            FeedEvent::NodeEnrollment { node, enrolled: Some(entry) } => {
                self.nodes.insert(node.clone(), *entry);
            }
            FeedEvent::NodeEnrollment { node, enrolled: None } => {
                self.nodes.remove(node);
            }
            FeedEvent::PrimaryAssigned { group, primary } => {
                self.primaries.insert(group.clone(), primary.clone());
            }
        }
        self.last_change = change.number;
        true
    }

    /// Returns the newest fencing token of a singleton role; 0 if none was issued.
    pub fn fence(&self, duty: &str) -> FencingToken {
        self.fences.get(duty).copied().unwrap_or_default()
    }

    /// Returns the primary of a group, and the newest fencing token that was issued for changing it.
    pub fn primary_state(&self, group: &Name) -> PrimaryState {
        PrimaryState {
            fence: self.fence(&promotion_role_key(group)),
            primary: self.primaries.get(group).cloned(),
        }
    }
}
