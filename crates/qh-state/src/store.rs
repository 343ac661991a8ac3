//! What the chain's entries add up to; keepers and nodes apply the same entries to the same store (§5.2).
use crate::msgs::{Answer, Cmd, Entry, Leadership};
use qh_core::{ChangeNo, Code, Edition, Fence, Lead, Name, Standing, hash64, messages};
use std::collections::{BTreeMap, VecDeque};

/// Blueprints kept for history and rollback.
pub const HISTORY: usize = 32;
/// Their size together: the whole store travels in one frame (§2.6).
const HISTORY_BYTES: usize = 1 << 20;
/// Answers kept so that a write sent twice is taken once.
pub const ANSWERS: usize = 1024;

messages! {
    #[derive(Eq)]
    pub struct Kept { pub edition: Edition, pub text: String, pub by: Name }

    #[derive(Eq)]
    pub struct Past { pub key: Name, pub n: ChangeNo, pub sum: u64, pub answer: Answer }

    #[derive(Eq, Default)]
    pub struct Store {
        pub n: ChangeNo,
        pub history: VecDeque<Kept>,
        pub fences: BTreeMap<Name, (Fence, Name)>,
        pub leads: BTreeMap<Name, Lead>,
        pub answers: VecDeque<Past>,
        /// The number and words of the operator's document in force, where one was adopted (§5.2).
        pub adopted: Option<Adopted>,
        pub servers: BTreeMap<Name, Standing>,
        /// Nodes that may hold a lease, and the entry that enrolled the process of each (§5.6).
        pub nodes: BTreeMap<Name, ChangeNo>
    }

    #[derive(Eq, Default)]
    pub struct Adopted { pub number: u64, pub source: String }
}

impl Cmd {
    pub fn sum(&self) -> u64 {
        hash64(&[&borsh::to_vec(self).unwrap_or_default()])
    }
}

impl Store {
    pub fn edition(&self) -> Edition {
        self.history.back().map_or(0, |k| k.edition)
    }
    pub fn blueprint(&self) -> Option<&Kept> {
        self.history.back()
    }
    pub fn kept(&self, edition: Edition) -> Option<&Kept> {
        self.history.iter().find(|k| k.edition == edition)
    }
    pub fn past(&self, key: &str) -> Option<&Past> {
        self.answers.iter().rev().find(|p| p.key == key)
    }
    /// The fence last taken for a duty.
    pub fn fence(&self, duty: &str) -> Fence {
        self.fences.get(duty).map_or(0, |f| f.0)
    }
    pub fn leadership(&self, group: &Name) -> Leadership {
        Leadership { fence: self.fence(&duty_of(group)), lead: self.leads.get(group).cloned() }
    }

    /// Takes the entry if it is the next; `None` otherwise. The answer depends on nothing but the entries.
    pub fn apply(&mut self, e: &Entry) -> Option<Answer> {
        if e.n != self.n + 1 {
            return None;
        }
        self.n = e.n;
        let sum = e.cmd.sum();
        let answer = self.past(&e.key).map(|p| (p.sum, p.answer.clone())).map_or_else(
            || self.take(&e.cmd),
            |(s, a)| if s == sum { a } else { Answer::Declined(Code::PushConflict.bare()) },
        );
        if self.past(&e.key).is_none() {
            self.answers.push_back(Past { key: e.key.clone(), n: e.n, sum, answer: answer.clone() });
            if self.answers.len() > ANSWERS {
                self.answers.pop_front();
            }
        }
        Some(answer)
    }

    fn keep(&mut self, k: Kept) {
        self.history.push_back(k);
        let bytes = |h: &VecDeque<Kept>| h.iter().map(|k| k.text.len()).sum::<usize>();
        while self.history.len() > HISTORY || (self.history.len() > 2 && bytes(&self.history) > HISTORY_BYTES)
        {
            self.history.pop_front();
        }
    }

