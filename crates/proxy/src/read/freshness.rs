//! Decides whether the answer to a read is fresh enough.
use crate::routing::registry::Registry;
use crate::routing::server_choice::{ChoiceReason, ServerChoice};
use crate::staleness;
use quincehatch_core::{Millis, Role, Stamp};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;

/// A server that a read was sent to, and when.
pub struct QueriedServer<'a> {
    /// The server, and the reason it was chosen.
    pub choice: &'a ServerChoice,
    /// When the request was sent.
    pub sent_at: Millis,
}

/// Whether it is proved, by this node's clock alone, that the rows are at most `max_staleness` behind.
pub fn is_fresh(
    registry: &Registry,
    queried: &QueriedServer<'_>,
    stamp: &Stamp,
    max_staleness: Millis,
) -> bool {
    if seam::injected_bug("stale-lookup") {
        return true;
    }
    if !registry.has_lease() {
        return false;
    }
    let group = queried.choice.server.group();
    if queried.choice.reason == ChoiceReason::Primary {
        let is_assigned_primary = registry.primary(&group).is_some_and(|primary| {
            primary.fence == stamp.fence && primary.server.as_ref() == Some(&stamp.server)
        });
        // The rows were fresh when the request was sent. If this node was paused since, it must not return them as
        // fresh now.
        let is_late = now() > queried.sent_at + max_staleness.saturating_sub(staleness::MARGIN);
        return !is_late && stamp.role == Role::Primary && is_assigned_primary;
    }
    let required = registry.required_position(&group, max_staleness);
    required.is_some_and(|position| stamp.position >= position)
}
