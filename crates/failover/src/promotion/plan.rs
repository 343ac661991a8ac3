//! The plan of a promotion.
use crate::direct::candidate::SyncGroup;
use quincehatch_core::{FencingToken, Name, PrimaryAssignment};

/// The plan of one promotion, made from one observation of the group.
#[derive(Clone, Debug, PartialEq)]
pub struct PromotionPlan {
    /// The group to promote a primary in.
    pub group: Name,
    /// The node that carries the promotion out.
    pub coordinator: Name,
    /// The identifier of this attempt; it distinguishes its writes from those of any other attempt.
    pub attempt: Name,
    /// The assignment, open or closed, that the promotion replaces.
    pub primary: Option<PrimaryAssignment>,
    /// The latest fencing token of the group's promotion duty when the plan was made.
    pub expected_fence: FencingToken,
    /// The server that was the primary, if any.
    pub old_primary: Option<Name>,
    /// All servers of the group, including the old primary.
    pub servers: Vec<Name>,
    /// The number of servers in the group; before the first assignment a majority of them must be fenced.
    pub server_count: usize,
    /// Whether calls of earlier promotions may be open at the platform, for which it promotes other servers.
    pub earlier_calls: bool,
    /// Whether the old primary still works: it is drained first, and another server is preferred to it.
    pub planned: bool,
    /// The server that an operator prefers.
    pub preferred: Option<Name>,
    /// The voters of the next assignment.
    pub voters: Vec<Name>,
    /// The replication settings of a direct group; `None` for a pooled group.
    pub sync_group: Option<SyncGroup>,
}

/// The servers of a direct group after its assignment was closed.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServers {
    /// All servers of the group, including the old primary.
    pub servers: Vec<Name>,
    /// The voters of the next assignment.
    pub voters: Vec<Name>,
    /// The replication settings and the servers that may hold acknowledged commits.
    pub sync_group: SyncGroup,
}
