//! The view register: one value, compare-and-set, agreed by ballots of all disk machines (§5.3).
//! A single-decree register that is rewritten in place; there is no log in it.
use crate::messages::{Ballot, PeerMessage, View};
use qh_core::{Ms, Name, messages};
use std::collections::BTreeMap;

messages! {
    /// What an acceptor must never forget; synced before it answers.
    #[derive(Eq, Default)]
    pub struct Acceptor { pub promised: Ballot, pub accepted: Option<(Ballot, View)> }
}

impl Acceptor {
    /// The newest view this acceptor has taken part in; leases of older ones are not renewed.
    pub fn version(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |a| a.1.version)
    }
    /// Answers a proposer; the flag says that the state changed and must be synced first.
    pub fn step(&mut self, m: &PeerMessage) -> Option<(PeerMessage, bool)> {
        match m {
            PeerMessage::Prepare { ballot } => {
                // Asked twice, as under its own name and that of the machine whose place it takes, it says the same.
                let (ok, new) = (*ballot >= self.promised, *ballot > self.promised);
                if ok {
                    self.promised = *ballot;
                }
                let accepted = self.accepted.clone().filter(|_| ok);
                Some((PeerMessage::Promise { ballot: *ballot, ok, seen: self.promised, accepted }, new))
            }
            PeerMessage::Accept { ballot, view } => {
                let ok = *ballot >= self.promised;
                if ok {
                    self.promised = *ballot;
                    self.accepted = Some((*ballot, view.clone()));
                }
                Some((PeerMessage::Accepted { ballot: *ballot, ok, seen: self.promised }, ok))
            }
            _ => None,
        }
    }
}

/// One try at changing the register.
#[derive(Clone, Debug)]
struct Attempt {
    ballot: Ballot,
    base: View,
    want: View,
    began: Ms,
    promises: BTreeMap<Name, Option<(Ballot, View)>>,
    proposing: Option<View>,
    accepts: BTreeMap<Name, ()>,
}

/// What a proposer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposerAction {
    Send(Name, PeerMessage),
    Decided(View),
}

#[derive(Clone, Debug, Default)]
pub struct Proposer {
    rank: u64,
    top: u64,
    at: Option<Attempt>,
}

impl Proposer {
    pub fn new(rank: u64) -> Self {
        Self { rank, top: 0, at: None }
    }
    /// Ballots up to `n` are used already.
    pub fn seen(&mut self, n: u64) {
        self.top = self.top.max(n);
    }
    /// Busy with an attempt younger than `most`.
    pub fn busy(&self, now: Ms, most: Ms) -> bool {
        self.at.as_ref().is_some_and(|a| now < a.began + most)
    }
    /// Begins to change the register from `base` to `want` (whose version is the next).
    pub fn begin(&mut self, now: Ms, base: &View, want: View) -> Vec<ProposerAction> {
        self.top += 1;
        let ballot = Ballot { n: self.top, by: self.rank };
        let to = targets(base, &want);
        self.at = Some(Attempt {
            ballot,
            base: base.clone(),
            want,
            began: now,
            promises: BTreeMap::new(),
            proposing: None,
            accepts: BTreeMap::new(),
        });
        to.into_iter().map(|n| ProposerAction::Send(n, PeerMessage::Prepare { ballot })).collect()
    }

    pub fn step(&mut self, from: &Name, m: &PeerMessage) -> Vec<ProposerAction> {
        match m {
            PeerMessage::Promise { ballot, ok, seen, accepted } => {
                self.top = self.top.max(seen.n);
                self.promise(from, *ballot, *ok, accepted.clone())
            }
            PeerMessage::Accepted { ballot, ok, seen } => {
                self.top = self.top.max(seen.n);
                self.accepted(from, *ballot, *ok)
            }
            _ => Vec::new(),
        }
    }

    fn promise(
        &mut self,
        from: &Name,
        b: Ballot,
        ok: bool,
        acceptor: Option<(Ballot, View)>,
    ) -> Vec<ProposerAction> {
        let Some(a) = self.at.as_mut().filter(|a| a.ballot == b && a.proposing.is_none()) else {
            return Vec::new();
        };
        if !ok {
            self.at = None;
            return Vec::new();
        }
        a.promises.insert(from.clone(), acceptor);
        if !old_majority(&a.base, a.promises.keys()) {
            return Vec::new();
        }
        // What a majority may have agreed on already is finished first; only an unmoved register is changed.
        let found = a.promises.values().flatten().max_by_key(|(b, _)| *b).map(|(_, v)| v.clone());
        let (next, base) = match found {
            Some(v) if v.version > a.base.version => {
                // Its machines must have promised too, or another set could have moved on unseen.
                if !v.majority(a.promises.keys()) {
                    return Vec::new();
                }
                let b = a.base.clone();
                (v, b)
            }
            _ => (a.want.clone(), a.base.clone()),
        };
        a.proposing = Some(next.clone());
        let ballot = a.ballot;
        targets(&base, &next)
            .into_iter()
            .map(|n| ProposerAction::Send(n, PeerMessage::Accept { ballot, view: next.clone() }))
            .collect()
    }

    fn accepted(&mut self, from: &Name, b: Ballot, ok: bool) -> Vec<ProposerAction> {
        let Some(a) = self.at.as_mut().filter(|a| a.ballot == b) else { return Vec::new() };
        if !ok {
            self.at = None;
            return Vec::new();
        }
        a.accepts.insert(from.clone(), ());
        let done = a
            .proposing
            .clone()
            .filter(|v| old_majority(&a.base, a.accepts.keys()) && v.majority(a.accepts.keys()));
        done.map_or_else(Vec::new, |v| {
            self.at = None;
            vec![ProposerAction::Decided(v)]
        })
    }
}

/// A majority of the old set must take part in every change of the register.
fn old_majority<'a>(base: &View, who: impl Iterator<Item = &'a Name>) -> bool {
    base.majority(who) || qh_core::rt::broken("no-old-majority")
}

fn targets(a: &View, b: &View) -> Vec<Name> {
    let mut t: Vec<Name> = a.machines.iter().chain(&b.machines).map(|m| m.name.clone()).collect();
    t.sort();
    t.dedup();
    t
}
