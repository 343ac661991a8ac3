//! What each log entry means for nodes. It stands here and not with the store, as the feed builds on the store.
use crate::command::{Answer, Command, Entry};
use crate::feed::{FeedEvent, Patch};
use crate::store::{Store, promotion_duty_key};
use quincehatch_core::{Name, PrimaryAssignment};
use std::collections::BTreeMap;

/// An entry that was applied.
pub struct AppliedEntry {
    /// The answer to whoever wrote it.
    pub answer: Answer,
    /// What it changed for nodes.
    pub event: FeedEvent,
}

impl Store {
    /// Applies the entry that follows the last one, as [`Store::apply`] does, and reports what it changed for nodes.
    pub fn apply_with_event(&mut self, entry: &Entry) -> Option<AppliedEntry> {
        // A patch needs the text before the entry; other commands leave it alone.
        let old_json =
            if entry.command.is_document() { self.configuration_json().to_owned() } else { String::new() };
        let old_version = self.configuration_version();
        let old_primaries = self.primaries_touched_by(&entry.command);
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

    /// The configuration in force, as JSON; empty before the first.
    pub(crate) fn configuration_json(&self) -> &str {
        self.configuration().map_or("", |entry| entry.text.as_str())
    }

    /// What a command that was executed means for nodes, apart from configurations.
    fn event_of(&self, command: &Command) -> FeedEvent {
        match command {
            // A record that was not newer changed nothing.
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
            Command::AcquireFenceIfUnchanged { group, .. } => self.fence_event(promotion_duty_key(group)),
            _ => FeedEvent::Other,
        }
    }

    /// The assignments that a change of servers may touch: those of the groups of a server that comes or goes, and of
    /// the servers that lose their address to it.
    fn primaries_touched_by(&self, command: &Command) -> BTreeMap<Name, PrimaryAssignment> {
        let groups: Vec<&Name> = match command {
            Command::RegisterServer { at: record } => {
                let at_its_address = self.servers.values().filter(|known| known.addr == record.addr);
                at_its_address.map(|known| &known.group).chain([&record.group]).collect()
            }
            Command::DeregisterServer { server } => {
                self.servers.get(server).map(|known| &known.group).into_iter().collect()
            }
            _ => return BTreeMap::new(),
        };
        let primaries = groups.into_iter().filter_map(|group| self.primaries.get_key_value(group));
        primaries.map(|(group, primary)| (group.clone(), primary.clone())).collect()
    }

    /// What a change of servers means where it changed assignments too; `before`: these as they were.
    fn with_changed_voters(&self, event: FeedEvent, before: BTreeMap<Name, PrimaryAssignment>) -> FeedEvent {
        let mut primaries = BTreeMap::new();
        for (group, earlier) in before {
            if let Some(primary) = self.primaries.get(&group).filter(|primary| **primary != earlier) {
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

    /// The assignment as it holds now: the store itself adds to its voter sets, and drops them.
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
