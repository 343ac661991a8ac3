//! The phases of a promotion, the events that advance it, and the actions that it requests.
use crate::promotion::ListedServers;
use quincehatch_core::{FencingToken, Name, Position, PrimaryAssignment};

/// The phases of a promotion, in order.
///
/// Each change of phase is logged under the lower-case name, which the simulator's fault schedules match.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The promotion acquires a fencing token above every earlier one.
    AcquiringFence,
    /// The promotion writes an assignment without a server, so that no node sends requests to the old primary.
    Closing,
    /// A planned promotion waits until no request of the group is in flight.
    Draining,
    /// The promotion fences servers until one of them may be chosen.
    Fencing,
    /// The promotion records the voters of the chosen server in the store.
    Listing,
    /// The promotion makes the chosen server the primary.
    Promoting,
    /// The promotion writes the assignment that names the new primary.
    Naming,
    /// The promotion succeeded.
    Done,
    /// The promotion was abandoned.
    Failed,
}

impl Phase {
    /// Returns the name of the phase in metrics.
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

/// An event that a promotion processes.
#[derive(Clone, Debug, PartialEq)]
pub enum PromotionEvent {
    /// Time has passed without any other event.
    Tick,
    /// The store granted a fencing token.
    FenceAcquired(FencingToken),
    /// The closed assignment is in force at every node. It is the store's copy and contains the voter sets in force.
    PrimaryClosed(PrimaryAssignment),
    /// A server now rejects lower fencing tokens; its log ends at the position.
    ServerFenced(Name, Position),
    /// The voters of the chosen server are recorded in the store.
    VotersRecorded,
    /// The server has become the primary.
    ServerPromoted(Name),
    /// The server could not be promoted.
    ServerNotPromoted(Name),
    /// Every live node reports that it has no request of the group in flight.
    Drained,
    /// The assignment that names the new primary is in force at every node.
    PrimaryAnnounced,
    /// Every node that may have forwarded acknowledgements has reported what it acknowledged.
    AcknowledgedUpTo {
        /// No acknowledged commit is beyond this position.
        end: Position,
        /// Some acknowledged commit is at this position or beyond it.
        at_least: Position,
    },
    /// Some nodes have reported what they acknowledged.
    AcknowledgedInPart {
        /// No commit that these nodes acknowledged is beyond this position.
        end: Position,
        /// Some acknowledged commit is at this position or beyond it.
        at_least: Position,
    },
    /// The servers of a direct group, as they are listed now.
    ServersListed(ListedServers),
    /// A higher fencing token was granted: another node has started a promotion.
    Superseded,
}

/// An action that the caller is to carry out. The promotion repeats it until the event that completes it arrives.
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
        /// The assignment to write.
        primary: PrimaryAssignment,
    },
    /// Make a server reject lower fencing tokens, and query the end of its log.
    FenceServer {
        /// The server to fence.
        server: Name,
        /// The promotion's fencing token.
        fence: FencingToken,
    },
    /// Make a server the primary.
    PromoteServer {
        /// The server to promote.
        server: Name,
        /// The promotion's fencing token.
        fence: FencingToken,
        /// The voters of the new primary; a majority of them must acknowledge a commit.
        voters: Vec<Name>,
    },
    /// Query every node for the number of its requests in flight.
    CountInFlight,
    /// Query every node for the highest position that it acknowledged to clients.
    QueryAcknowledged {
        /// The promotion's fencing token.
        fence: FencingToken,
    },
    /// List the servers of a direct group anew: some may have joined since the promotion was planned.
    ListServers,
    /// Write a log line about the promotion's progress.
    Log(String),
}
