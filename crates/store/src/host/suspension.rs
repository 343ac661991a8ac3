//! Suspension of a keeper: it takes no part in the chain while its disk does not accept writes.
use crate::disk_usage::DiskUsage;
use crate::messages::KeeperStatus;
use crate::view::View;
use quincehatch_core::{Error, Millis, Name};

/// Interval between two attempts to recover the disk, in milliseconds.
const PROBE_INTERVAL: Millis = 250;

/// Cause and start time of a keeper's suspension.
#[derive(Debug)]
pub(super) struct Suspension {
    error: Error,
    since: Millis,
    next_probe_at: Millis,
    /// The view that the keeper had before the suspension.
    view: View,
}

impl Suspension {
    pub fn new(now: Millis, error: Error, view: View) -> Self {
        Self { error, since: now, next_probe_at: now + PROBE_INTERVAL, view }
    }

    pub fn since(&self) -> Millis {
        self.since
    }

    pub fn is_probe_due(&self, now: Millis) -> bool {
        now >= self.next_probe_at
    }

    /// Records that an attempt to recover the disk failed, and schedules the next attempt.
    pub fn probe_failed(&mut self, now: Millis, error: Error) {
        self.error = error;
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    pub fn status(&self, name: &Name, disk: DiskUsage) -> KeeperStatus {
        KeeperStatus {
            name: name.clone(),
            view: self.view.clone(),
            reason: format!("suspended: {}", self.error),
            disk,
            ..Default::default()
        }
    }
}
