//! What goes into a promotion's steps and what comes out of them (§5.5).
use quincehatch_core::{FencingToken, PrimaryAssignment, Name, Position, messages};

messages! {
    #[derive(Copy, Eq)]
    pub enum Phase { Taking, Closing, Draining, Fencing, Listing, Promoting, Naming, Done, Failed }
}

#[derive(Clone, Debug, PartialEq)]
pub enum In {
    Tick,
    /// The chain gave a fence.
    Fence(FencingToken),
    /// The close is in force at every node: the entry as the chain has it, with the lists that hold.
    Closed(PrimaryAssignment),
    /// A server declines lower fences now; its log ends there.
    Fenced(Name, Position),
    /// The list that the chosen server is to count on stands in the chain.
    Listed,
    Promoted(Name),
    /// The server could not be promoted.
    NotPromoted(Name),
    /// Every live node says that nothing of the group is under way there.
    Drained,
    Named,
    /// Every node that may have passed on acknowledgements told the end of these.
    Acked(Position),
    /// A higher fence is out: another node has taken this over.
    Overtaken,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    TakeFence {
        key: Name,
    },
    SetLead {
        key: Name,
        lead: PrimaryAssignment,
    },
    FenceServer {
        server: Name,
        fence: FencingToken,
    },
    Promote {
        server: Name,
        fence: FencingToken,
        counts: Vec<Name>,
    },
    /// Ask every node what is under way there.
    CountOpen,
    /// Ask every node for the end of what it passed on as acknowledged.
    AskAcked,
    Say(String),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub group: Name,
    pub by: Name,
    /// Tells this attempt's writes from any other's.
    pub attempt: Name,
    /// The lead, or the close, that this is planned for.
    pub lead: Option<PrimaryAssignment>,
    /// The newest fence of the group's duty at that moment.
    pub over: FencingToken,
    pub old: Option<Name>,
    /// All servers of the group, the old primary too.
    pub servers: Vec<Name>,
    /// How many servers the group has; before the first lead a majority of these must be fenced.
    pub copies: usize,
    /// The old primary is well: drain it first, and do not choose it.
    pub planned: bool,
    pub want: Option<Name>,
    /// Servers that are to count under the next.
    pub counts: Vec<Name>,
    /// Where commits go by receiving replicas: which servers these are.
    pub sync: Option<crate::sync::Group>,
}
