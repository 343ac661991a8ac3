//! The view register: one value, compare-and-set, agreed by ballots of the voting machines (§5.3).
//!
//! Every version is one instance of single-decree Paxos. Version `e + 1` is decided by the machines of the decided view
//! `e`, its *base*: a majority of them must promise and accept, and a majority of the new view's machines must accept
//! as well, so that the new set is alive. Each message names its base. An acceptor learns a newer base from it and
//! declines an older one, so an instance takes no votes of a machine that knows its outcome, and what an acceptor has
//! accepted is never overwritten by a proposal for an earlier version.
use crate::messages::{Ballot, PeerMessage, View};
use quincehatch_core::{Millis, Name, Version, messages};
use std::collections::{BTreeMap, BTreeSet};

messages! {
    /// What an acceptor must never forget; synced before it answers.
    #[derive(Eq, Default)]
    pub struct Acceptor { pub promised: Ballot, pub accepted: Option<(Ballot, View)> }
}

impl Acceptor {
    /// The newest view this acceptor has taken part in; leases of older ones are not renewed.
    pub fn accepted_version(&self) -> Version {
        self.accepted.as_ref().map_or(0, |(_, view)| view.version)
    }

    /// Answers a proposer; the flag says that the state changed and must be synced first. `decided` is the version of
    /// the newest decided view known here, at least as new as the message's base.
    pub fn step(&mut self, decided: Version, message: &PeerMessage) -> Option<(PeerMessage, bool)> {
        match message {
            PeerMessage::Prepare { ballot, base } => {
                // Asked twice, as under its own name and that of the machine whose place it takes, it says the same.
                let ok = self.takes(decided, *ballot, base);
                let changed = ok && *ballot > self.promised;
                if ok {
                    self.promised = *ballot;
                }
                let next = base.version + 1;
                let accepted = self.accepted.clone().filter(|(_, view)| ok && view.version == next);
                Some((
                    PeerMessage::Promise { ballot: *ballot, ok, highest_promised: self.promised, accepted },
                    changed,
                ))
            }
            PeerMessage::Accept { ballot, base, view } => {
                let ok = self.takes(decided, *ballot, base);
                if ok {
                    self.promised = *ballot;
                    self.accepted = Some((*ballot, view.clone()));
                }
                Some((PeerMessage::Accepted { ballot: *ballot, ok, highest_promised: self.promised }, ok))
            }
            _ => None,
        }
    }

    fn takes(&self, decided: Version, ballot: Ballot, base: &View) -> bool {
        let outdated = base.version < decided;
        !outdated && ballot >= self.promised
    }
}

/// One try at changing the register.
#[derive(Clone, Debug)]
struct Attempt {
    ballot: Ballot,
    base: View,
    wanted: View,
    began: Millis,
    promises: BTreeMap<Name, Option<(Ballot, View)>>,
    proposed: Option<View>,
    accepted_by: BTreeSet<Name>,
}

impl Attempt {
    /// What a majority may have agreed on already is finished first; only an unmoved register is changed.
    fn choose(&self) -> View {
        let accepted = self.promises.values().flatten().max_by_key(|(ballot, _)| *ballot);
        accepted.map_or_else(|| self.wanted.clone(), |(_, view)| view.clone())
    }
}

/// What a proposer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposerAction {
    Send(Name, PeerMessage),
    /// The view is decided; `base` is the one before it.
    Decided {
        view: View,
        base: View,
    },
}

#[derive(Clone, Debug, Default)]
pub struct Proposer {
    id: u64,
    highest_ballot: u64,
    attempt: Option<Attempt>,
}

impl Proposer {
    /// No two proposers may share a rank: it makes their ballots differ.
    pub fn new(rank: u64) -> Self {
        Self { id: rank, highest_ballot: 0, attempt: None }
    }

    /// Ballots up to `n` are used already.
    pub fn observe_ballot(&mut self, n: u64) {
        self.highest_ballot = self.highest_ballot.max(n);
    }

    /// Busy with an attempt younger than `most`.
    pub fn is_busy(&self, now: Millis, most: Millis) -> bool {
        self.attempt.as_ref().is_some_and(|a| now < a.began + most)
    }

    /// Begins to change the register from the decided view `base` to `wanted`, whose version is the next.
    pub fn begin(&mut self, now: Millis, base: &View, wanted: View) -> Vec<ProposerAction> {
        self.highest_ballot += 1;
        let ballot = Ballot { number: self.highest_ballot, by: self.id };
        let to = acceptors(base, &wanted);
        self.attempt = Some(Attempt {
            ballot,
            base: base.clone(),
            wanted,
            began: now,
            promises: BTreeMap::new(),
            proposed: None,
            accepted_by: BTreeSet::new(),
        });
        let prepare = PeerMessage::Prepare { ballot, base: base.clone() };
        to.into_iter().map(|name| ProposerAction::Send(name, prepare.clone())).collect()
    }

    /// Takes an acceptor's answer.
    pub fn step(&mut self, from: &Name, message: &PeerMessage) -> Vec<ProposerAction> {
        match message {
            PeerMessage::Promise { ballot, ok, highest_promised: seen, accepted } => {
                self.observe_ballot(seen.number);
                self.promise(from, *ballot, *ok, accepted.clone())
            }
            PeerMessage::Accepted { ballot, ok, highest_promised: seen } => {
                self.observe_ballot(seen.number);
                self.accepted(from, *ballot, *ok)
            }
            _ => Vec::new(),
        }
    }

    fn promise(
        &mut self,
        from: &Name,
        ballot: Ballot,
        ok: bool,
        accepted: Option<(Ballot, View)>,
    ) -> Vec<ProposerAction> {
        let Some(a) = self.attempt.as_mut().filter(|a| a.ballot == ballot && a.proposed.is_none()) else {
            return Vec::new();
        };
        if !ok {
            self.attempt = None;
            return Vec::new();
        }
        a.promises.insert(from.clone(), accepted);
        if !old_majority(&a.base, a.promises.keys()) {
            return Vec::new();
        }
        let view = a.choose();
        a.proposed = Some(view.clone());
        let to = acceptors(&a.base, &view);
        let accept = PeerMessage::Accept { ballot, base: a.base.clone(), view };
        to.into_iter().map(|name| ProposerAction::Send(name, accept.clone())).collect()
    }

    fn accepted(&mut self, from: &Name, ballot: Ballot, ok: bool) -> Vec<ProposerAction> {
        let Some(a) = self.attempt.as_mut().filter(|a| a.ballot == ballot) else { return Vec::new() };
        if !ok {
            self.attempt = None;
            return Vec::new();
        }
        a.accepted_by.insert(from.clone());
        let Some(view) = a.proposed.clone() else { return Vec::new() };
        if !old_majority(&a.base, a.accepted_by.iter()) || !view.has_majority(a.accepted_by.iter()) {
            return Vec::new();
        }
        let base = a.base.clone();
        self.attempt = None;
        vec![ProposerAction::Decided { view, base }]
    }
}

/// A majority of the old set must take part in every change of the register.
fn old_majority<'a>(base: &View, who: impl Iterator<Item = &'a Name>) -> bool {
    base.has_majority(who) || quincehatch_runtime::seam::injected_bug("no-old-majority")
}

/// Who votes on a change: the machines of both views.
fn acceptors(base: &View, next: &View) -> Vec<Name> {
    let names: BTreeSet<Name> = base.voters.iter().chain(&next.voters).map(|m| m.name.clone()).collect();
    names.into_iter().collect()
}
