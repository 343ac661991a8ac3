//! What a promotion sets out to do.
use crate::direct::candidate::SyncGroup;
use quincehatch_core::{FencingToken, Name, PrimaryAssignment};

/// The plan of one promotion, drawn up from one observation of the group.
#[derive(Clone, Debug, PartialEq)]
pub struct PromotionPlan {
    /// The group.
    pub group: Name,
    /// The node that carries the promotion out.
    pub coordinator: Name,
    /// Tells the writes of this attempt from those of any other.
    pub attempt: Name,
    /// The assignment, open or closed, that the plan is made for.
    pub primary: Option<PrimaryAssignment>,
    /// The latest fencing token of the group's promotion duty at that moment.
    pub expected_fence: FencingToken,
    /// The server that was the primary, if any.
    pub old_primary: Option<Name>,
    /// All servers of the group, the old primary too.
    pub servers: Vec<Name>,
    /// How many servers the group has; before the first assignment a majority of these must be fenced.
    pub server_count: usize,
    /// The old primary works: it is drained first, and another is preferred to it.
    pub planned: bool,
    /// The server an operator prefers.
    pub preferred: Option<Name>,
    /// The voters of the next assignment.
    pub voters: Vec<Name>,
    /// Of a direct group: how its commits are replicated. None for a pooled group.
    pub sync_group: Option<SyncGroup>,
}
