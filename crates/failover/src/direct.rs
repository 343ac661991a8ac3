//! Direct groups: their servers speak their own protocol, and a commit waits until a given number of replicas have
//! received it.
pub mod candidate;
pub mod replication;

use crate::observation::{GroupObservation, ProbeFailureLimits, PromotionNeed, lasts_at_least};
use crate::pooled::need_without_server;
use quincehatch_core::Millis;

/// The primary counts as failed once its probes have failed for this long, if other nodes confirm it.
pub const PROBE_FAILURE_LIMITS: ProbeFailureLimits = ProbeFailureLimits { unanswered: 500, refused: 300 };
/// The primary counts as stalled once its replies have been overdue for this long. A short pause of its disk stays
/// below this limit.
pub const STALL_LIMIT: Millis = 1_500;
/// The assigned server is replaced once it has reported for this long that it is not the primary.
pub const NOT_PRIMARY_LIMIT: Millis = 600;
/// A primary counts as cut off once no answering replica has reached the primary's replication watermark for this long.
pub const REPLICATION_TIMEOUT: Millis = 2_000;

/// Whether the primary's status probes have failed for at least the limit. A stall is detected separately.
pub fn primary_failed(observation: &GroupObservation) -> bool {
    PROBE_FAILURE_LIMITS.exceeded_by(observation)
}

/// Returns which promotion a group with an assignment needs, if any. `has_successor` says whether a server that is not
/// draining could take over in a planned handover.
pub fn promotion_need(observation: &GroupObservation, has_successor: bool) -> PromotionNeed {
    let Some(assignment) = &observation.primary else { return PromotionNeed::Nothing };
    if observation.yields_to_other_promotion() {
        return PromotionNeed::Nothing;
    }
    if assignment.server.is_none() {
        return need_without_server(observation);
    }
    // What the server says of itself needs no confirmation, whatever else is observed of it.
    if lasts_at_least(observation.not_primary_for, NOT_PRIMARY_LIMIT) {
        return PromotionNeed::Now { planned: false };
    }
    if primary_failed(observation) || lasts_at_least(observation.stalled_for, STALL_LIMIT) {
        return PromotionNeed::Confirm;
    }
    let is_leaving = observation.draining || observation.unregistered;
    if has_successor && (is_leaving || observation.handover_requested) {
        return PromotionNeed::Now { planned: true };
    }
    PromotionNeed::Nothing
}