    /// The answer to a command that would alter nothing, and so needs no entry.
    pub fn idle(&self, cmd: &Cmd) -> Option<Answer> {
        let same =
            |s: &Standing, at: &Standing| at.seq <= s.seq || Standing { seq: s.seq, ..at.clone() } == *s;
        match cmd {
            Cmd::Stand { at } => self.servers.get(&at.server).filter(|s| same(s, at)).map(|_| Answer::Done),
            Cmd::Depart { server } => (!self.servers.contains_key(server)).then_some(Answer::Done),
            Cmd::Adopt { number, .. } => {
                self.adopted.as_ref().filter(|a| *number <= a.number).map(|_| Answer::Edition(self.edition()))
            }
            _ => None,
        }
    }

    fn take(&mut self, cmd: &Cmd) -> Answer {
        match cmd {
            Cmd::Push { base, text, by } => {
                let at = self.edition();
                if *base != at {
                    let why = format!("it builds on {base}, in force is {at}");
                    return Answer::Declined(Code::BlueprintStale.because(why));
                }
                self.keep(Kept { edition: at + 1, text: text.clone(), by: by.clone() });
                Answer::Edition(at + 1)
            }
            Cmd::Adopt { number, text, source, by } => {
                let at = self.edition();
                if self.adopted.as_ref().is_some_and(|a| *number <= a.number) {
                    return Answer::Edition(at);
                }
                self.adopted = Some(Adopted { number: *number, source: source.clone() });
                self.keep(Kept { edition: at + 1, text: text.clone(), by: by.clone() });
                Answer::Edition(at + 1)
            }
            Cmd::Stand { at } => {
                if self.servers.get(&at.server).is_none_or(|s| s.seq < at.seq) {
                    stand(&mut self.servers, at);
                }
                Answer::Done
            }
            Cmd::Depart { server } => {
                self.servers.remove(server);
                Answer::Done
            }
            Cmd::Enroll { node, .. } => {
                self.nodes.insert(node.clone(), self.n);
                Answer::Enrolled(self.n)
            }
            Cmd::Dismiss { node, enrolled } => {
                if self.nodes.get(node) == Some(enrolled) {
                    self.nodes.remove(node);
                }
                Answer::Done
            }
            Cmd::TakeFence { duty, by } => self.next_fence(duty, by),
            Cmd::NextFence { group, by, over } if self.leadership(group) == *over => {
                self.next_fence(&duty_of(group), by)
            }
            Cmd::NextFence { .. } => {
                Answer::Declined(Code::FenceLow.because("the leadership has changed since it was planned"))
            }
            Cmd::SetLead { group, lead } => self.set_lead(group, lead),
            Cmd::Settle { group, fence } => match self.leads.get_mut(group) {
                Some(l) if l.fence == *fence && l.server.is_some() => {
                    l.before.clear();
                    Answer::Lead(l.clone())
                }
                _ => Answer::Declined(Code::FenceLow.because("no lead is named under it")),
            },
        }
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
            return Answer::Declined(Code::FenceLow.because(format!("{} is under {out}", lead.fence)));
        }
        let now = self.leads.get(group);
        if now.is_some_and(|l| l.fence > lead.fence) {
            return Answer::Declined(Code::FenceLow.bare());
        }
        let reopened =
            now.is_some_and(|l| l.fence == lead.fence && l.server.is_some() && l.server != lead.server);
        if reopened {
            return Answer::Declined(Code::FenceLow.because("this fence has named another server"));
        }
        let mut lists = now.map_or_else(Vec::new, Lead::lists);
        if !lead.counts.is_empty() {
            lists.retain(|l| *l != lead.counts && !qh_core::rt::broken("old-list"));
            lists.push(lead.counts.clone());
        }
        let counts = lists.pop().unwrap_or_default();
        let lead = Lead { counts, before: lists, ..lead.clone() };
        self.leads.insert(group.clone(), lead.clone());
        Answer::Lead(lead)
    }
}

/// An address belongs to whoever was heard of there last (§3.5).
pub(crate) fn stand(servers: &mut BTreeMap<Name, Standing>, at: &Standing) {
    servers.retain(|n, s| *n == at.server || s.addr != at.addr);
    servers.insert(at.server.clone(), at.clone());
}

/// The duty that looks after a group's lead.
pub fn duty_of(group: &str) -> Name {
    Name::from(format!("lead/{group}"))
}
