//! The keepers outside the view that a keeper has discovered, and the settings of discovery.
use crate::timing::PEER_TIMEOUT;
use crate::view::Voter;
use quincehatch_core::{Millis, Name};
use std::collections::BTreeMap;

/// Shortest time between two announcements of a keeper outside the view.
const DISCOVERY_INTERVAL: Millis = 500;
/// A keeper outside the view from which nothing was received for this long is not invited: three announcements were
/// lost, or the keeper is down.
const CANDIDATE_EXPIRY: Millis = 1_500;
/// Maximum number of keepers outside the view that are recorded.
const MAX_CANDIDATES: usize = 64;
/// After a longer gap between two ticks this keeper counts as suspended, and the silence of peers during the gap does
/// not count.
const MAX_TICK_GAP: Millis = PEER_TIMEOUT / 2;

/// How a keeper finds other keepers if its configuration does not list them, and the wanted number of voters.
#[derive(Clone, Debug, Default)]
pub struct DiscoverySettings {
    /// The address of this keeper.
    pub own_addr: Name,
    /// Addresses at which other keepers may be reached.
    pub seeds: Vec<Name>,
    /// A voter that has been unresponsive for this long is replaced by a keeper outside the view, see
    /// [`voter_replacement_delay`](crate::timing::voter_replacement_delay).
    pub voter_replacement_delay: Millis,
    /// Wanted number of voters. While the view has fewer, keepers outside the view are added.
    pub voter_count: usize,
}

/// The state of a keeper that takes part in discovery.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct Discovery {
    pub(super) settings: DiscoverySettings,
    /// Keepers outside the view, by name.
    candidates: BTreeMap<Name, Candidate>,
    last_announcement_at: Millis,
    announcements: u64,
    last_tick_at: Millis,
    /// Since when this keeper has run without being suspended.
    pub(super) running_since: Millis,
}

/// A keeper outside the view.
#[derive(Clone, Debug)]
struct Candidate {
    addr: Name,
    last_heard: Millis,
    /// Whether the keeper has announced itself to join the view. Otherwise it was removed from the view and does not
    /// know about it.
    wants_to_join: bool,
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
            running_since: now,
        }
    }

    /// Records a tick, and detects a gap since the last one during which this keeper was suspended.
    pub(super) fn record_tick(&mut self, now: Millis) {
        if now > self.last_tick_at + MAX_TICK_GAP {
            self.running_since = now;
        }
        self.last_tick_at = now;
    }

    /// Returns whether the next announcement is due.
    pub(super) fn is_announcement_due(&self, now: Millis) -> bool {
        now >= self.last_announcement_at + DISCOVERY_INTERVAL
    }

    /// Begins an announcement and returns its receivers. Announcements go alternately to the voters of the view and to
    /// the seeds, as either list may be outdated.
    pub(super) fn begin_announcement(&mut self, now: Millis, voters: &[Voter]) -> Vec<Name> {
        self.last_announcement_at = now;
        self.announcements += 1;
        let is_for_seeds = voters.is_empty() || self.announcements.is_multiple_of(2);
        let mut receivers: Vec<Name> = match is_for_seeds {
            true => self.settings.seeds.clone(),
            false => voters.iter().map(|voter| voter.name.clone()).collect(),
        };
        receivers.retain(|receiver| *receiver != self.settings.own_addr);
        receivers
    }

    /// Records a keeper outside the view.
    pub(super) fn record_candidate(&mut self, now: Millis, name: &Name, addr: Name, wants_to_join: bool) {
        self.candidates.retain(|_, candidate| !candidate.is_expired(now));
        if self.candidates.len() < MAX_CANDIDATES {
            let candidate = Candidate { addr, last_heard: now, wants_to_join };
            self.candidates.insert(name.clone(), candidate);
        }
    }

    /// Returns the keepers that have recently announced themselves to join, in the order of their names.
    pub(super) fn candidates(&self, now: Millis) -> impl Iterator<Item = Voter> {
        let wants_to_join =
            move |candidate: &Candidate| candidate.wants_to_join && !candidate.is_expired(now);
        self.candidates
            .iter()
            .filter(move |(_, candidate)| wants_to_join(candidate))
            .map(|(name, candidate)| Voter { name: name.clone(), addr: candidate.addr.clone() })
    }

    /// Returns the address that a keeper outside the view has announced. The name of a seed is its address.
    pub(super) fn addr(&self, name: &str) -> Option<Name> {
        if let Some(candidate) = self.candidates.get(name) {
            return Some(candidate.addr.clone());
        }
        self.settings.seeds.iter().find(|seed| *seed == name).cloned()
    }
}
