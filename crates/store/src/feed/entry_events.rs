//! Derives the feed event of a log entry. This module extends [`Store`] from here because the feed depends on the
//! store, and not the reverse.
use crate::command::{Answer, Command, Entry};
use crate::feed::{FeedEvent, Patch};
use crate::store::{Store, promotion_role_key};
use quincehatch_core::{Name, PrimaryAssignment};
use std::collections::BTreeMap;

/// The result of applying a log entry.
pub struct AppliedEntry {
    /// The answer to the client that sent the write.
    pub answer: Answer,
    /// The change that nodes receive through the feed.
    pub event: FeedEvent,
}

impl Store {
    /// Applies an entry as [`Store::apply`] does, and also returns the change that nodes receive.
    pub fn apply_with_event(&mut self, entry: &Entry) -> Option<AppliedEntry> {
        // A patch is computed from the text before the entry; only documents change that text.
        let old_json =
            if entry.command.is_document() { self.configuration_json().to_owned() } else { String::new() };
        let old_version = self.configuration_version();
        let old_primaries = self.primaries_affected_by(&entry.command);
        let answer = self.apply(entry)?;
        let event = if matches!(answer, Answer::Rejected(_)) {
            FeedEvent::Other
        } else if entry.command.is_document() && self.configuration_version() > old_version {
            let patch = Patch::between(&old_json, self.configuration_json());
            FeedEvent::Configuration { version: self.configuration_version(), patch }
        } else {
            self.with_changed_voters(self.event_of(&entry.command), old_primaries)
        };
        Some(AppliedEntry { answer, event })
    }

    /// Returns the configuration in force, as JSON; empty before the first.
    pub(crate) fn configuration_json(&self) -> &str {
        self.configuration().map_or("", |entry| entry.text.as_str())
    }

    /// Returns the event of an executed command that does not contain a configuration.
    fn event_of(&self, command: &Command) -> FeedEvent {
        match command {
            // If the stored record differs, the command's record was not newer and changed nothing.
            Command::RegisterServer { at: record } if self.servers.get(&record.server) == Some(record) => {
                FeedEvent::RegisterServer { record: record.clone() }
            }
            Command::DeregisterServer { server } => FeedEvent::DeregisterServer { server: server.clone() },
            Command::AssignPrimary { group, .. } | Command::DropPreviousVoters { group, .. } => {
                self.primary_event(group)
            }
            Command::EnrollNode { node, .. } | Command::DismissNode { node, .. } => {
                FeedEvent::NodeEnrollment { node: node.clone(), enrolled: self.nodes.get(node).copied() }
            }
            Command::AcquireFence { duty, .. } => self.fence_event(duty.clone()),
            Command::AcquireFenceIfUnchanged { group, .. } => self.fence_event(promotion_role_key(group)),
            _ => FeedEvent::Other,
        }
    }

    /// Returns the assignments that a registration or removal of a server may change: those of the group of that
    /// server, and of the groups of the servers whose address it takes over.
    fn primaries_affected_by(&self, command: &Command) -> BTreeMap<Name, PrimaryAssignment> {
        let groups: Vec<&Name> = match command {
            Command::RegisterServer { at: record } => {
                let same_address = self.servers.values().filter(|known| known.addr == record.addr);
                same_address.map(|known| &known.group).chain([&record.group]).collect()
            }
            Command::DeregisterServer { server } => {
                self.servers.get(server).map(|known| &known.group).into_iter().collect()
            }
            _ => return BTreeMap::new(),
        };
        let primaries = groups.into_iter().filter_map(|group| self.primaries.get_key_value(group));
        primaries.map(|(group, primary)| (group.clone(), primary.clone())).collect()
    }

    /// Extends the event of a registration or removal of a server by the assignments that differ from those in
    /// `before`.
    fn with_changed_voters(&self, event: FeedEvent, before: BTreeMap<Name, PrimaryAssignment>) -> FeedEvent {
        let mut primaries = BTreeMap::new();
        for (group, previous) in before {
            if let Some(primary) = self.primaries.get(&group).filter(|primary| **primary != previous) {
                primaries.insert(group, primary.clone());
            }
        }
        match event {
            FeedEvent::RegisterServer { record } if !primaries.is_empty() => {
                FeedEvent::VotersChanged { registered: Some(record), removed: None, primaries }
            }
            FeedEvent::DeregisterServer { server } if !primaries.is_empty() => {
                FeedEvent::VotersChanged { registered: None, removed: Some(server), primaries }
            }
            unchanged => unchanged,
        }
    }

    /// Returns the event of an assignment. It contains the assignment as stored, because the store adds and drops voter
    /// sets itself.
    fn primary_event(&self, group: &Name) -> FeedEvent {
        match self.primaries.get(group) {
            Some(primary) => FeedEvent::PrimaryAssigned { group: group.clone(), primary: primary.clone() },
            None => FeedEvent::Other,
        }
    }

    fn fence_event(&self, duty: Name) -> FeedEvent {
        let fence = self.fence(&duty);
        FeedEvent::FenceAdvanced { duty, fence }
    }
}
