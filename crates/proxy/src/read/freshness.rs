//! Whether the answer to a read is fresh enough.
use crate::routing::registry::Registry;
use crate::routing::server_choice::{ChoiceReason, ServerChoice};
use crate::staleness;
use quincehatch_core::{Millis, Role, Stamp};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;

/// A server that was asked, and when.
pub struct AskedServer<'a> {
    /// The server, and why it was chosen.
    pub choice: &'a ServerChoice,
    /// When the request left.
    pub at: Millis,
}

/// Whether the rows are proved, by this node's clock alone, to be no more than `max_staleness` behind.
pub fn is_fresh(registry: &Registry, asked: &AskedServer<'_>, stamp: &Stamp, max_staleness: Millis) -> bool {
    if seam::injected_bug("stale-lookup") {
        return true;
    }
    if !registry.has_lease() {
        return false;
    }
    let group = asked.choice.server.group();
    if asked.choice.reason == ChoiceReason::Primary {
        let is_named = registry.primary(&group).is_some_and(|primary| {
            primary.fence == stamp.fence && primary.server.as_ref() == Some(&stamp.server)
        });
        // Fresh when it was asked; a node that was paused since must not pass it on as fresh now.
        let is_late = now() > asked.at + max_staleness.saturating_sub(staleness::MARGIN);
        return !is_late && stamp.role == Role::Primary && is_named;
    }
    let needed = registry.needed_position(&group, max_staleness);
    needed.is_some_and(|position| stamp.position >= position)
}
