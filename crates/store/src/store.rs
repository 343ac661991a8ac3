//! What the chain's entries add up to; keepers and nodes apply the same entries to the same store (§5.2).
use crate::documents::{DocumentOutcome, DocumentRegister, TakenNumber, document_digest};
use crate::messages::{Answer, Command, Entry, PrimaryState};
use quincehatch_core::{
    ChangeNumber, ErrorCode, FencingToken, Name, PrimaryAssignment, ServerRecord, Version, hash64, messages,
};
use std::collections::{BTreeMap, VecDeque};

/// Blueprints kept for history and rollback.
pub const MAX_HISTORY_VERSIONS: usize = 32;
/// Their size together: the whole store travels in one frame (§2.6).
const MAX_HISTORY_BYTES: usize = 1 << 20;
/// Answers kept so that a write sent twice is taken once.
pub const MAX_ANSWERED_WRITES: usize = 1024;

messages! {
    #[derive(Eq)]
    pub struct HistoryEntry { pub version: Version, pub text: String, pub author: Name }

    #[derive(Eq)]
    pub struct AnsweredWrite { pub key: Name, pub number: ChangeNumber, pub digest: u64, pub answer: Answer }

    #[derive(Eq, Default)]
    pub struct Store {
        pub last_change: ChangeNumber,
        pub history: VecDeque<HistoryEntry>,
        pub fences: BTreeMap<Name, (FencingToken, Name)>,
        pub primaries: BTreeMap<Name, PrimaryAssignment>,
        pub answers: VecDeque<AnsweredWrite>,
        /// The number and words of the operator's document in force, where one was adopted (§5.2).
        pub adopted: Option<AdoptedDocument>,
        pub servers: BTreeMap<Name, ServerRecord>,
        /// Nodes that may hold a lease, and the entry that enrolled the process of each (§5.6).
        pub nodes: BTreeMap<Name, ChangeNumber>,
        /// Which document of the operator took which number (§5.2).
        pub documents: DocumentRegister
    }

    #[derive(Eq, Default)]
    pub struct AdoptedDocument { pub number: u64, pub source: String }
}

/// An answer that rests on what the store holds already.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedAnswer {
    /// The entry that must be committed before the answer may be given.
    pub entry: ChangeNumber,
    pub answer: Answer,
}

impl Command {
    pub fn digest(&self) -> u64 {
        hash64(&[&borsh::to_vec(self).unwrap_or_default()])
    }
    /// Does it carry a whole blueprint?
    pub fn is_document(&self) -> bool {
        matches!(self, Command::PushConfiguration { .. } | Command::AdoptDocument { .. })
    }
}

impl Store {
    pub fn configuration_version(&self) -> Version {
        self.history.back().map_or(0, |k| k.version)
    }
    pub fn configuration(&self) -> Option<&HistoryEntry> {
        self.history.back()
    }
    pub fn history_entry(&self, version: Version) -> Option<&HistoryEntry> {
        self.history.iter().find(|k| k.version == version)
    }
    pub fn answered_write(&self, key: &str) -> Option<&AnsweredWrite> {
        self.answers.iter().rev().find(|p| p.key == key)
    }
    /// The fence last taken for a duty.
    pub fn fence(&self, duty: &str) -> FencingToken {
        self.fences.get(duty).map_or(0, |f| f.0)
    }
    pub fn primary_state(&self, group: &Name) -> PrimaryState {
        PrimaryState {
            fence: self.fence(&promotion_duty_key(group)),
            primary: self.primaries.get(group).cloned(),
        }
    }

    /// Takes the entry if it is the next; `None` otherwise. The answer depends on nothing but the entries.
    pub fn apply(&mut self, e: &Entry) -> Option<Answer> {
        if e.number != self.last_change + 1 {
            return None;
        }
        self.last_change = e.number;
        let sum = e.command.digest();
        let answer = self.answered_write(&e.key).map(|p| (p.digest, p.answer.clone())).map_or_else(
            || self.execute(&e.command),
            |(s, a)| if s == sum { a } else { Answer::Rejected(ErrorCode::PushConflict.without_detail()) },
        );
        if self.answered_write(&e.key).is_none() {
            self.answers.push_back(AnsweredWrite {
                key: e.key.clone(),
                number: e.number,
                digest: sum,
                answer: answer.clone(),
            });
            if self.answers.len() > MAX_ANSWERED_WRITES {
                self.answers.pop_front();
            }
        }
        Some(answer)
    }

    fn append_history(&mut self, k: HistoryEntry) {
        self.history.push_back(k);
        let bytes = |h: &VecDeque<HistoryEntry>| h.iter().map(|k| k.text.len()).sum::<usize>();
        while self.history.len() > MAX_HISTORY_VERSIONS
            || (self.history.len() > 2 && bytes(&self.history) > MAX_HISTORY_BYTES)
        {
            self.history.pop_front();
        }
    }

    /// The answer to a command that would alter nothing, and so needs no entry.
    pub fn no_op_answer(&self, cmd: &Command) -> Option<RecordedAnswer> {
        let same = |s: &ServerRecord, at: &ServerRecord| {
            at.seq <= s.seq || ServerRecord { seq: s.seq, ..at.clone() } == *s
        };
        let alters_nothing = match cmd {
            Command::RegisterServer { at } => self.servers.get(&at.server).is_some_and(|s| same(s, at)),
            Command::DeregisterServer { server } => !self.servers.contains_key(server),
            Command::AdoptDocument { number, source, .. } => {
                let outcome = self.documents.classify(*number, document_digest(source));
                let entry = outcome.entry().unwrap_or(self.last_change);
                let answer = outcome.answer(self.configuration_version());
                return (!outcome.takes_number()).then_some(RecordedAnswer { entry, answer });
            }
            _ => false,
        };
        alters_nothing.then_some(RecordedAnswer { entry: self.last_change, answer: Answer::Done })
    }

