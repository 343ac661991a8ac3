//! What is observed of a group's primary, and what the group may need because of it.
use quincehatch_core::{Millis, Name, PrimaryAssignment};

/// Another node's promotion that wrote nothing for this long is taken to be stuck, in milliseconds.
pub const STUCK_AFTER: Millis = 4_000;

/// What the node that owns a group's promotion duty observes of the group at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupObservation {
    /// The primary assignment in force; none before the first.
    pub primary: Option<PrimaryAssignment>,
    /// For how long this node has seen the assignment as it is.
    pub primary_unchanged_for: Millis,
    /// How long ago another node's promotion took a fencing token above the assignment's; none if none did. That
    /// promotion has written nothing since.
    pub other_promotion_for: Option<Millis>,
    /// Servers of the group that are known to this node.
    pub servers: Vec<Name>,
    /// How many servers the group is declared to have.
    pub server_count: usize,
    /// For how long status probes of the primary have failed.
    pub failing_for: Option<Millis>,
    /// Those probes fail because nothing listens at the primary's address.
    pub connection_refused: bool,
    /// For how long replies of the primary have been overdue, as measured here or reported by another node.
    pub stalled_for: Option<Millis>,
    /// For how long the assigned server has reported that it is not the primary under this assignment.
    pub not_primary_for: Option<Millis>,
    /// The primary is draining.
    pub draining: bool,
    /// The assigned server is not registered any more: it left in order, or another has its address.
    pub unregistered: bool,
    /// For how long the servers that run have differed from those that vote.
    pub membership_changed_for: Option<Millis>,
    /// An operator asked for a handover.
    pub handover_requested: bool,
}

impl GroupObservation {
    /// Whether another node began a promotion lately. It goes first: of two promotions over the same assignment only
    /// one can succeed.
    pub fn yields_to_other_promotion(&self) -> bool {
        self.other_promotion_for.is_some_and(|elapsed| elapsed < STUCK_AFTER)
    }
}

/// How long status probes of a primary may fail before it counts as failed.
#[derive(Clone, Copy, Debug)]
pub struct ProbeFailureLimits {
    /// Limit for probes that time out.
    pub unanswered: Millis,
    /// Limit for probes whose connection is refused: nothing listens there, so less patience is needed.
    pub refused: Millis,
}

impl ProbeFailureLimits {
    /// Whether the primary's probes have failed beyond the limit.
    pub fn exceeded_by(&self, observation: &GroupObservation) -> bool {
        let limit = if observation.connection_refused { self.refused } else { self.unanswered };
        lasts_at_least(observation.failing_for, limit)
    }
}

/// Whether a condition holds, and has for at least `limit`.
pub(crate) fn lasts_at_least(elapsed: Option<Millis>, limit: Millis) -> bool {
    elapsed.is_some_and(|elapsed| elapsed >= limit)
}

/// What a group needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionNeed {
    /// Nothing.
    Nothing,
    /// A promotion, if other nodes confirm the failure of the primary.
    Confirm,
    /// A promotion now.
    Now {
        /// The old primary works: it is drained first, and another is preferred to it.
        planned: bool,
    },
}
