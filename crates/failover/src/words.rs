//! What goes into a promotion's steps and what comes out of them (§5.5).
use quincehatch_core::{FencingToken, Name, Position, PrimaryAssignment, messages};

messages! {
    #[derive(Copy, Eq)]
    pub enum Phase { AcquiringFence, Closing, Draining, Fencing, Listing, Promoting, Naming, Done, Failed }
}

#[derive(Clone, Debug, PartialEq)]
pub enum PromotionEvent {
    Tick,
    /// The chain gave a fence.
    FenceAcquired(FencingToken),
    /// The close is in force at every node: the entry as the chain has it, with the lists that hold.
    PrimaryClosed(PrimaryAssignment),
    /// A server declines lower fences now; its log ends there.
    ServerFenced(Name, Position),
    /// The list that the chosen server is to count on stands in the chain.
    VotersRecorded,
    ServerPromoted(Name),
    /// The server could not be promoted.
    ServerNotPromoted(Name),
    /// Every live node says that nothing of the group is under way there.
    Drained,
    PrimaryAnnounced,
    /// Every node that may have passed on acknowledgements told the end of these.
    AcknowledgedUpTo(Position),
    /// A higher fence is out: another node has taken this over.
    Superseded,
}

#[derive(Clone, Debug, PartialEq)]
pub enum PromotionAction {
    AcquireFence {
        key: Name,
    },
    WritePrimary {
        key: Name,
        primary: PrimaryAssignment,
    },
    FenceServer {
        server: Name,
        fence: FencingToken,
    },
    PromoteServer {
        server: Name,
        fence: FencingToken,
        voters: Vec<Name>,
    },
    /// Ask every node what is under way there.
    CountInFlight,
    /// Ask every node for the end of what it passed on as acknowledged.
    QueryAcknowledged,
    Log(String),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub struct PromotionPlan {
    pub group: Name,
    pub coordinator: Name,
    /// Tells this attempt's writes from any other's.
    pub attempt: Name,
    /// The lead, or the close, that this is planned for.
    pub primary: Option<PrimaryAssignment>,
    /// The newest fence of the group's duty at that moment.
    pub expected_fence: FencingToken,
    pub old_primary: Option<Name>,
    /// All servers of the group, the old primary too.
    pub servers: Vec<Name>,
    /// How many servers the group has; before the first lead a majority of these must be fenced.
    pub server_count: usize,
    /// The old primary is well: drain it first, and do not choose it.
    pub planned: bool,
    pub preferred: Option<Name>,
    /// Servers that are to count under the next.
    pub voters: Vec<Name>,
    /// Where commits go by receiving replicas: which servers these are.
    pub sync_group: Option<crate::sync::Group>,
}
