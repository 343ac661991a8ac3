//! A connection to a server, and the session state that it carries there.
use crate::ports::{ServerCall, ServerConnection, ServerReply};
use bytes::Bytes;
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::now;
use std::collections::{BTreeMap, HashSet};
use std::io;

/// The settings of a session, by name.
pub type SessionSettings = BTreeMap<Bytes, Bytes>;

/// Why a connection brought no answer.
#[derive(Debug)]
pub enum ConnectionError {
    /// It broke, or the server answered what no server answers.
    Broke(io::Error),
    /// No answer came in the time given for it.
    TimedOut,
}

impl ConnectionError {
    /// The server answered what the protocol does not allow.
    pub(super) fn protocol(cause: &str) -> ConnectionError {
        ConnectionError::Broke(io::Error::new(io::ErrorKind::InvalidData, cause))
    }
}

/// A connection to a server.
pub struct Connection {
    server: Box<dyn ServerConnection>,
    /// For whom statements run on it, as the server was told when it was opened. It serves nobody else.
    pub tenant: Option<Name>,
    /// The settings in force at the server.
    pub settings: SessionSettings,
    /// The statements that are prepared at the server, by the proxy's names.
    pub prepared: HashSet<Name>,
    /// When the last call on it ended.
    pub last_used: Millis,
    /// A call was begun and not answered, whether it failed or was cancelled: the connection is never used again, as
    /// the answer might be taken for that of another call.
    reply_pending: bool,
}

impl Connection {
    /// A connection that was just opened for a tenant.
    pub fn new(server: Box<dyn ServerConnection>, tenant: Option<Name>) -> Connection {
        let (settings, prepared) = (SessionSettings::new(), HashSet::new());
        Connection { server, tenant, settings, prepared, last_used: now(), reply_pending: false }
    }

    /// Why the idle connection must not be used, if it ended or something came on it unasked.
    pub fn broken(&mut self) -> Option<io::Error> {
        self.server.broken()
    }

    /// Whether another call may be sent on it.
    pub fn is_usable(&self) -> bool {
        !self.reply_pending
    }

    /// One call and its answer. After an error, or when cancelled, the connection is not usable any more.
    pub(super) async fn exchange(&mut self, call: &ServerCall) -> io::Result<ServerReply> {
        self.reply_pending = true;
        let reply = self.server.call(call).await?;
        self.reply_pending = false;
        self.last_used = now();
        Ok(reply)
    }
}
