//! When a pooled group needs a promotion.
use crate::observation::{GroupObservation, ProbeFailureLimits, PromotionNeed, STUCK_AFTER, lasts_at_least};
use quincehatch_core::Millis;

/// Probe failures beyond these limits are a failure of the primary, if other nodes see the same.
pub const PROBE_FAILURE_LIMITS: ProbeFailureLimits = ProbeFailureLimits { unanswered: 2_500, refused: 1_000 };
/// Replies overdue for this long are no mere hiccup of a disk.
pub const STALL_LIMIT: Millis = 1_500;
/// The assigned server may report for this long that it is not the primary.
pub const NOT_PRIMARY_LIMIT: Millis = 1_500;
/// A change among the group's servers is acted on after it has lasted this long.
pub const MEMBERSHIP_CHANGE_DELAY: Millis = 1_500;

/// Whether the primary has failed by its status probes, as opposed to stalling.
pub fn primary_failed(observation: &GroupObservation) -> bool {
    PROBE_FAILURE_LIMITS.exceeded_by(observation)
}

/// What the group needs.
pub fn promotion_need(observation: &GroupObservation) -> PromotionNeed {
    // A minority of the servers says nothing about what was committed.
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

/// What a group needs whose assignment names no server: a promotion that closed it is under way, or stuck.
pub(crate) fn need_without_server(observation: &GroupObservation) -> PromotionNeed {
    if observation.primary_unchanged_for >= STUCK_AFTER {
        PromotionNeed::Now { planned: false }
    } else {
        PromotionNeed::Nothing
    }
}
