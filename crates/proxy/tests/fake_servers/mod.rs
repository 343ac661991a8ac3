//! A group of servers behind the server port, whose faults come as a test orders them.
mod connection;
mod fixture;
mod responses;

pub use fixture::Fixture;
#[allow(unused_imports, reason = "the platform's tests have a client of their own")]
pub use fixture::{execute, read, write};
#[allow(unused_imports, reason = "not each test file checks responses")]
pub use responses::{assert_stamped, error, proxy_error};

use connection::FakeConnection;
use quincehatch_core::Name;
use quincehatch_proxy::ports::{
    ConnectRequest, OpenResult, OpenedConnection, RejectReason, Rejection, ServerConnection, ServerConnector,
};
use quincehatch_runtime::seam::BoxFuture;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::{Arc, Mutex};

/// What becomes of the next read, write or commit at a server.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The server rejects it.
    Reject(RejectReason),
    /// The connection breaks before it runs.
    DisconnectBefore,
    /// It runs, and the connection breaks before the reply.
    DisconnectAfter,
    /// It runs, and no reply comes.
    NoReply,
    /// None: it runs and is answered.
    #[allow(dead_code, reason = "only the test of all fault sequences names it")]
    None,
}

/// One server of the group.
#[derive(Default)]
pub struct FakeServer {
    /// What was run there, with the settings it ran under.
    pub ran: Vec<String>,
    /// The faults of the calls to come.
    pub faults: VecDeque<Fault>,
    /// Connections that the server rejects, as it has as many as it takes.
    pub connections_to_reject: usize,
    /// Connections that were opened.
    pub connections_opened: usize,
}

/// The servers, and what the group has committed.
#[derive(Default)]
pub struct GroupState {
    pub servers: BTreeMap<Name, FakeServer>,
    /// Writes that were committed, at whichever server was the primary.
    pub committed: Vec<String>,
}

/// The group, as the connector that the proxy is given.
#[derive(Clone, Default)]
pub struct FakeGroup(pub Arc<Mutex<GroupState>>);

impl FakeGroup {
    /// Works on one server.
    pub fn with_server<T>(&self, name: &str, work: impl FnOnce(&mut FakeServer) -> T) -> T {
        let mut state = self.0.lock().unwrap();
        work(state.servers.get_mut(name).expect("a server of the group"))
    }
}

impl ServerConnector for FakeGroup {
    fn connect(&self, request: ConnectRequest) -> BoxFuture<'static, io::Result<OpenResult>> {
        let (group, server) = (self.clone(), request.server);
        Box::pin(async move {
            group.0.lock().unwrap().servers.entry(server.clone()).or_default();
            let full = group.with_server(&server, |server| {
                let full = server.connections_to_reject > 0;
                server.connections_to_reject -= usize::from(full);
                server.connections_opened += usize::from(!full);
                full
            });
            if full {
                return Ok(Err(Rejection::without_text(RejectReason::TooManyConnections)));
            }
            let connection: Box<dyn ServerConnection> = Box::new(FakeConnection::new(group, server));
            Ok(Ok(OpenedConnection { connection, log_end: None }))
        })
    }
}
