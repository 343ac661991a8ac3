//! What the chain's entries add up to; keepers and nodes apply the same entries to the same store (§5.2).
use crate::documents::{DocumentOutcome, DocumentRegister, TakenNumber, document_digest};
use crate::messages::{Answer, Command, Entry, PrimaryState};
use quincehatch_core::{ChangeNo, Code, Fence, Lead, Name, ServerRecord, Version, hash64, messages};
use std::collections::{BTreeMap, VecDeque};

/// Blueprints kept for history and rollback.
pub const HISTORY: usize = 32;
/// Their size together: the whole store travels in one frame (§2.6).
const HISTORY_BYTES: usize = 1 << 20;
/// Answers kept so that a write sent twice is taken once.
pub const ANSWERS: usize = 1024;

messages! {
    #[derive(Eq)]
    pub struct HistoryEntry { pub version: Version, pub text: String, pub by: Name }

    #[derive(Eq)]
    pub struct AnsweredWrite { pub key: Name, pub n: ChangeNo, pub sum: u64, pub answer: Answer }

    #[derive(Eq, Default)]
    pub struct Store {
        pub n: ChangeNo,
        pub history: VecDeque<HistoryEntry>,
        pub fences: BTreeMap<Name, (Fence, Name)>,
        pub leads: BTreeMap<Name, Lead>,
        pub answers: VecDeque<AnsweredWrite>,
        /// The number and words of the operator's document in force, where one was adopted (§5.2).
        pub adopted: Option<Adopted>,
        pub servers: BTreeMap<Name, ServerRecord>,
        /// Nodes that may hold a lease, and the entry that enrolled the process of each (§5.6).
        pub nodes: BTreeMap<Name, ChangeNo>,
        /// Which document of the operator took which number (§5.2).
        pub documents: DocumentRegister
    }

    #[derive(Eq, Default)]
    pub struct Adopted { pub number: u64, pub source: String }
}

/// An answer that rests on what the store holds already.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedAnswer {
    /// The entry that must be committed before the answer may be given.
    pub entry: ChangeNo,
    pub answer: Answer,
}

impl Command {
    pub fn sum(&self) -> u64 {
        hash64(&[&borsh::to_vec(self).unwrap_or_default()])
    }
    /// Does it carry a whole blueprint?
    pub fn is_document(&self) -> bool {
        matches!(self, Command::PushConfiguration { .. } | Command::AdoptDocument { .. })
    }
}

impl Store {
    pub fn version(&self) -> Version {
        self.history.back().map_or(0, |k| k.version)
    }
    pub fn blueprint(&self) -> Option<&HistoryEntry> {
        self.history.back()
    }
    pub fn kept(&self, version: Version) -> Option<&HistoryEntry> {
        self.history.iter().find(|k| k.version == version)
    }
    pub fn past(&self, key: &str) -> Option<&AnsweredWrite> {
        self.answers.iter().rev().find(|p| p.key == key)
    }
    /// The fence last taken for a duty.
    pub fn fence(&self, duty: &str) -> Fence {
        self.fences.get(duty).map_or(0, |f| f.0)
    }
    pub fn leadership(&self, group: &Name) -> PrimaryState {
        PrimaryState { fence: self.fence(&duty_of(group)), primary: self.leads.get(group).cloned() }
    }

    /// Takes the entry if it is the next; `None` otherwise. The answer depends on nothing but the entries.
    pub fn apply(&mut self, e: &Entry) -> Option<Answer> {
        if e.number != self.n + 1 {
            return None;
        }
        self.n = e.number;
        let sum = e.command.sum();
        let answer = self.past(&e.key).map(|p| (p.sum, p.answer.clone())).map_or_else(
            || self.take(&e.command),
            |(s, a)| if s == sum { a } else { Answer::Rejected(Code::PushConflict.bare()) },
        );
        if self.past(&e.key).is_none() {
            self.answers.push_back(AnsweredWrite { key: e.key.clone(), n: e.number, sum, answer: answer.clone() });
            if self.answers.len() > ANSWERS {
                self.answers.pop_front();
            }
        }
        Some(answer)
    }

