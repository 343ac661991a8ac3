//! An open transaction and the connection that it uses.
use crate::routing::in_flight::InFlightGuard;
use crate::routing::registry::ServerCheckout;
use quincehatch_config::configuration::Route;
use quincehatch_core::{FencingToken, Millis, Name};

/// A transaction that is open on one connection.
pub struct OpenTransaction {
    /// The connection. When it is dropped, it is closed and the server rolls back.
    pub checkout: Option<ServerCheckout>,
    /// The fence under which the server was primary when the transaction began.
    pub fence: FencingToken,
    /// The server group.
    pub group: Name,
    /// The server that the transaction runs on.
    pub server: Name,
    /// The placement of the route.
    pub placement: Name,
    /// The route of the request that began the transaction.
    pub route: Route,
    /// The tenant that began the transaction, if any.
    pub tenant: Option<Name>,
    /// The digest of all statements so far.
    pub digest: Name,
    /// When a request last used the transaction.
    pub last_used: Millis,
    /// Counts the transaction as in flight; a handover of the group waits for it.
    pub in_flight: InFlightGuard,
}