    fn execute(&mut self, cmd: &Command) -> Answer {
        match cmd {
            Command::PushConfiguration { base, text, by } => {
                let at = self.configuration_version();
                if *base != at {
                    let why = format!("it builds on {base}, in force is {at}");
                    return Answer::Rejected(ErrorCode::ConfigurationStale.with_detail(why));
                }
                self.append_history(HistoryEntry { version: at + 1, text: text.clone(), author: by.clone() });
                Answer::Version(at + 1)
            }
            Command::AdoptDocument { number, text, source, by } => {
                self.adopt_document(*number, text, source, by)
            }
            Command::RegisterServer { at } => {
                if self.servers.get(&at.server).is_none_or(|s| s.seq < at.seq) {
                    upsert_server(&mut self.servers, at);
                }
                Answer::Done
            }
            Command::DeregisterServer { server } => {
                self.servers.remove(server);
                Answer::Done
            }
            Command::EnrollNode { node, .. } => {
                self.nodes.insert(node.clone(), self.last_change);
                Answer::Enrolled(self.last_change)
            }
            Command::DismissNode { node, enrolled } => {
                if self.nodes.get(node) == Some(enrolled) {
                    self.nodes.remove(node);
                }
                Answer::Done
            }
            Command::AcquireFence { duty, by } => self.advance_fence(duty, by),
            Command::AcquireFenceIfUnchanged { group, by, expected }
                if self.primary_state(group) == *expected =>
            {
                self.advance_fence(&promotion_duty_key(group), by)
            }
            Command::AcquireFenceIfUnchanged { .. } => Answer::Rejected(
                ErrorCode::StaleFence.with_detail("the leadership has changed since it was planned"),
            ),
            Command::AssignPrimary { group, primary } => self.assign_primary(group, primary),
            Command::DropPreviousVoters { group, fence } => match self.primaries.get_mut(group) {
                Some(l) if l.fence == *fence && l.server.is_some() => {
                    l.previous_voters.clear();
                    Answer::Primary(l.clone())
                }
                _ => Answer::Rejected(ErrorCode::StaleFence.with_detail("no lead is named under it")),
            },
        }
    }

    /// Takes the document's number if it is free; the document comes into force if the number is the highest.
    fn adopt_document(&mut self, number: u64, text: &str, source: &str, by: &Name) -> Answer {
        let digest = document_digest(source);
        let outcome = self.documents.classify(number, digest);
        if outcome.takes_number() {
            self.documents.record(number, TakenNumber { digest, entry: self.last_change });
        }
        if outcome == DocumentOutcome::Newest {
            self.adopted = Some(AdoptedDocument { number, source: source.to_owned() });
            let version = self.configuration_version() + 1;
            self.append_history(HistoryEntry { version, text: text.to_owned(), author: by.clone() });
        }
        outcome.answer(self.configuration_version())
    }

    fn advance_fence(&mut self, duty: &Name, by: &Name) -> Answer {
        let fence = self.fence(duty) + 1;
        self.fences.insert(duty.clone(), (fence, by.clone()));
        Answer::Fence(fence)
    }

    /// A lead is set only under the newest fence of its duty, and a closed one is never opened again. Whoever writes,
    /// lists that hold are only added to here: an entry that brings none leaves them as they are (§5.5).
    fn assign_primary(&mut self, group: &Name, lead: &PrimaryAssignment) -> Answer {
        let out = self.fence(&promotion_duty_key(group));
        if lead.fence < out {
            return Answer::Rejected(
                ErrorCode::StaleFence.with_detail(format!("{} is under {out}", lead.fence)),
            );
        }
        let now = self.primaries.get(group);
        if now.is_some_and(|l| l.fence > lead.fence) {
            return Answer::Rejected(ErrorCode::StaleFence.without_detail());
        }
        let reopened =
            now.is_some_and(|l| l.fence == lead.fence && l.server.is_some() && l.server != lead.server);
        if reopened {
            return Answer::Rejected(
                ErrorCode::StaleFence.with_detail("this fence has named another server"),
            );
        }
        let mut lists = now.map_or_else(Vec::new, PrimaryAssignment::voter_sets);
        if !lead.voters.is_empty() {
            lists.retain(|l| *l != lead.voters && !quincehatch_runtime::seam::injected_bug("old-list"));
            lists.push(lead.voters.clone());
        }
        let counts = lists.pop().unwrap_or_default();
        let lead = PrimaryAssignment { voters: counts, previous_voters: lists, ..lead.clone() };
        self.primaries.insert(group.clone(), lead.clone());
        Answer::Primary(lead)
    }
}

/// An address belongs to whoever was heard of there last (§3.5).
pub(crate) fn upsert_server(servers: &mut BTreeMap<Name, ServerRecord>, at: &ServerRecord) {
    servers.retain(|n, s| *n == at.server || s.addr != at.addr);
    servers.insert(at.server.clone(), at.clone());
}

/// The duty that looks after a group's lead.
pub fn promotion_duty_key(group: &str) -> Name {
    Name::from(format!("lead/{group}"))
}
