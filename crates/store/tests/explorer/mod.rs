//! A model checker for the view register.
//!
//! Several attempts to change the view run concurrently, from base views that may be outdated. Every message may arrive
//! at any time after it was sent, or never; a partition, a restart, a wiped disk and a lost machine have the same
//! effect on the other nodes. All reachable states are visited, with the real acceptor and proposer.
mod attempt;
mod subsets;

use attempt::Attempt;
use quincehatch_core::{Name, hash64};
use quincehatch_store::register::{Acceptor, Proposer, ProposerAction};
use quincehatch_store::{PeerMessage, View, Voter};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use subsets::subsets;

#[derive(Clone, Default)]
struct Node {
    decided: View,
    acceptor: Acceptor,
}

/// The change that an attempt makes to its base view.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// Removes the member at this index from the chain.
    Remove(usize),
    /// Replaces the voter at this index by a keeper outside the view.
    Replace(usize),
}

#[derive(Clone)]
pub struct State {
    nodes: BTreeMap<Name, Node>,
    changes: Vec<Change>,
    attempts: Vec<Option<Attempt>>,
    /// The decided views, each accepted by a majority under one ballot, in the order of their versions.
    decided: Vec<View>,
}

pub struct Exploration {
    pub states: usize,
    /// Length of the longest sequence of decided views.
    pub longest_history: usize,
}

fn voter(name: &str) -> Voter {
    Voter { name: name.into(), addr: name.into() }
}

impl Node {
    /// Whether a copy of the acceptor accepts the message. A message that was rejected once is never accepted later.
    fn would_accept(&self, base: u64, message: &PeerMessage) -> bool {
        let answer = self.acceptor.clone().step(self.decided.version.max(base), message);
        let message = answer.map(|answer| answer.message);
        matches!(
            message,
            Some(PeerMessage::Promise { ok: true, .. } | PeerMessage::Accepted { ok: true, .. })
        )
    }
}

impl State {
    pub fn new(voters: &[&str], outsiders: &[&str], changes: &[Change]) -> State {
        let members = voters.iter().map(|name| Name::from(*name)).collect();
        let first = View { version: 1, members, voters: voters.iter().map(|name| voter(name)).collect() };
        let node = |name: &&str| {
            let known = if voters.contains(name) { first.clone() } else { View::default() };
            (Name::from(*name), Node { decided: known, acceptor: Acceptor::default() })
        };
        let nodes = voters.iter().chain(outsiders).map(node).collect();
        State { nodes, changes: changes.to_vec(), attempts: vec![None; changes.len()], decided: vec![first] }
    }

    /// Returns the view after the change; a new member becomes the tail. Returns `None` if the change is not possible.
    fn changed(&self, base: &View, change: Change) -> Option<View> {
        let mut view = View { version: base.version + 1, ..base.clone() };
        match change {
            Change::Remove(member) => {
                let removed = base.members.get(member).filter(|_| base.members.len() > 1)?;
                view.members.retain(|name| name != removed);
            }
            Change::Replace(place) => {
                let lost = base.voters.get(place)?;
                let newcomer = self.nodes.keys().find(|name| !base.is_voter(name))?;
                view.members.retain(|name| *name != lost.name);
                view.members.push(newcomer.clone());
                view.voters[place] = voter(newcomer);
            }
        }
        Some(view)
    }

    fn start_proposal(&mut self, number: usize, base: &View, proposed: &View, quorum: &[Name]) {
        let mut proposer = Proposer::new(number as u64);
        proposer.observe_ballot(number as u64);
        let mut prepares = BTreeMap::new();
        for action in proposer.start_proposal(0, base, proposed.clone()) {
            if let ProposerAction::Send(to, message) = action {
                prepares.insert(to, message);
            }
        }
        prepares.retain(|name, _| quorum.contains(name));
        self.attempts[number] = Some(Attempt {
            proposer,
            base: base.clone(),
            proposed: proposed.clone(),
            prepares,
            promises: BTreeMap::new(),
            accepts: BTreeMap::new(),
            accepted_by: BTreeSet::new(),
        });
    }

    /// Delivers a message to its acceptor, which learns the base view from it as a keeper does, and delivers the answer
    /// to the proposer.
    fn deliver(&mut self, number: usize, to: &Name, accepting: bool) {
        let attempt = self.attempts[number].as_mut().unwrap();
        let pending = if accepting { &mut attempt.accepts } else { &mut attempt.prepares };
        let message = pending.remove(to).unwrap();
        let node = self.nodes.get_mut(to).unwrap();
        if attempt.base.version > node.decided.version {
            node.decided = attempt.base.clone();
        }
        let answer = node.acceptor.step(node.decided.version, &message).unwrap().message;
        if let (PeerMessage::Accepted { ok: true, .. }, PeerMessage::Accept { view, .. }) =
            (&answer, &message)
        {
            attempt.accepted_by.insert(to.clone());
            let is_decided = attempt.base.has_majority(attempt.accepted_by.iter())
                && view.has_majority(attempt.accepted_by.iter());
            if is_decided && !self.decided.contains(view) {
                self.decided.push(view.clone());
            }
        }
        if !accepting {
            attempt.promises.insert(to.clone(), answer.clone());
        }
        for action in attempt.proposer.step(to, &answer) {
            if let ProposerAction::Send(to, message) = action {
                attempt.accepts.insert(to, message);
            }
        }
    }

