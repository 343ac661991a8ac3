//! What the registry knows of the commits of each group: the observed positions of the primaries, the commits that were
//! acknowledged to clients, and the handovers that limit what may be acknowledged.
use crate::routing::acknowledged::{Acknowledgement, Commit, SuccessorReport};
use crate::routing::registry::Registry;
use crate::staleness::PrimaryPositions;
use quincehatch_core::{FencingToken, Millis, Name, Position};
use quincehatch_runtime::now;

impl Registry {
    /// Records that the group's primary was observed at `position` by a request that was sent at `queried_at`.
    ///
    /// The observation stays valid when another server has become primary: no other server acknowledges a commit while
    /// this node holds its lease and has not applied the change. Without a lease another one may, so the observation is
    /// ignored.
    pub fn record_primary_position(&self, group: &str, queried_at: Millis, position: Position) {
        if self.has_lease() {
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
            may_acknowledge.then(|| state.pending_promotion(group).unwrap_or_default())
        })
    }

    /// Takes part in a handover of the group to `successor`. Returns whether the handover is new to this node.
    pub fn join_handover(&self, group: &str, fence: FencingToken, successor: &Name) -> bool {
        self.acknowledged.join_handover(group, fence, successor)
    }

    /// Whether this node takes part in this handover.
    pub fn has_joined_handover(&self, group: &str, fence: FencingToken, successor: &Name) -> bool {
        self.acknowledged.has_joined_handover(group, fence, successor)
    }

    /// Records what the successor of a handover reported of itself.
    pub fn record_successor(&self, group: &str, fence: FencingToken, report: SuccessorReport) {
        self.acknowledged.record_successor(group, fence, report);
        self.successor_reported.notify_waiters();
    }

    /// Returns the highest position that this process has acknowledged for the group.
    pub fn acknowledged_end(&self, group: &str) -> Position {
        self.acknowledged.end(group)
    }

    /// Returns the highest position that this process has acknowledged for the group. From then on, it acknowledges no
    /// commit that was sent under a lower fence than `fence`.
    pub fn seal_acknowledged(&self, group: &str, fence: FencingToken) -> Position {
        self.acknowledged.seal(group, fence)
    }
}
