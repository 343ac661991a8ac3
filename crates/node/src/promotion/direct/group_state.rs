//! What a node keeps of a direct group whose duty it owns.
use quincehatch_core::{Millis, Name};
use quincehatch_failover::direct::replication::ReplicationWatermark;
use quincehatch_runtime::seam::TaskHandle;
use std::collections::BTreeMap;

/// What is under way for one direct group.
#[derive(Default)]
pub struct DirectGroupState {
    pub(super) polls: BTreeMap<Name, Poll>,
    /// Since when servers have had a role or a suspension that the primary's term rules out.
    pub(super) stale_since: BTreeMap<Name, Millis>,
    pub(super) watermark: ReplicationWatermark,
    /// For how long no replica has been seen to receive what the primary had.
    pub(super) replicas_behind_for: Millis,
    /// When the primary was last to be replaced for that; 0: not yet.
    pub cut_off_handled_at: Millis,
    /// When the acknowledged bound was last looked for.
    pub(super) bound_refreshed_at: Millis,
    pub(super) bound_refresh: Option<TaskHandle>,
}

/// The last status poll of one server.
#[derive(Default)]
pub(super) struct Poll {
    /// When it was sent; 0: never.
    pub(super) sent_at: Millis,
    task: Option<TaskHandle>,
}

impl Poll {
    pub(super) fn is_under_way(&self) -> bool {
        self.task.as_ref().is_some_and(|task| !task.is_finished())
    }

    pub(super) fn begin(&mut self, sent_at: Millis, task: TaskHandle) {
        self.sent_at = sent_at;
        self.task = Some(task);
    }
}
