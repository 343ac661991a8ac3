//! The proposer's part in deciding a view.
use crate::messages::{AcceptedView, PeerMessage};
use crate::view::{Ballot, View};
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::seam::injected_bug;
use std::collections::{BTreeMap, BTreeSet};

/// One proposal under one ballot.
#[derive(Clone, Debug)]
struct Attempt {
    ballot: Ballot,
    base: View,
    /// What the proposer wants, unless an acceptor has accepted another view already.
    wanted: View,
    began: Millis,
    /// Who has promised the ballot, and the view that each had accepted before.
    promises: BTreeMap<Name, Option<AcceptedView>>,
    /// The view sent in phase 2; `None` during phase 1.
    proposed: Option<View>,
    accepted_by: BTreeSet<Name>,
}

impl Attempt {
    /// A view that a majority may have accepted under a lower ballot is proposed again; only if there is none is the
    /// proposer free to propose its own.
    fn choose(&self) -> View {
        let accepted = self.promises.values().flatten().max_by_key(|accepted| accepted.ballot);
        match accepted {
            Some(accepted) => accepted.view.clone(),
            None => self.wanted.clone(),
        }
    }

    /// The view is decided: a majority of the old voters and of the new ones has accepted it.
    fn decided(&self) -> Option<View> {
        let view = self.proposed.as_ref()?;
        let is_decided = is_base_majority(&self.base, self.accepted_by.iter())
            && view.has_majority(self.accepted_by.iter());
        is_decided.then(|| view.clone())
    }
}

/// What a proposer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposerAction {
    /// Send the message to the named voter.
    Send(Name, PeerMessage),
    /// The view is decided; `base` is the one before it.
    Decided {
        /// The decided view.
        view: View,
        /// The view before it.
        base: View,
    },
}

/// Proposes views, one at a time.
#[derive(Clone, Debug, Default)]
pub struct Proposer {
    id: u64,
    highest_ballot: u64,
    attempt: Option<Attempt>,
}

impl Proposer {
    /// No two proposers may share an id: it is what makes their ballots differ.
    pub fn new(id: u64) -> Self {
        Self { id, highest_ballot: 0, attempt: None }
    }

    /// Makes later ballots exceed `number`, which is in use already.
    pub fn observe_ballot(&mut self, number: u64) {
        self.highest_ballot = self.highest_ballot.max(number);
    }

    /// Is a proposal under way that is younger than `max_age`?
    pub fn is_busy(&self, now: Millis, max_age: Millis) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| now < attempt.began + max_age)
    }

    /// Begins to change the register from the decided view `base` to `wanted`, whose version is the next.
    pub fn begin(&mut self, now: Millis, base: &View, wanted: View) -> Vec<ProposerAction> {
        self.highest_ballot += 1;
        let ballot = Ballot { number: self.highest_ballot, proposer: self.id };
        let voters = voters_of(base, &wanted);
        self.attempt = Some(Attempt {
            ballot,
            base: base.clone(),
            wanted,
            began: now,
            promises: BTreeMap::new(),
            proposed: None,
            accepted_by: BTreeSet::new(),
        });
        send_to_all(voters, PeerMessage::Prepare { ballot, base: base.clone() })
    }

    /// Takes an acceptor's answer.
    pub fn step(&mut self, from: &Name, message: &PeerMessage) -> Vec<ProposerAction> {
        match message {
            PeerMessage::Promise { ballot, ok, highest_promised, accepted } => {
                self.observe_ballot(highest_promised.number);
                self.handle_promise(from, *ballot, *ok, accepted.clone())
            }
            PeerMessage::Accepted { ballot, ok, highest_promised } => {
                self.observe_ballot(highest_promised.number);
                self.handle_accepted(from, *ballot, *ok)
            }
            _ => Vec::new(),
        }
    }

    fn handle_promise(
        &mut self,
        from: &Name,
        ballot: Ballot,
        ok: bool,
        accepted: Option<AcceptedView>,
    ) -> Vec<ProposerAction> {
        let is_awaited = |attempt: &&mut Attempt| attempt.ballot == ballot && attempt.proposed.is_none();
        let Some(attempt) = self.attempt.as_mut().filter(is_awaited) else { return Vec::new() };
        if !ok {
            self.attempt = None;
            return Vec::new();
        }
        attempt.promises.insert(from.clone(), accepted);
        if !is_base_majority(&attempt.base, attempt.promises.keys()) {
            return Vec::new();
        }
        let view = attempt.choose();
        attempt.proposed = Some(view.clone());
        let voters = voters_of(&attempt.base, &view);
        send_to_all(voters, PeerMessage::Accept { ballot, base: attempt.base.clone(), view })
    }

    fn handle_accepted(&mut self, from: &Name, ballot: Ballot, ok: bool) -> Vec<ProposerAction> {
        let is_awaited = |attempt: &&mut Attempt| attempt.ballot == ballot;
        let Some(attempt) = self.attempt.as_mut().filter(is_awaited) else { return Vec::new() };
        if !ok {
            self.attempt = None;
            return Vec::new();
        }
        attempt.accepted_by.insert(from.clone());
        let Some(view) = attempt.decided() else { return Vec::new() };
        let base = attempt.base.clone();
        self.attempt = None;
        vec![ProposerAction::Decided { view, base }]
    }
}

/// A majority of the old voters must take part in every change of the register: any two majorities share a voter, so
/// two different views are never decided for one version.
fn is_base_majority<'names>(base: &View, names: impl Iterator<Item = &'names Name>) -> bool {
    base.has_majority(names) || injected_bug("no-old-majority")
}

/// Who votes on a change: the voters of both views, in the order of their names.
fn voters_of(base: &View, next: &View) -> BTreeSet<Name> {
    base.voters.iter().chain(&next.voters).map(|voter| voter.name.clone()).collect()
}

fn send_to_all(voters: BTreeSet<Name>, message: PeerMessage) -> Vec<ProposerAction> {
    voters.into_iter().map(|name| ProposerAction::Send(name, message.clone())).collect()
}
