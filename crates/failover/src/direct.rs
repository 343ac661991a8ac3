//! Direct groups: their servers speak their own protocol, and a commit waits until a number of replicas received it.
pub mod candidate;
pub mod replication;

use crate::observation::{GroupObservation, ProbeFailureLimits, PromotionNeed, lasts_at_least};
use crate::pooled::need_without_server;
use quincehatch_core::Millis;

/// Probe failures beyond these limits are a failure of the primary, if other nodes see the same.
pub const PROBE_FAILURE_LIMITS: ProbeFailureLimits = ProbeFailureLimits { unanswered: 500, refused: 300 };
/// Replies overdue for this long are no mere hiccup of a disk.
pub const STALL_LIMIT: Millis = 1_500;
/// The assigned server may report for this long that it is not the primary.
pub const NOT_PRIMARY_LIMIT: Millis = 600;
/// A primary is cut off once no replica that answers has received, for this long, what the primary had then.
pub const CUT_OFF_AFTER: Millis = 2_000;

/// Whether the primary has failed by its status probes, as opposed to stalling.
pub fn primary_failed(observation: &GroupObservation) -> bool {
    PROBE_FAILURE_LIMITS.exceeded_by(observation)
}

/// What a group with an assignment needs. `has_successor`: a server that is not draining could take over in order.
pub fn promotion_need(observation: &GroupObservation, has_successor: bool) -> PromotionNeed {
    let Some(assignment) = &observation.primary else { return PromotionNeed::Nothing };
    if observation.yields_to_other_promotion() {
        return PromotionNeed::Nothing;
    }
    if assignment.server.is_none() {
        return need_without_server(observation);
    }
    if primary_failed(observation) || lasts_at_least(observation.stalled_for, STALL_LIMIT) {
        return PromotionNeed::Confirm;
    }
    if lasts_at_least(observation.not_primary_for, NOT_PRIMARY_LIMIT) {
        return PromotionNeed::Now { planned: false };
    }
    let is_leaving = observation.draining || observation.unregistered;
    if has_successor && (is_leaving || observation.handover_requested) {
        return PromotionNeed::Now { planned: true };
    }
    PromotionNeed::Nothing
}
