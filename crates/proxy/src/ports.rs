//! The ports of the direct path: what a database server can be asked over a connection of its own protocol, and who
//! promotes servers. The platform's adapter implements them, and so does the simulator; decisions are made above them.
use bytes::Bytes;
use quincehatch_core::{FencingToken, Name, Position, Role};
use quincehatch_runtime::seam::BoxFuture;
use quincehatch_wire::http::KeepaliveSettings;
use std::io;
use std::sync::Arc;

/// One call on a connection. Texts of statements are passed on as the client gave them.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerCall {
    /// Begins a transaction.
    Begin {
        /// It reads only.
        read_only: bool,
        /// The server rejects the call if its log lacks this position.
        floor: Option<Position>,
    },
    /// A client's read or write.
    Run {
        /// The client's id of the statement.
        id: Bytes,
        /// Its text.
        text: Bytes,
        /// Only on reads: the server rejects the call if its log lacks this position.
        floor: Option<Position>,
    },
    /// A client's prepared statement, under this side's own name for it.
    Execute {
        /// The client's id of the statement.
        id: Bytes,
        /// This side's name of the prepared statement.
        name: Name,
        /// The arguments, as the client gave them.
        arguments: Bytes,
        /// Only on reads: the server rejects the call if its log lacks this position.
        floor: Option<Position>,
    },
    /// Commits the open transaction.
    Commit {
        /// The client's id of the statement.
        id: Bytes,
    },
    /// Rolls the open transaction back.
    Rollback,
    /// Sets a value of the session.
    Set {
        /// Name of the setting.
        name: Bytes,
        /// Its value.
        value: Bytes,
    },
    /// Prepares a statement.
    Prepare {
        /// This side's name for it.
        name: Name,
        /// It writes.
        write: bool,
        /// Its text.
        template: Bytes,
    },
    /// Drops settings and prepared statements.
    Reset,
    /// Asks for the server's status.
    Status,
    /// A replica stops receiving until it is resumed, another server is promoted, or it starts anew.
    Suspend {
        /// The term up to which it is suspended.
        term: u64,
    },
    /// A suspended replica receives again.
    Resume,
    /// A primary of a lower term becomes a replica.
    Demote {
        /// The term.
        term: u64,
    },
}

/// Why a server rejected a call. After the first six nothing was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Every slot is taken.
    Busy,
    /// Its log lacks the position that was asked for.
    Behind,
    /// It is not the primary.
    NotPrimary,
    /// It is another server, or another group's.
    WrongServer,
    /// It takes no more connections.
    TooManyConnections,
    /// It has no such prepared statement.
    Unprepared,
    /// The statement ran and failed: what it did is undone only with its transaction.
    Failed,
    /// The statement ran out of time; the same goes for what it did.
    TimedOut,
    /// What the server said is none of these.
    Other,
}

/// A server's rejection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectReason,
    /// The server's text, passed on as it came.
    pub text: Bytes,
}

impl Rejection {
    /// A rejection without a text.
    pub fn without_text(reason: RejectReason) -> Rejection {
        Rejection { reason, text: Bytes::new() }
    }
}

/// State of a connection's transaction after a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    /// There is none.
    #[default]
    Idle,
    /// One is open.
    Open,
    /// One is open and failed: it can only be rolled back.
    Failed,
}

/// What the calls `Status`, `Suspend`, `Resume` and `Demote` bring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerStatus {
    /// Its role.
    pub role: Role,
    /// The newest term it has heard of.
    pub term: u64,
    /// The end of what it has received.
    pub received: Position,
    /// The term up to which it is suspended; 0 if it is not.
    pub suspended_term: u64,
    /// How far it is behind, in milliseconds.
    pub lag_ms: u64,
    /// Slots that are taken.
    pub busy_slots: u64,
    /// Open connections.
    pub connections: u64,
}

/// A complete reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerReply {
    /// The rows of a success.
    pub rows: Vec<Bytes>,
    /// The server's own stamp, on success; none on what it answers without running anything.
    pub stamp: Option<Bytes>,
    /// Why it was rejected.
    pub rejection: Option<Rejection>,
    /// State of the connection's transaction.
    pub transaction_state: TransactionState,
    /// The end of the server's log, as it said behind the reply.
    pub log_end: Option<Position>,
    /// What the calls that ask for a status bring.
    pub status: Option<ServerStatus>,
}

/// A connection to one server with one session on it. After an error of its own it is not used again.
pub trait ServerConnection: Send {
    /// Makes a call and waits for the complete reply.
    fn call<'a>(&'a mut self, call: &'a ServerCall) -> BoxFuture<'a, io::Result<ServerReply>>;
    /// An idle connection on which something came, or that has ended, is broken.
    fn idle_error(&mut self) -> Option<io::Error>;
}

/// A connection that was opened.
pub struct OpenedConnection {
    /// The connection.
    pub connection: Box<dyn ServerConnection>,
    /// The end of the server's log, if it said so.
    pub log_end: Option<Position>,
}

/// How opening a connection ended: the server may reject it.
pub type OpenResult = Result<OpenedConnection, Rejection>;

/// Which connection is to be opened.
#[derive(Clone, Debug)]
pub struct ConnectRequest {
    /// The server's address.
    pub addr: Name,
    /// The group that the server is to be of.
    pub group: Name,
    /// The server that is to have the address.
    pub server: Name,
    /// The tenant for whom statements run on the connection, as the server is told; `None` for the proxy itself and for
    /// clients without a tenant.
    pub tenant: Option<Name>,
    /// Keep-alive of the connection.
    pub keepalive: KeepaliveSettings,
}

/// Opens connections to servers.
pub trait ServerConnector: Send + Sync {
    /// Opens a connection, or finds out that another server has the address.
    fn connect(&self, request: ConnectRequest) -> BoxFuture<'static, io::Result<OpenResult>>;
}

/// What the answer to a promotion means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The server is primary.
    Done,
    /// A higher fence is out, or that server is not running.
    Rejected,
    /// Not known: the server may be primary all the same.
    InDoubt,
}

/// Promotes servers.
pub trait Promoter: Send + Sync {
    /// Asks for `server` to become primary of `group` under `fence`, on behalf of the lease holder `holder`.
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
    /// Opens connections to servers.
    pub servers: Arc<dyn ServerConnector>,
    /// Promotes servers.
    pub promoter: Arc<dyn Promoter>,
}
