//! The state that a node keeps for a direct group whose promotion duty it owns.
use quincehatch_core::{Millis, Name};
use quincehatch_failover::direct::replication::ReplicationWatermark;
use quincehatch_runtime::seam::TaskHandle;
use std::collections::BTreeMap;

/// The polls, observations and tasks of one direct group.
#[derive(Default)]
pub struct DirectGroupState {
    pub(super) polls: BTreeMap<Name, Poll>,
    /// Since when each server has had a role or a suspension that is stale under the primary's term.
    pub(super) stale_since: BTreeMap<Name, Millis>,
    pub(super) watermark: ReplicationWatermark,
    /// For how long no replica has been observed to receive what the primary had.
    pub(super) replicas_behind_for: Millis,
    /// When a promotion was last begun because the primary is cut off from its replicas; 0 if never.
    pub cut_off_handled_at: Millis,
    /// When the last refresh of the acknowledged bound was started.
    pub(super) bound_refreshed_at: Millis,
    pub(super) bound_refresh: Option<TaskHandle>,
}

/// The last status poll of one server.
#[derive(Default)]
pub(super) struct Poll {
    /// When the poll was sent; 0 if never.
    pub(super) sent_at: Millis,
    task: Option<TaskHandle>,
}

impl Poll {
    pub(super) fn is_in_flight(&self) -> bool {
        self.task.as_ref().is_some_and(|task| !task.is_finished())
    }

    pub(super) fn begin(&mut self, sent_at: Millis, task: TaskHandle) {
        self.sent_at = sent_at;
        self.task = Some(task);
    }
}
