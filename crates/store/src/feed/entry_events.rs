//! What each log entry means for nodes. It stands here and not with the store, as the feed builds on the store.
use crate::command::{Answer, Command, Entry};
use crate::feed::{FeedEvent, Patch};
use crate::store::{Store, promotion_duty_key};
use quincehatch_core::Name;

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
        let answer = self.apply(entry)?;
        let event = if matches!(answer, Answer::Rejected(_)) {
            FeedEvent::Other
        } else if entry.command.is_document() && self.configuration_version() > old_version {
            let patch = Patch::between(&old_json, self.configuration_json());
            FeedEvent::Configuration { version: self.configuration_version(), patch }
        } else {
            self.event_of(&entry.command)
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