    /// Drops messages that need not be delivered. An acceptor that rejects a message now rejects it at any later time,
    /// and an attempt that has a majority of promises, or can no longer get one, needs no further promises.
    fn drop_rejected(&mut self) {
        let nodes = &self.nodes;
        for attempt in self.attempts.iter_mut().flatten() {
            let base = attempt.base.version;
            let is_accepted = |to: &Name, message: &PeerMessage| nodes[to].would_accept(base, message);
            let count_before = attempt.prepares.len();
            attempt.prepares.retain(|to, message| is_accepted(to, message));
            if attempt.prepares.len() < count_before {
                attempt.prepares.clear();
                attempt.promises.clear();
            }
            if !attempt.accepts.is_empty() {
                attempt.promises.clear();
            }
            attempt.accepts.retain(|to, message| is_accepted(to, message));
            if attempt.prepares.is_empty() && attempt.accepts.is_empty() {
                *attempt = Attempt::finished();
            }
        }
    }

    fn successors(&self) -> Vec<State> {
        let mut found = Vec::new();
        for (number, attempt) in self.attempts.iter().enumerate() {
            let Some(attempt) = attempt else {
                found.extend(self.start_attempt(number));
                continue;
            };
            let prepares = attempt.prepares.keys().map(|to| (to, false));
            let accepts = attempt.accepts.keys().map(|to| (to, true));
            for (to, accepting) in prepares.chain(accepts) {
                let mut next = self.clone();
                next.deliver(number, to, accepting);
                next.drop_rejected();
                found.push(next);
            }
        }
        found
    }

    /// Returns the states after the start of an attempt. It may start from any decided view, because a proposer may not
    /// know the newer ones.
    fn start_attempt(&self, number: usize) -> Vec<State> {
        let mut found = Vec::new();
        for base in &self.decided {
            let names: Vec<Name> = base.voters.iter().map(|voter| voter.name.clone()).collect();
            let Some(proposed) = self.changed(base, self.changes[number]) else { continue };
            for quorum in subsets(&names, names.len() / 2 + 1) {
                let mut next = self.clone();
                next.start_proposal(number, base, &proposed, &quorum);
                found.push(next);
            }
        }
        found
    }

    fn check(&self) {
        for (i, view) in self.decided.iter().enumerate() {
            assert_eq!(view.version, i as u64 + 1, "two views of one version: {:#?}", self.decided);
        }
        // Once a view has a successor, no majority renews the lease of the view's tail.
        let superseded = &self.decided[..self.decided.len() - 1];
        for view in superseded {
            let renews = |name: &&Name| {
                let node = &self.nodes[*name];
                node.acceptor.accepted_version() <= view.version && node.decided.version <= view.version
            };
            assert!(!view.has_majority(self.nodes.keys().filter(renews)), "{view:?} may still be served");
        }
    }

    fn key(&self) -> u64 {
        let mut bytes = Vec::new();
        for node in self.nodes.values() {
            let node_state = (&node.decided, &node.acceptor);
            bytes.extend(borsh::to_vec(&node_state).unwrap());
        }
        for attempt in self.attempts.iter().flatten() {
            let sent =
                (&attempt.base, &attempt.proposed, &attempt.prepares, &attempt.promises, &attempt.accepts);
            bytes.extend(borsh::to_vec(&(sent, &attempt.accepted_by)).unwrap());
        }
        let started: Vec<bool> = self.attempts.iter().map(Option::is_some).collect();
        bytes.extend(borsh::to_vec(&(started, &self.decided)).unwrap());
        hash64(&[&bytes])
    }
}

/// Visits all states that are reachable from `initial`, and checks each of them.
pub fn explore(initial: State) -> Exploration {
    let mut seen = HashSet::from([initial.key()]);
    let mut unexplored = vec![initial];
    let mut longest_history = 1;
    while let Some(state) = unexplored.pop() {
        state.check();
        longest_history = longest_history.max(state.decided.len());
        for next in state.successors() {
            if seen.insert(next.key()) {
                unexplored.push(next);
            }
        }
    }
    Exploration { states: seen.len(), longest_history }
}
