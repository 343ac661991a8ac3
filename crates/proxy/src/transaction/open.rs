//! An open transaction and the connection it holds.
use crate::routing::in_flight::InFlightGuard;
use crate::routing::registry::ServerCheckout;
use quincehatch_config::configuration::Route;
use quincehatch_core::{FencingToken, Millis, Name};

/// A transaction that is open on a connection.
pub struct OpenTransaction {
    /// The connection; dropped, it is closed and the server rolls back.
    pub checkout: Option<ServerCheckout>,
    /// The fence under which its server was primary when it began.
    pub fence: FencingToken,
    /// Its group.
    pub group: Name,
    /// Its server.
    pub server: Name,
    /// The placement of its route.
    pub placement: Name,
    /// The route it takes.
    pub route: Route,
    /// For whom it began.
    pub tenant: Option<Name>,
    /// Digest of all statements so far.
    pub digest: Name,
    /// When a request last used it.
    pub last_used: Millis,
    /// A handover of its group waits for it.
    pub in_flight: InFlightGuard,
}
