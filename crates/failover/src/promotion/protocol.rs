//! The phases of a promotion, the events that advance it, and the actions it asks for.
use quincehatch_core::{FencingToken, Name, Position, PrimaryAssignment};

/// The phases of a promotion, in their order.
///
/// The log tells each change of phase by the lower-case name, which the simulator's fault schedules match.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Acquires a fencing token above every earlier one.
    AcquiringFence,
    /// Writes an assignment without a server, so that no node sends anything to the old primary.
    Closing,
    /// Of a planned promotion: waits for what is in flight.
    Draining,
    /// Fences servers until one may be chosen.
    Fencing,
    /// Records the voters that the chosen server will have.
    Listing,
    /// Makes the chosen server the primary.
    Promoting,
    /// Writes the assignment that names it.
    Naming,
    /// The promotion succeeded.
    Done,
    /// The promotion was given up.
    Failed,
}

impl Phase {
    /// The phase's name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Phase::AcquiringFence => "acquiring_fence",
            Phase::Closing => "closing",
            Phase::Draining => "draining",
            Phase::Fencing => "fencing",
            Phase::Listing => "listing",
            Phase::Promoting => "promoting",
            Phase::Naming => "naming",
            Phase::Done => "done",
            Phase::Failed => "failed",
        }
    }
}

/// What a promotion learns.
#[derive(Clone, Debug, PartialEq)]
pub enum PromotionEvent {
    /// Nothing but that time has passed.
    Tick,
    /// The store granted a fencing token.
    FenceAcquired(FencingToken),
    /// The closed assignment is in force at every node: as the store has it, with the voter sets that hold.
    PrimaryClosed(PrimaryAssignment),
    /// A server rejects lower fencing tokens from now on; its log ends at the position.
    ServerFenced(Name, Position),
    /// The voters of the chosen server are recorded in the store.
    VotersRecorded,
    /// The server is the primary.
    ServerPromoted(Name),
    /// The server could not be promoted.
    ServerNotPromoted(Name),
    /// Every live node reports that nothing of the group is in flight there.
    Drained,
    /// The assignment that names the new primary is in force at every node.
    PrimaryAnnounced,
    /// Every node that may have passed on acknowledgements reported the end of these.
    AcknowledgedUpTo(Position),
    /// A higher fencing token was granted: another node has taken over.
    Superseded,
}

/// What a promotion asks its caller to do. Each is asked for again until the event that answers it is in.
#[derive(Clone, Debug, PartialEq)]
pub enum PromotionAction {
    /// Acquire a fencing token from the store.
    AcquireFence {
        /// The idempotency key of the write.
        key: Name,
    },
    /// Write the group's assignment to the store.
    WritePrimary {
        /// The idempotency key of the write.
        key: Name,
        /// The assignment.
        primary: PrimaryAssignment,
    },
    /// Make a server reject lower fencing tokens, and learn where its log ends.
    FenceServer {
        /// The server.
        server: Name,
        /// The promotion's fencing token.
        fence: FencingToken,
    },
    /// Make a server the primary.
    PromoteServer {
        /// The server.
        server: Name,
        /// The promotion's fencing token.
        fence: FencingToken,
        /// The servers whose majority acknowledges its commits.
        voters: Vec<Name>,
    },
    /// Ask every node what is in flight there.
    CountInFlight,
    /// Ask every node for the end of what it passed on as acknowledged.
    QueryAcknowledged,
    /// Record a line of the promotion's progress.
    Log(String),
}
