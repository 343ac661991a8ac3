//! The lease of the current view, which a majority of the voters renews with each heartbeat.
//!
//! A voter grants the lease only for the newest view that it has accepted or adopted. Once a newer view is decided, a
//! majority of the voters of the older view has accepted it, so the older view's tail stops serving when its lease
//! ends.
use crate::timing::{VIEW_LEASE, minus_clock_drift};
use crate::view::View;
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::seam;
use std::collections::{BTreeMap, BTreeSet};

/// The recent heartbeats of one keeper, the grants for them, and the resulting lease.
#[derive(Clone, Debug)]
pub(super) struct ViewLease {
    /// The sequence number of the newest heartbeat sent.
    sequence: u64,
    /// The sequence number of the newest heartbeat that a majority has granted.
    confirmed: u64,
    /// When each heartbeat was sent, by sequence number. Heartbeats too old to renew the lease are removed.
    sent_at: BTreeMap<u64, Millis>,
    /// The voters that have granted each heartbeat, by sequence number.
    granted_by: BTreeMap<u64, BTreeSet<Name>>,
    /// When the lease ends.
    ends_at: Millis,
}

impl ViewLease {
    /// Creates a lease that is not held. Heartbeats are numbered after `sequence`, so that a grant to an earlier
    /// process of the keeper is not counted for one of these heartbeats.
    pub fn new(sequence: u64) -> Self {
        let (sent_at, granted_by) = (BTreeMap::new(), BTreeMap::new());
        Self { sequence, confirmed: 0, sent_at, granted_by, ends_at: 0 }
    }

    /// Returns the sequence number of the newest heartbeat.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns whether the lease is held.
    pub fn is_held(&self, now: Millis) -> bool {
        now < self.ends_at
    }

    /// Returns whether a majority has granted a heartbeat that was sent after the given one.
    pub fn is_confirmed_after(&self, heartbeat: u64) -> bool {
        self.confirmed > heartbeat
    }

    /// Returns the sequence number of the next heartbeat, which is sent at `now`.
    pub fn begin_heartbeat(&mut self, now: Millis) -> u64 {
        self.sequence += 1;
        self.sent_at.insert(self.sequence, now);
        let oldest = now.saturating_sub(VIEW_LEASE);
        self.sent_at.retain(|_, at| *at >= oldest);
        let sent_at = &self.sent_at;
        self.granted_by.retain(|sequence, _| sent_at.contains_key(sequence));
        self.sequence
    }

    /// Counts a voter's grant. The lease term is counted from when the heartbeat was sent, as the voters count it from
    /// a later time.
    pub fn record_grant(&mut self, view: &View, from: &Name, sequence: u64) {
        let Some(sent_at) = self.sent_at.get(&sequence).copied() else { return };
        let granted_by = self.granted_by.entry(sequence).or_default();
        granted_by.insert(from.clone());
        if view.has_majority(granted_by.iter()) {
            self.ends_at = self.ends_at.max(sent_at + minus_clock_drift(VIEW_LEASE));
            self.confirmed = self.confirmed.max(sequence);
        }
    }

    /// Drops the lease and all grants, which were for the previous view.
    pub fn reset(&mut self) {
        self.sent_at.clear();
        self.granted_by.clear();
        self.ends_at = 0;
    }
}

/// Returns the sequence number before the first heartbeat of this process. It is random, so that no grant to an earlier
/// process matches a heartbeat of this one, even if the wall clock was set back in between. Half of the range is left
/// for counting.
pub(super) fn initial_sequence() -> u64 {
    seam::draw_incarnation() >> 1
}
