//! The proposer's role in deciding a view.
use crate::messages::{AcceptedView, PeerMessage};
use crate::view::{Ballot, View};
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::seam::injected_bug;
use std::collections::{BTreeMap, BTreeSet};

/// A proposal in progress, under one ballot.
#[derive(Clone, Debug)]
struct Attempt {
    ballot: Ballot,
    base: View,
    /// The view to propose unless an acceptor has accepted another one already.
    wanted: View,
    started_at: Millis,
    /// The voters that have promised the ballot, and the view that each of them had accepted before.
    promises: BTreeMap<Name, Option<AcceptedView>>,
    /// The view sent in phase 2; `None` during phase 1.
    proposed: Option<View>,
    accepted_by: BTreeSet<Name>,
}

impl Attempt {
    /// Returns the view to propose in phase 2: the view accepted under the highest ballot, because a majority may have
    /// accepted it, or the wanted view if no acceptor has accepted any.
    fn choose_view(&self) -> View {
        let accepted = self.promises.values().flatten().max_by_key(|accepted| accepted.ballot);
        match accepted {
            Some(accepted) => accepted.view.clone(),
            None => self.wanted.clone(),
        }
    }

    /// Returns the proposed view if it is decided: a majority of the old voters and a majority of the new voters have
    /// accepted it.
    fn decided(&self) -> Option<View> {
        let view = self.proposed.as_ref()?;
        let is_decided = is_base_majority(&self.base, self.accepted_by.iter())
            && view.has_majority(self.accepted_by.iter());
        is_decided.then(|| view.clone())
    }
}

/// An action that the caller of a proposer must carry out.
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
    /// Creates a proposer. No two proposers may have the same id, as it makes their ballots differ.
    pub fn new(id: u64) -> Self {
        Self { id, highest_ballot: 0, attempt: None }
    }

    /// Makes later ballots exceed `number`, which has been used already.
    pub fn observe_ballot(&mut self, number: u64) {
        self.highest_ballot = self.highest_ballot.max(number);
    }

    /// Returns whether a proposal that is younger than `max_age` is in progress.
    pub fn is_busy(&self, now: Millis, max_age: Millis) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| now < attempt.started_at + max_age)
    }

    /// Starts a proposal to change the register from the decided view `base` to `wanted`, which has the next version.
    pub fn start_proposal(&mut self, now: Millis, base: &View, wanted: View) -> Vec<ProposerAction> {
        self.highest_ballot += 1;
        let ballot = Ballot { number: self.highest_ballot, proposer: self.id };
        let voters = voters_of_both(base, &wanted);
        self.attempt = Some(Attempt {
            ballot,
            base: base.clone(),
            wanted,
            started_at: now,
            promises: BTreeMap::new(),
            proposed: None,
            accepted_by: BTreeSet::new(),
        });
        send_to_all(voters, PeerMessage::Prepare { ballot, base: base.clone() })
    }

    /// Handles an acceptor's answer.
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
        let is_current = |attempt: &&mut Attempt| attempt.ballot == ballot && attempt.proposed.is_none();
        let Some(attempt) = self.attempt.as_mut().filter(is_current) else { return Vec::new() };
        if !ok {
            self.attempt = None;
            return Vec::new();
        }
        attempt.promises.insert(from.clone(), accepted);
        if !is_base_majority(&attempt.base, attempt.promises.keys()) {
            return Vec::new();
        }
        let view = attempt.choose_view();
        attempt.proposed = Some(view.clone());
        let voters = voters_of_both(&attempt.base, &view);
        send_to_all(voters, PeerMessage::Accept { ballot, base: attempt.base.clone(), view })
    }

    fn handle_accepted(&mut self, from: &Name, ballot: Ballot, ok: bool) -> Vec<ProposerAction> {
        let is_current = |attempt: &&mut Attempt| attempt.ballot == ballot;
        let Some(attempt) = self.attempt.as_mut().filter(is_current) else { return Vec::new() };
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

/// Returns whether the named keepers are a majority of the old voters. Every change of the register needs one: any two
/// majorities share a voter, so two different views are never decided for one version.
fn is_base_majority<'names>(base: &View, names: impl Iterator<Item = &'names Name>) -> bool {
    base.has_majority(names) || injected_bug("no-old-majority")
}

/// Returns the keepers that vote on a change: the voters of both views, in the order of their names.
fn voters_of_both(base: &View, next: &View) -> BTreeSet<Name> {
    base.voters.iter().chain(&next.voters).map(|voter| voter.name.clone()).collect()
}

fn send_to_all(voters: BTreeSet<Name>, message: PeerMessage) -> Vec<ProposerAction> {
    voters.into_iter().map(|name| ProposerAction::Send(name, message.clone())).collect()
}
