//! What the registry knows of the commits of each group: the observed positions of the primaries, the commits that were
//! acknowledged to clients, and the handovers that limit what may be acknowledged.
use crate::routing::commit_evidence::{
    AcknowledgedRange, Acknowledgement, Commit, Knowledge, PendingEvidence, SuccessorReport,
};
use crate::routing::registry::Registry;
use crate::staleness::PrimaryPositions;
use quincehatch_core::{FencingToken, Millis, Name, Position};
use quincehatch_runtime::{now, seam};
use std::time::Duration;

/// How long a pending commit waits for a report or a change of the cluster state before it is decided again.
const RECHECK_INTERVAL: Millis = 50;

impl Registry {
    /// Records that the group's primary was observed at `position` by a request that was sent at `queried_at`.
    ///
    /// The observation stays valid when another server has become primary: no other server acknowledges a commit while
    /// this node holds its lease and has not applied the change. Without a lease another one may, so the observation is
    /// ignored.
    pub fn record_primary_position(&self, group: &str, queried_at: Millis, position: Position) {
        if self.has_lease() {
            self.acknowledged.observe(group, position);
            self.with_primary_positions(group, |positions| positions.record(queried_at, position));
        }
    }

    /// Returns the lowest position that proves a read of the group to be at most `max_staleness` behind.
    pub fn required_position(&self, group: &str, max_staleness: Millis) -> Option<Position> {
        self.with_primary_positions(group, |positions| positions.required_at(now(), max_staleness))
    }

    /// Calls `access` with the observed positions of the group's primary.
    pub fn with_primary_positions<T>(
        &self,
        group: &str,
        access: impl FnOnce(&mut PrimaryPositions) -> T,
    ) -> T {
        let mut by_group = self.primary_positions.lock().unwrap();
        access(by_group.entry(group.into()).or_default())
    }

    /// Decides whether a commit that its server has confirmed may be acknowledged to the client, and records it if it
    /// may.
    ///
    /// It is refused if it may be lost: the acknowledged position was already reported for the choice of another
    /// primary, or the primary may be demoted. A late message of an earlier demotion may resume servers that are
    /// suspended for a demotion. A commit that is acknowledged before the demotion was on a replica before it.
    pub fn acknowledge(&self, group: &str, commit: &Commit) -> Acknowledgement {
        self.acknowledged.acknowledge(group, commit, || {
            let state = self.cluster_state();
            let has_newer_fence =
                state.primaries.get(group).is_some_and(|primary| primary.fence > commit.fence);
            let may_acknowledge = self.has_lease() && !has_newer_fence;
            let newest_fence = state.pending_promotion(group).unwrap_or_default();
            let is_current = !self.is_lease_renewal_overdue();
            may_acknowledge.then_some(Knowledge { newest_fence, is_current })
        })
    }

    /// Waits until it is decided whether the commit may be acknowledged. Returns false if it may not, or if that is not
    /// decided by `finish_by`.
    pub async fn acknowledge_by(&self, group: &str, commit: &Commit, finish_by: Millis) -> bool {
        loop {
            // Registered before the decision, so that no report is missed between the decision and the wait.
            let reported = self.evidence_recorded.notified();
            let changed = self.changed.notified();
            match self.acknowledge(group, commit) {
                Acknowledgement::Granted => return true,
                Acknowledgement::Refused => return false,
                Acknowledgement::Pending if now() >= finish_by => return false,
                Acknowledgement::Pending => self.evidence_awaited.notify_one(),
            }
            let time_left = finish_by.saturating_sub(now()).clamp(1, RECHECK_INTERVAL);
            let either = seam::select_first(reported, changed);
            let _ = seam::timeout(Duration::from_millis(time_left), either).await;
        }
    }

    /// Takes part in a handover of the group to `successor`. Returns false if this node takes part in a later one.
    pub fn join_handover(&self, group: &str, fence: FencingToken, successor: &Name) -> bool {
        self.acknowledged.join_handover(group, fence, successor)
    }

    /// Returns the groups of which commits wait for evidence, with that evidence, and forgets that they wait.
    pub fn take_awaited_evidence(&self) -> Vec<(Name, PendingEvidence)> {
        self.acknowledged.take_awaited()
    }

    /// Records what the successor of a handover reported of itself.
    pub fn record_successor(&self, group: &str, fence: FencingToken, report: SuccessorReport) {
        self.acknowledged.record_successor(group, fence, report);
        self.evidence_recorded.notify_waiters();
    }

    /// Records the end of the log that a replica known to the store has received.
    pub fn record_replica(&self, group: &str, received: Position) {
        self.acknowledged.record_replica(group, received);
        self.evidence_recorded.notify_waiters();
    }

    /// Returns the highest end of the log that a primary of the group has reported to this process. What is sent from now on
    /// to that primary is behind it.
    pub fn observed_end(&self, group: &str) -> Position {
        self.acknowledged.observed(group)
    }

    /// Returns what this process has acknowledged of the group's commits. From then on, it acknowledges no commit that was
    /// sent under a lower fence than `fence`.
    pub fn seal_acknowledged(&self, group: &str, fence: FencingToken) -> AcknowledgedRange {
        self.acknowledged.seal(group, fence)
    }
}
