//! The ports of held links (§3.6): what a database server can be asked over one, and who promotes. The platform's
//! adapter is one implementation, the simulator's another; decisions stand above them.
use bytes::Bytes;
use quincehatch_core::{FencingToken, Name, Position, Role};
use quincehatch_runtime::seam::BoxFuture;
use quincehatch_wire::http::KeepaliveSettings;
use std::io;
use std::sync::Arc;

/// One thing to be done on a held link. Texts of statements go as the origin gave them (§1 N8).
#[derive(Clone, Debug, PartialEq)]
pub enum ServerCall {
    Begin {
        read: bool,
        floor: Option<Position>,
    },
    /// An origin's read or write. `floor` only on reads: the server declines if its log lacks that place.
    Run {
        id: Bytes,
        text: Bytes,
        floor: Option<Position>,
    },
    /// An origin's prepared text under this side's own name for it; `rest` is what the origin gave behind the name.
    Execute {
        id: Bytes,
        name: Name,
        rest: Bytes,
        floor: Option<Position>,
    },
    Commit {
        id: Bytes,
    },
    Rollback,
    Set {
        name: Bytes,
        value: Bytes,
    },
    Prepare {
        name: Name,
        write: bool,
        shape: Bytes,
    },
    /// Drops settings and prepared texts.
    Reset,
    Status,
    /// A replica stops receiving until it is resumed, another is promoted, or it starts anew.
    Suspend {
        term: u64,
    },
    Resume,
    /// A primary of a lower term becomes a replica.
    Demote {
        term: u64,
    },
}

/// Why a server did not do it. Of the first five nothing was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Every slot is taken.
    Busy,
    /// Its log lacks the floor.
    Behind,
    /// It does not lead.
    NotPrimary,
    /// Another server, or another group's.
    WrongServer,
    /// It holds as many links as it may.
    TooManyConnections,
    /// No such prepared text.
    Unprepared,
    /// It ran and failed, or ran out of time: what it did is undone only with its transaction.
    Failed,
    TimedOut,
    /// What it said is none of these.
    Other,
}

/// Where a link's transaction stands after an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    #[default]
    Idle,
    Open,
    Failed,
}

/// What STATUS, SUSPEND, RESUME and DEMOTE tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerStatus {
    pub role: Role,
    /// The newest term it has heard of.
    pub term: u64,
    /// The end of what it has received.
    pub received: Position,
    /// The term up to which it is held; none: 0.
    pub suspended_term: u64,
    pub lag_ms: u64,
    pub busy_slots: u64,
    pub connections: u64,
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerReply {
    pub rows: Vec<Bytes>,
    /// The server's own stamp, on success; none on what it answers without running anything.
    pub stamp: Option<Bytes>,
    pub rejection: Option<(RejectReason, Bytes)>,
    pub transaction_state: TransactionState,
    /// The end of its log, as it said behind the answer.
    pub log_end: Option<Position>,
    pub status: Option<ServerStatus>,
}

/// A link to one server that holds one session there. After an error of its own it is not used again.
pub trait ServerConnection: Send {
    fn call<'a>(&'a mut self, c: &'a ServerCall) -> BoxFuture<'a, io::Result<ServerReply>>;
    /// An idle link on which something came, or that has ended, is broken.
    fn broken(&mut self) -> Option<io::Error>;
}

/// How a new link began: with the end of the server's log, or with its no.
pub type OpenResult = Result<(Box<dyn ServerConnection>, Option<Position>), (RejectReason, Bytes)>;

pub trait ServerConnector: Send + Sync {
    /// Opens a link to `server` of `group`, or learns that another is there.
    fn connect(
        &self,
        addr: Name,
        group: Name,
        server: Name,
        watch: KeepaliveSettings,
    ) -> BoxFuture<'static, io::Result<OpenResult>>;
}

/// What the answer to a promotion means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionOutcome {
    Done,
    /// A higher fence is out, or that server is not running.
    Rejected,
    /// Not known: the server may lead all the same.
    InDoubt,
}

pub trait Promoter: Send + Sync {
    fn promote(
        &self,
        group: Name,
        server: Name,
        holder: Name,
        fence: FencingToken,
    ) -> BoxFuture<'static, PromotionOutcome>;
}

/// The ports a node is given.
#[derive(Clone)]
pub struct ServerPorts {
    pub servers: Arc<dyn ServerConnector>,
    pub promoter: Arc<dyn Promoter>,
}
