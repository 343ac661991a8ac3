//! What a keeper knows of keepers outside the view.
use crate::timing::PEER_TIMEOUT;
use crate::view::Voter;
use quincehatch_core::{Millis, Name};
use std::collections::BTreeMap;

/// Shortest time between two announcements of a keeper outside the view.
const DISCOVERY_INTERVAL: Millis = 500;
/// A keeper outside the view that was last heard from longer ago is not invited: three announcements were lost, or it
/// is gone.
const CANDIDATE_EXPIRY: Millis = 1_500;
/// Keepers outside the view that are remembered.
const MAX_CANDIDATES: usize = 64;
/// After a longer gap between two ticks this keeper counts as suspended: that it did not hear from others tells nothing.
const MAX_TICK_GAP: Millis = PEER_TIMEOUT / 2;

/// How a keeper finds the others if its settings do not list them, and how many are to vote.
#[derive(Clone, Debug, Default)]
pub struct DiscoverySettings {
    /// Where this keeper is reached.
    pub at: Name,
    /// Addresses at which other keepers may be reached.
    pub seeds: Vec<Name>,
    /// A voter without contact for this long gives its vote to a keeper outside the view, see
    /// [`replace_after`](crate::timing::replace_after).
    pub replace_after: Millis,
    /// Wanted number of voters. If the first view has fewer, keepers from outside are added as they come.
    pub voter_count: usize,
}

/// What a keeper that takes part in discovery knows.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct Discovery {
    pub(super) settings: DiscoverySettings,
    /// Keepers outside the view.
    candidates: BTreeMap<Name, Candidate>,
    last_announcement_at: Millis,
    announcements: u64,
    last_tick_at: Millis,
    /// Since then this keeper was not suspended.
    pub(super) undisturbed_since: Millis,
}

/// A keeper outside the view.
#[derive(Clone, Debug)]
struct Candidate {
    addr: Name,
    last_heard: Millis,
    /// It asked for a place. Otherwise it only does not know that it has none.
    wants_place: bool,
}

impl Candidate {
    fn is_expired(&self, now: Millis) -> bool {
        self.last_heard + CANDIDATE_EXPIRY < now
    }
}

impl Discovery {
    pub fn new(settings: DiscoverySettings, now: Millis) -> Self {
        Self {
            settings,
            candidates: BTreeMap::new(),
            last_announcement_at: 0,
            announcements: 0,
            last_tick_at: now,
            undisturbed_since: now,
        }
    }

    /// Notices gaps between two ticks, during which this keeper was suspended.
    pub(super) fn record_tick(&mut self, now: Millis) {
        if now > self.last_tick_at + MAX_TICK_GAP {
            self.undisturbed_since = now;
        }
        self.last_tick_at = now;
    }

    /// Is it time for the next announcement?
    pub(super) fn is_announcement_due(&self, now: Millis) -> bool {
        now >= self.last_announcement_at + DISCOVERY_INTERVAL
    }

    /// Begins an announcement; returns to whom it goes. The voters of the view and the seeds take turns, as either list
    /// may be outdated.
    pub(super) fn begin_announcement(&mut self, now: Millis, voters: &[Voter]) -> Vec<Name> {
        self.last_announcement_at = now;
        self.announcements += 1;
        let asks_seeds = voters.is_empty() || self.announcements.is_multiple_of(2);
        let mut receivers: Vec<Name> = match asks_seeds {
            true => self.settings.seeds.clone(),
            false => voters.iter().map(|voter| voter.name.clone()).collect(),
        };
        receivers.retain(|receiver| *receiver != self.settings.at);
        receivers
    }

    /// Takes note of a keeper outside the view.
    pub(super) fn record_candidate(&mut self, now: Millis, name: &Name, addr: Name, wants_place: bool) {
        self.candidates.retain(|_, candidate| !candidate.is_expired(now));
        if self.candidates.len() < MAX_CANDIDATES {
            let candidate = Candidate { addr, last_heard: now, wants_place };
            self.candidates.insert(name.clone(), candidate);
        }
    }

    /// Keepers that have asked for a place recently, in the order of their names.
    pub(super) fn candidates(&self, now: Millis) -> impl Iterator<Item = Voter> {
        let wants_place = move |candidate: &Candidate| candidate.wants_place && !candidate.is_expired(now);
        self.candidates
            .iter()
            .filter(move |(_, candidate)| wants_place(candidate))
            .map(|(name, candidate)| Voter { name: name.clone(), addr: candidate.addr.clone() })
    }

    /// Where a keeper outside the view said that it is reached; a seed is named by its address.
    pub(super) fn addr(&self, name: &str) -> Option<Name> {
        if let Some(candidate) = self.candidates.get(name) {
            return Some(candidate.addr.clone());
        }
        self.settings.seeds.iter().find(|seed| *seed == name).cloned()
    }
}
