//! Observations of a group's primary, and the need for a promotion that follows from them.
use quincehatch_core::{Millis, Name, PrimaryAssignment};

/// Another node's promotion counts as stuck once it has written nothing for this long, in milliseconds.
pub const STUCK_PROMOTION_TIMEOUT: Millis = 4_000;

/// One observation of a group, made by the node that owns the group's promotion duty.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupObservation {
    /// The primary assignment in force; `None` before the first assignment.
    pub primary: Option<PrimaryAssignment>,
    /// For how long this node has seen the assignment unchanged.
    pub primary_unchanged_for: Millis,
    /// The time since another node's promotion acquired a fencing token above the assignment's; `None` if there is no
    /// such promotion. That promotion has written nothing since.
    pub since_other_promotion: Option<Millis>,
    /// Servers of the group that are known to this node.
    pub servers: Vec<Name>,
    /// The number of servers that the group is declared to have.
    pub server_count: usize,
    /// For how long status probes of the primary have failed.
    pub failing_for: Option<Millis>,
    /// Whether those probes fail because nothing listens at the primary's address.
    pub connection_refused: bool,
    /// For how long replies of the primary have been overdue, as measured here or reported by another node.
    pub stalled_for: Option<Millis>,
    /// For how long the assigned server has reported that it is not the primary under this assignment.
    pub not_primary_for: Option<Millis>,
    /// Whether the primary is draining.
    pub draining: bool,
    /// Whether the assigned server is no longer registered: it deregistered itself, or another server has its address.
    pub unregistered: bool,
    /// For how long the running servers have differed from the voters.
    pub membership_changed_for: Option<Millis>,
    /// Whether an operator requested a handover.
    pub handover_requested: bool,
}

impl GroupObservation {
    /// Whether another node's promotion has priority because it started recently. Of two promotions that replace the
    /// same assignment only one can succeed.
    pub fn yields_to_other_promotion(&self) -> bool {
        self.since_other_promotion.is_some_and(|elapsed| elapsed < STUCK_PROMOTION_TIMEOUT)
    }
}

/// How long status probes of a primary may fail before it counts as failed.
#[derive(Clone, Copy, Debug)]
pub struct ProbeFailureLimits {
    /// Limit for probes that time out.
    pub unanswered: Millis,
    /// Limit for probes whose connection is refused. It is lower because nothing listens at the address.
    pub refused: Millis,
}

impl ProbeFailureLimits {
    /// Whether the primary's probes have failed for at least the limit.
    pub fn exceeded_by(&self, observation: &GroupObservation) -> bool {
        let limit = if observation.connection_refused { self.refused } else { self.unanswered };
        lasts_at_least(observation.failing_for, limit)
    }
}

/// Whether a condition holds (`elapsed` is `Some`) and has held for at least `limit`.
pub(crate) fn lasts_at_least(elapsed: Option<Millis>, limit: Millis) -> bool {
    elapsed.is_some_and(|elapsed| elapsed >= limit)
}

/// Whether a group needs a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionNeed {
    /// The group needs no promotion.
    Nothing,
    /// The group needs a promotion if other nodes confirm the failure of the primary.
    Confirm,
    /// The group needs a promotion now.
    Now {
        /// Whether the old primary still works: it is drained first, and another server is preferred to it.
        planned: bool,
    },
}
