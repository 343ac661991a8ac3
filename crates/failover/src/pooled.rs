//! The decision when a pooled group needs a promotion.
use crate::observation::{
    GroupObservation, ProbeFailureLimits, PromotionNeed, STUCK_PROMOTION_TIMEOUT, lasts_at_least,
};
use quincehatch_core::Millis;

/// The primary counts as failed once its probes have failed for this long, if other nodes confirm it.
pub const PROBE_FAILURE_LIMITS: ProbeFailureLimits = ProbeFailureLimits { unanswered: 2_500, refused: 1_000 };
/// The primary counts as stalled once its replies have been overdue for this long. A short pause of its disk stays
/// below this limit.
pub const STALL_LIMIT: Millis = 1_500;
/// The assigned server is replaced once it has reported for this long that it is not the primary.
pub const NOT_PRIMARY_LIMIT: Millis = 1_500;
/// A difference between the running servers and the voters causes a planned promotion after it has lasted this long.
pub const MEMBERSHIP_CHANGE_DELAY: Millis = 1_500;

/// Whether the primary's status probes have failed for at least the limit. A stall is detected separately.
pub fn primary_failed(observation: &GroupObservation) -> bool {
    PROBE_FAILURE_LIMITS.exceeded_by(observation)
}

/// Returns which promotion the group needs, if any.
pub fn promotion_need(observation: &GroupObservation) -> PromotionNeed {
    // A minority of the servers may lack committed entries.
    let sees_majority = observation.servers.len() * 2 > observation.server_count;
    if !sees_majority || observation.yields_to_other_promotion() {
        return PromotionNeed::Nothing;
    }
    let Some(assignment) = &observation.primary else {
        return PromotionNeed::Now { planned: false };
    };
    if assignment.server.is_none() {
        return need_without_server(observation);
    }
    if primary_failed(observation) || lasts_at_least(observation.stalled_for, STALL_LIMIT) {
        return PromotionNeed::Confirm;
    }
    if lasts_at_least(observation.not_primary_for, NOT_PRIMARY_LIMIT) {
        return PromotionNeed::Now { planned: false };
    }
    let membership_changed = lasts_at_least(observation.membership_changed_for, MEMBERSHIP_CHANGE_DELAY);
    if observation.draining || observation.handover_requested || membership_changed {
        return PromotionNeed::Now { planned: true };
    }
    PromotionNeed::Nothing
}

/// Returns which promotion a group needs while its assignment names no server: the promotion that closed the assignment
/// is in progress, or it is stuck.
pub(crate) fn need_without_server(observation: &GroupObservation) -> PromotionNeed {
    if observation.primary_unchanged_for >= STUCK_PROMOTION_TIMEOUT {
        PromotionNeed::Now { planned: false }
    } else {
        PromotionNeed::Nothing
    }
}
