//! The lease of the present view, which a majority of the voters renews with each heartbeat.
//!
//! A voter grants it for the newest view that it knows only. Once a newer view is decided, a majority of the voters of
//! the older one knows, so the older view's tail stops serving when its lease ends.
use crate::timing::{VIEW_LEASE, minus_clock_drift};
use crate::view::View;
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::seam;
use std::collections::{BTreeMap, BTreeSet};

/// The heartbeats of one keeper, and the lease that they have earned.
#[derive(Clone, Debug)]
pub(super) struct ViewLease {
    /// The newest heartbeat sent.
    sequence: u64,
    /// The newest heartbeat that a majority granted.
    confirmed: u64,
    /// When each heartbeat was sent, as long as a grant for it can still renew the lease.
    sent_at: BTreeMap<u64, Millis>,
    granted_by: BTreeMap<u64, BTreeSet<Name>>,
    until: Millis,
}

impl ViewLease {
    /// Heartbeats are numbered from `sequence` on, so that no grant to an earlier process is taken for one of these.
    pub fn new(sequence: u64) -> Self {
        let (sent_at, granted_by) = (BTreeMap::new(), BTreeMap::new());
        Self { sequence, confirmed: 0, sent_at, granted_by, until: 0 }
    }

    /// The number of the newest heartbeat.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Is the lease held?
    pub fn is_held(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Has a majority granted a heartbeat that was sent after that one?
    pub fn is_confirmed_after(&self, heartbeat: u64) -> bool {
        self.confirmed > heartbeat
    }

    /// Numbers the next heartbeat, which is sent at `now`.
    pub fn begin_heartbeat(&mut self, now: Millis) -> u64 {
        self.sequence += 1;
        self.sent_at.insert(self.sequence, now);
        let oldest = now.saturating_sub(VIEW_LEASE);
        self.sent_at.retain(|_, at| *at >= oldest);
        let sent_at = &self.sent_at;
        self.granted_by.retain(|sequence, _| sent_at.contains_key(sequence));
        self.sequence
    }

    /// Counts a voter's grant. The lease runs from when the heartbeat was sent, as the voters' terms begin later.
    pub fn record_grant(&mut self, view: &View, from: &Name, sequence: u64) {
        let Some(sent_at) = self.sent_at.get(&sequence).copied() else { return };
        let granted_by = self.granted_by.entry(sequence).or_default();
        granted_by.insert(from.clone());
        if view.has_majority(granted_by.iter()) {
            self.until = self.until.max(sent_at + minus_clock_drift(VIEW_LEASE));
            self.confirmed = self.confirmed.max(sequence);
        }
    }

    /// Drops the lease and all grants: they were for the view before.
    pub fn reset(&mut self) {
        self.sent_at.clear();
        self.granted_by.clear();
        self.until = 0;
    }
}

/// The number before the first heartbeat of this process. No grant to an earlier process may answer a heartbeat of this
/// one, even if the wall clock was set back in between; half of the range is left to count in.
pub(super) fn first_heartbeat() -> u64 {
    seam::draw_incarnation() >> 1
}
