//! The ports of the direct path: the calls on a database server's own connections, and the promotion of servers. The
//! platform's adapter and the simulator implement them; all decisions are made above them.
use bytes::Bytes;
use quincehatch_core::{FencingToken, Name, Position, Role};
use quincehatch_runtime::seam::BoxFuture;
use quincehatch_wire::http::KeepaliveSettings;
use std::io;
use std::sync::Arc;

/// One call on a connection. The texts of statements are forwarded verbatim.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerCall {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
        /// The server rejects the call if its log lacks this position.
        floor: Option<Position>,
    },
    /// Runs a client's read or write.
    Run {
        /// The client's id of the statement.
        id: Bytes,
        /// The text of the statement.
        text: Bytes,
        /// Only on reads: the server rejects the call if its log lacks this position.
        floor: Option<Position>,
    },
    /// Executes a client's prepared statement by the proxy's name for it.
    Execute {
        /// The client's id of the statement.
        id: Bytes,
        /// The proxy's name of the prepared statement.
        name: Name,
        /// The arguments, verbatim.
        arguments: Bytes,
        /// Only on reads: the server rejects the call if its log lacks this position.
        floor: Option<Position>,
    },
    /// Commits the open transaction.
    Commit {
        /// The client's id of the statement.
        id: Bytes,
    },
    /// Rolls back the open transaction.
    Rollback,
    /// Sets a value of the session.
    Set {
        /// The name of the setting.
        name: Bytes,
        /// The value of the setting.
        value: Bytes,
    },
    /// Prepares a statement.
    Prepare {
        /// The proxy's name for the statement.
        name: Name,
        /// Whether the statement writes.
        write: bool,
        /// The text of the statement.
        template: Bytes,
    },
    /// Drops settings and prepared statements.
    Reset,
    /// Requests the server's status.
    Status,
    /// Suspends replication on a replica until it is resumed, another server is promoted, or the replica restarts.
    Suspend {
        /// The term up to which it is suspended.
        term: u64,
    },
    /// Resumes replication on a suspended replica.
    Resume,
    /// Demotes a primary of a lower term to a replica.
    Demote {
        /// The term.
        term: u64,
    },
}

/// Why a server rejected a call. For the first six reasons, nothing was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// All execution slots of the server are in use.
    Busy,
    /// The server's log lacks the required position.
    Behind,
    /// The server is not the primary.
    NotPrimary,
    /// The address belongs to another server or another group.
    WrongServer,
    /// The server accepts no more connections.
    TooManyConnections,
    /// The server has no such prepared statement.
    Unprepared,
    /// The statement ran and failed. Its effects are undone only with its transaction.
    Failed,
    /// The statement timed out. Its effects are undone only with its transaction.
    TimedOut,
    /// The server gave another reason.
    Other,
}

/// A server's rejection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The reason.
    pub reason: RejectReason,
    /// The server's text, forwarded verbatim.
    pub text: Bytes,
}

impl Rejection {
    /// Creates a rejection without a text.
    pub fn without_text(reason: RejectReason) -> Rejection {
        Rejection { reason, text: Bytes::new() }
    }
}

/// The state of a connection's transaction after a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction has failed and can only be rolled back.
    Failed,
}

/// The server's status, as the calls `Status`, `Suspend`, `Resume` and `Demote` return it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerStatus {
    /// The role of the server.
    pub role: Role,
    /// The highest term that the server has received.
    pub term: u64,
    /// The end of the log that the server has received.
    pub received: Position,
    /// The term up to which the server is suspended; 0 if it is not suspended.
    pub suspended_term: u64,
    /// The replication lag, in milliseconds.
    pub lag_ms: u64,
    /// The number of execution slots in use.
    pub busy_slots: u64,
    /// The number of open connections.
    pub connections: u64,
}

/// A complete reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerReply {
    /// The rows of a success.
    pub rows: Vec<Bytes>,
    /// The server's own stamp on success; `None` on answers for which the server ran nothing.
    pub stamp: Option<Bytes>,
    /// The rejection, if the call was rejected.
    pub rejection: Option<Rejection>,
    /// The state of the connection's transaction.
    pub transaction_state: TransactionState,
    /// The end of the server's log, as reported after the reply.
    pub log_end: Option<Position>,
    /// The server's status, for the calls that request it.
    pub status: Option<ServerStatus>,
}

/// A connection to one server with one session on it. After an I/O error the connection is not used again.
pub trait ServerConnection: Send {
    /// Makes a call and waits for the complete reply.
    fn call<'a>(&'a mut self, call: &'a ServerCall) -> BoxFuture<'a, io::Result<ServerReply>>;
    /// Returns the error if this idle connection has ended or received unexpected data.
    fn idle_error(&mut self) -> Option<io::Error>;
}

/// A newly opened connection.
pub struct OpenedConnection {
    /// The connection.
    pub connection: Box<dyn ServerConnection>,
    /// The end of the server's log, if the server reported it.
    pub log_end: Option<Position>,
}

/// The result of opening a connection, which the server may reject.
pub type OpenResult = Result<OpenedConnection, Rejection>;

/// The parameters of a connection to be opened.
#[derive(Clone, Debug)]
pub struct ConnectRequest {
    /// The server's address.
    pub addr: Name,
    /// The group that the server must belong to.
    pub group: Name,
    /// The server that is expected at the address.
    pub server: Name,
    /// The tenant on whose behalf statements run on the connection, as sent to the server; `None` for the proxy itself
    /// and for clients without a tenant.
    pub tenant: Option<Name>,
    /// The TCP keep-alive settings of the connection.
    pub keepalive: KeepaliveSettings,
}

/// Opens connections to servers.
pub trait ServerConnector: Send + Sync {
    /// Opens a connection, or rejects it if another server has the address.
    fn connect(&self, request: ConnectRequest) -> BoxFuture<'static, io::Result<OpenResult>>;
}

/// The outcome of a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The server is primary.
    Done,
    /// A higher fence was issued, or the server is not running.
    Rejected,
    /// The outcome is unknown: the server may have been promoted.
    InDoubt,
}

/// Promotes servers.
pub trait Promoter: Send + Sync {
    /// Requests the promotion of `server` to primary of `group` under `fence`, on behalf of the lease holder `holder`.
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
