//! Execution of commands on the store.
use crate::command::{Answer, Command};
use crate::store::delayed_heartbeats::HeartbeatTiming;
use crate::store::documents::{DocumentOutcome, RecordedDocument, document_digest};
use crate::store::servers::{is_redundant, upsert_server};
use crate::store::{AdoptedDocument, HistoryEntry, RecordedAnswer, Store, promotion_role_key};
use quincehatch_core::{ChangeNumber, ErrorCode, Name, ServerRecord, Version};

impl Store {
    /// Returns the answer to a command that would not change the store, and so needs no log entry; `None` if the
    /// command would change it.
    pub fn no_op_answer(&self, command: &Command) -> Option<RecordedAnswer> {
        let is_no_op = match command {
            Command::RegisterServer { at: record } => {
                let known = self.servers.get(&record.server);
                known.map_or_else(
                    || self.heartbeat_timing(record) == HeartbeatTiming::Delayed,
                    |known| is_redundant(known, record),
                )
            }
            Command::DeregisterServer { server } => !self.servers.contains_key(server),
            Command::AdoptDocument { number, source, .. } => {
                return self.known_document_answer(*number, source);
            }
            _ => false,
        };
        is_no_op.then_some(RecordedAnswer { entry: self.last_change, answer: Answer::Done })
    }

    /// Returns the answer to a document that would not be recorded under its number; `None` if it would be.
    fn known_document_answer(&self, number: u64, source: &str) -> Option<RecordedAnswer> {
        let outcome = self.documents.classify(number, document_digest(source));
        if outcome.should_record() {
            return None;
        }
        let entry = outcome.entry().unwrap_or(self.last_change);
        Some(RecordedAnswer { entry, answer: outcome.answer(self.configuration_version()) })
    }

    /// Executes a command and returns its answer.
    pub(super) fn execute(&mut self, command: &Command) -> Answer {
        match command {
            Command::PushConfiguration { base, text, by } => self.push_configuration(*base, text, by),
            Command::AdoptDocument { number, text, source, by } => {
                self.adopt_document(*number, text, source, by)
            }
            Command::RegisterServer { at: record } => self.register_server(record),
            Command::DeregisterServer { server } => {
                self.deregister_server(server);
                Answer::Done
            }
            Command::EnrollNode { node, .. } => {
                self.nodes.insert(node.clone(), self.last_change);
                Answer::Enrolled(self.last_change)
            }
            Command::DismissNode { node, enrolled } => self.dismiss_node(node, *enrolled),
            Command::AcquireFence { duty, by } => self.advance_fence(duty, by),
            Command::AcquireFenceIfUnchanged { group, by, expected } => {
                if self.primary_state(group) != *expected {
                    let detail = "the primary has changed since this was planned";
                    return Answer::Rejected(ErrorCode::StaleFence.with_detail(detail));
                }
                self.advance_fence(&promotion_role_key(group), by)
            }
            Command::AssignPrimary { group, primary } => self.assign_primary(group, primary),
            Command::DropPreviousVoters { group, fence } => self.drop_previous_voters(group, *fence),
        }
    }

    /// Puts a configuration in force if `base` is the version in force.
    fn push_configuration(&mut self, base: Version, text: &str, author: &Name) -> Answer {
        let in_force = self.configuration_version();
        if base != in_force {
            let detail = format!("it builds on {base}, in force is {in_force}");
            return Answer::Rejected(ErrorCode::ConfigurationStale.with_detail(detail));
        }
        let version = in_force + 1;
        self.append_history(HistoryEntry { version, text: text.to_owned(), author: author.clone() });
        Answer::Version(version)
    }

    /// Records the document if its number is unused. The document comes into force if its number is the highest so far.
    fn adopt_document(&mut self, number: u64, text: &str, source: &str, author: &Name) -> Answer {
        let digest = document_digest(source);
        let outcome = self.documents.classify(number, digest);
        if outcome.should_record() {
            self.documents.record(number, RecordedDocument { digest, entry: self.last_change });
        }
        if outcome == DocumentOutcome::Newest {
            self.adopted = Some(AdoptedDocument { number, source: source.to_owned() });
            let version = self.configuration_version() + 1;
            self.append_history(HistoryEntry { version, text: text.to_owned(), author: author.clone() });
        }
        outcome.answer(self.configuration_version())
    }

    /// Records a server, unless a newer heartbeat of it is already recorded or the server has left since this heartbeat
    /// was sent.
    fn register_server(&mut self, record: &ServerRecord) -> Answer {
        let timing = match self.servers.get(&record.server) {
            None => self.heartbeat_timing(record),
            Some(known) if known.seq < record.seq => HeartbeatTiming::Current,
            Some(_) => HeartbeatTiming::Delayed,
        };
        match timing {
            HeartbeatTiming::Current => {
                self.record_displaced_servers(record);
                upsert_server(&mut self.servers, record);
                self.record_successor(record);
            }
            HeartbeatTiming::FirstDelayed => {
                self.first_delayed.insert(record.server.clone(), record.seq);
            }
            HeartbeatTiming::Delayed => {}
        }
        Answer::Done
    }

    /// Dismisses the process of a node that entry `enrolled` enrolled. A later process of the same node stays enrolled.
    fn dismiss_node(&mut self, node: &Name, enrolled: ChangeNumber) -> Answer {
        if self.nodes.get(node) == Some(&enrolled) {
            self.nodes.remove(node);
        }
        Answer::Done
    }
}