    fn keep(&mut self, k: HistoryEntry) {
        self.history.push_back(k);
        let bytes = |h: &VecDeque<HistoryEntry>| h.iter().map(|k| k.text.len()).sum::<usize>();
        while self.history.len() > HISTORY || (self.history.len() > 2 && bytes(&self.history) > HISTORY_BYTES)
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
                let entry = outcome.entry().unwrap_or(self.n);
                let answer = outcome.answer(self.version());
                return (!outcome.takes_number()).then_some(RecordedAnswer { entry, answer });
            }
            _ => false,
        };
        alters_nothing.then_some(RecordedAnswer { entry: self.n, answer: Answer::Done })
    }

    fn take(&mut self, cmd: &Command) -> Answer {
        match cmd {
            Command::PushConfiguration { base, text, by } => {
                let at = self.version();
                if *base != at {
                    let why = format!("it builds on {base}, in force is {at}");
                    return Answer::Rejected(Code::BlueprintStale.because(why));
                }
                self.keep(HistoryEntry { version: at + 1, text: text.clone(), by: by.clone() });
                Answer::Version(at + 1)
            }
            Command::AdoptDocument { number, text, source, by } => self.adopt(*number, text, source, by),
            Command::RegisterServer { at } => {
                if self.servers.get(&at.server).is_none_or(|s| s.seq < at.seq) {
                    stand(&mut self.servers, at);
                }
                Answer::Done
            }
            Command::DeregisterServer { server } => {
                self.servers.remove(server);
                Answer::Done
            }
            Command::EnrollNode { node, .. } => {
                self.nodes.insert(node.clone(), self.n);
                Answer::Enrolled(self.n)
            }
            Command::DismissNode { node, enrolled } => {
                if self.nodes.get(node) == Some(enrolled) {
                    self.nodes.remove(node);
                }
                Answer::Done
            }
            Command::AcquireFence { duty, by } => self.next_fence(duty, by),
            Command::AcquireFenceIfUnchanged { group, by, expected } if self.leadership(group) == *expected => {
                self.next_fence(&duty_of(group), by)
            }
            Command::AcquireFenceIfUnchanged { .. } => {
                Answer::Rejected(Code::FenceLow.because("the leadership has changed since it was planned"))
            }
            Command::AssignPrimary { group, primary } => self.set_lead(group, primary),
            Command::DropPreviousVoters { group, fence } => match self.leads.get_mut(group) {
                Some(l) if l.fence == *fence && l.server.is_some() => {
                    l.before.clear();
                    Answer::Lead(l.clone())
                }
                _ => Answer::Rejected(Code::FenceLow.because("no lead is named under it")),
            },
        }
    }

    /// Takes the document's number if it is free; the document comes into force if the number is the highest.
    fn adopt(&mut self, number: u64, text: &str, source: &str, by: &Name) -> Answer {
        let digest = document_digest(source);
        let outcome = self.documents.classify(number, digest);
        if outcome.takes_number() {
            self.documents.record(number, TakenNumber { digest, entry: self.n });
        }
        if outcome == DocumentOutcome::Newest {
            self.adopted = Some(Adopted { number, source: source.to_owned() });
            let version = self.version() + 1;
            self.keep(HistoryEntry { version, text: text.to_owned(), by: by.clone() });
        }
        outcome.answer(self.version())
    }

    fn next_fence(&mut self, duty: &Name, by: &Name) -> Answer {
        let fence = self.fence(duty) + 1;
        self.fences.insert(duty.clone(), (fence, by.clone()));
        Answer::Fence(fence)
    }

    /// A lead is set only under the newest fence of its duty, and a closed one is never opened again. Whoever writes,
    /// lists that hold are only added to here: an entry that brings none leaves them as they are (§5.5).
    fn set_lead(&mut self, group: &Name, lead: &Lead) -> Answer {
        let out = self.fence(&duty_of(group));
        if lead.fence < out {
            return Answer::Rejected(Code::FenceLow.because(format!("{} is under {out}", lead.fence)));
        }
        let now = self.leads.get(group);
        if now.is_some_and(|l| l.fence > lead.fence) {
            return Answer::Rejected(Code::FenceLow.bare());
        }
        let reopened =
            now.is_some_and(|l| l.fence == lead.fence && l.server.is_some() && l.server != lead.server);
        if reopened {
            return Answer::Rejected(Code::FenceLow.because("this fence has named another server"));
        }
        let mut lists = now.map_or_else(Vec::new, Lead::lists);
        if !lead.counts.is_empty() {
            lists.retain(|l| *l != lead.counts && !quincehatch_runtime::rt::broken("old-list"));
            lists.push(lead.counts.clone());
        }
        let counts = lists.pop().unwrap_or_default();
        let lead = Lead { counts, before: lists, ..lead.clone() };
        self.leads.insert(group.clone(), lead.clone());
        Answer::Lead(lead)
    }
}

/// An address belongs to whoever was heard of there last (§3.5).
pub(crate) fn stand(servers: &mut BTreeMap<Name, ServerRecord>, at: &ServerRecord) {
    servers.retain(|n, s| *n == at.server || s.addr != at.addr);
    servers.insert(at.server.clone(), at.clone());
}

/// The duty that looks after a group's lead.
pub fn duty_of(group: &str) -> Name {
    Name::from(format!("lead/{group}"))
}
