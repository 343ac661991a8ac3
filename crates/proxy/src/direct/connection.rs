//! A connection to a server, and the session state that the server holds for it.
use crate::ports::{ServerCall, ServerConnection, ServerReply};
use bytes::Bytes;
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::now;
use std::collections::{BTreeMap, HashSet};
use std::io;

/// The settings of a session, by name.
pub type SessionSettings = BTreeMap<Bytes, Bytes>;

/// Why a call on a connection got no valid reply.
#[derive(Debug)]
pub enum ConnectionError {
    /// The connection broke, or the server sent a reply that violates the protocol.
    Broke(io::Error),
    /// The reply did not arrive within the call's timeout.
    TimedOut,
}

impl ConnectionError {
    /// Returns the error for a reply or call that violates the protocol.
    pub(super) fn protocol(cause: &str) -> ConnectionError {
        ConnectionError::Broke(io::Error::new(io::ErrorKind::InvalidData, cause))
    }
}

/// A connection to a server.
pub struct Connection {
    server: Box<dyn ServerConnection>,
    /// The tenant that was sent to the server when the connection was opened. Only this tenant's statements run on it.
    pub tenant: Option<Name>,
    /// The settings in force at the server.
    pub settings: SessionSettings,
    /// The proxy's names of the statements that are prepared at the server.
    pub prepared: HashSet<Name>,
    /// The length of their texts, in bytes.
    pub prepared_bytes: usize,
    /// When the last call on it ended.
    pub last_used: Millis,
    /// Whether a call was started and its reply was not received, because the call is running, has failed or was
    /// cancelled. After a failed or cancelled call the connection is never used again, as the late reply could be
    /// mistaken for the reply to another call.
    reply_pending: bool,
}

impl Connection {
    /// Wraps a connection that was just opened for a tenant.
    pub fn new(server: Box<dyn ServerConnection>, tenant: Option<Name>) -> Connection {
        let (settings, prepared) = (SessionSettings::new(), HashSet::new());
        let (prepared_bytes, reply_pending) = (0, false);
        Connection { server, tenant, settings, prepared, prepared_bytes, last_used: now(), reply_pending }
    }

    /// Returns the reason why an idle connection must not be used, if it was closed or received unsolicited data.
    pub fn idle_error(&mut self) -> Option<io::Error> {
        self.server.idle_error()
    }

    /// Whether another call may be sent on it.
    pub fn is_usable(&self) -> bool {
        !self.reply_pending
    }

    /// Forgets the statements that were prepared at the server.
    pub(super) fn clear_prepared(&mut self) {
        self.prepared.clear();
        self.prepared_bytes = 0;
    }

    /// Sends a call and waits for its reply. If it fails or is cancelled, the connection is not usable any more.
    pub(super) async fn exchange(&mut self, call: &ServerCall) -> io::Result<ServerReply> {
        self.reply_pending = true;
        let reply = self.server.call(call).await?;
        self.reply_pending = false;
        self.last_used = now();
        Ok(reply)
    }
}
