//! Keepers that nobody listed find one another, and take a lost machine's place (§5.9).
use crate::keeper::Keeper;
use crate::messages::{PeerMessage, View, Voter};
use crate::terms::SILENT;
use quincehatch_core::{Millis, Name};
use std::collections::BTreeMap;

/// Least time between two askings of one that stands outside.
const DISCOVERY_INTERVAL: Millis = 500;
/// One that stands outside and was not heard of for so long is not brought in.
const FRESH: Millis = 1_500;
/// Outsiders remembered.
const MAX_CANDIDATES: usize = 64;
/// A longer gap between two ticks means that this keeper stood still: what it did not hear tells nothing.
const STILL: Millis = SILENT / 2;

/// How a keeper finds the others when no list names them.
#[derive(Clone, Debug, Default)]
pub struct DiscoverySettings {
    /// Where this keeper is reached.
    pub at: Name,
    /// Where others may be reached.
    pub seeds: Vec<Name>,
    /// A machine silent for so long gives its vote to one that stands outside (`terms::replace_after`).
    pub replace_after: Millis,
    /// Voting machines wanted: more than the first view has are taken in from outside, as they come.
    pub voter_count: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct Discovery {
    pub(crate) settings: DiscoverySettings,
    pub(crate) candidates: BTreeMap<Name, Candidate>,
    asked: Millis,
    round: u64,
    ticked: Millis,
    /// Since then it stood still at no time.
    pub(crate) undisturbed_since: Millis,
}

/// A keeper outside the view.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub addr: Name,
    heard: Millis,
    /// It asked for a place; else it is only one that does not know that it has none.
    asked: bool,
}

impl Candidate {
    pub fn wants_place(&self, now: Millis) -> bool {
        self.asked && self.heard + FRESH >= now
    }
}

impl View {
    /// The first view of a chain that starts for the first time: every machine named by its address, so that all of
    /// them write the same without a word (§5.9).
    pub fn initial(addrs: &[Name]) -> View {
        let mut addrs = addrs.to_vec();
        addrs.sort();
        addrs.dedup();
        let machines = addrs.iter().map(|a| Voter { name: a.clone(), addr: a.clone() }).collect();
        View { version: 1, members: addrs, voters: machines }
    }
    pub fn is_voter(&self, name: &str) -> bool {
        self.voters.iter().any(|m| m.name == name)
    }
}

impl Keeper {
    /// A keeper that finds its place by itself.
    pub fn with_discovery(mut self, settings: DiscoverySettings) -> Self {
        let (candidates, asked, round, now) = (BTreeMap::new(), 0, 0, self.now);
        self.discovery =
            Some(Discovery { settings, candidates, asked, round, ticked: now, undisturbed_since: now });
        self
    }
    /// Commits need to be on `n` disks at least.
    pub fn with_min_replicas(mut self, n: usize) -> Self {
        self.min_replicas = n;
        self
    }
    pub(crate) fn seeds(&mut self, seeds: Vec<Name>) {
        self.discovery.iter_mut().for_each(|s| s.settings.seeds = seeds.clone());
    }
    /// True while it looks for its place from outside the view.
    pub(crate) fn is_outside_view(&self) -> bool {
        self.discovery.is_some() && !self.view.is_voter(&self.name)
    }
    /// Where a machine is reached: one that a view under way brings in is not in the present one yet.
    pub fn addr(&self, name: &str) -> Option<Name> {
        let half = self.acceptor.accepted.as_ref().and_then(|(_, v)| v.addr(name));
        let before = self.previous_view.as_ref().and_then(|v| v.addr(name));
        self.view
            .addr(name)
            .or(half)
            .cloned()
            .or_else(|| self.candidate_addr(name))
            .or_else(|| before.cloned())
    }

    /// Where one outside the view said that it is; a seed is named by its address.
    pub(crate) fn candidate_addr(&self, name: &str) -> Option<Name> {
        let s = self.discovery.as_ref()?;
        let candidate = s.candidates.get(name).map(|c| c.addr.clone());
        candidate.or_else(|| s.settings.seeds.iter().find(|a| *a == name).cloned())
    }

    pub(crate) fn look_for_place(&mut self) {
        let now = self.now;
        let (outside_view, leaving) = (self.is_outside_view(), self.leaving.is_some());
        let Some(s) = self.discovery.as_mut() else { return };
        if now > s.ticked + STILL {
            s.undisturbed_since = now;
        }
        s.ticked = now;
        if !outside_view || leaving || now < s.asked + DISCOVERY_INTERVAL {
            return;
        }
        s.asked = now;
        s.round += 1;
        let at = s.settings.at.clone();
        // The machines of the view it knows and the seeds take turns: either list may be out of date.
        let known: Vec<Name> = self.view.voters.iter().map(|m| m.name.clone()).collect();
        let to = if known.is_empty() || s.round.is_multiple_of(2) { s.settings.seeds.clone() } else { known };
        for t in to.iter().filter(|t| **t != at) {
            self.send(t, PeerMessage::Discover { at: at.clone() });
        }
    }

    pub(crate) fn handle_discover(&mut self, from: &Name, at: Name) {
        self.record_candidate(from, at, true);
    }

    /// Someone is outside the view: it is told what the view is, so that it can find a place.
    fn record_candidate(&mut self, name: &Name, addr: Name, asked: bool) {
        let now = self.now;
        let Some(s) = self.discovery.as_mut() else { return };
        s.candidates.retain(|_, c| c.heard + FRESH >= now);
        if s.candidates.len() < MAX_CANDIDATES {
            s.candidates.insert(name.clone(), Candidate { addr, heard: now, asked });
        }
        if self.view.version > 0 {
            let view = self.view.clone();
            self.send(name, PeerMessage::CurrentView { view });
        }
    }

    /// One that was left out while it was away beats by a view of old and hears of none: it is told.
    pub(crate) fn inform_outdated_peer(&mut self, from: &Name, theirs: &View) {
        if theirs.version < self.view.version
            && !self.view.is_voter(from)
            && let Some(at) = theirs.addr(from).cloned()
        {
            self.record_candidate(from, at, false);
        }
    }
}
