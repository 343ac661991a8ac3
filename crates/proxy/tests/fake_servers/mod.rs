//! A group of fake servers that implements the server port, with faults that tests inject.
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

/// The fault of one read, write or commit at a server.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The server rejects it.
    Reject(RejectReason),
    /// The connection breaks before it runs.
    DisconnectBefore,
    /// It runs, and the connection breaks before the reply.
    DisconnectAfter,
    /// It runs, and no reply arrives.
    NoReply,
    /// No fault: it runs, and the reply arrives.
    #[allow(dead_code, reason = "only the test of all fault sequences names it")]
    None,
}

/// One server of the group.
#[derive(Default)]
pub struct FakeServer {
    /// The calls that were run on the server, each with the settings in force.
    pub ran: Vec<String>,
    /// The faults of the next reads, writes and commits.
    pub faults: VecDeque<Fault>,
    /// The number of connections that the server is still to reject as its connection limit is reached.
    pub connections_to_reject: usize,
    /// The number of connections that were opened.
    pub connections_opened: usize,
}

/// The state of the group.
#[derive(Default)]
pub struct GroupState {
    pub servers: BTreeMap<Name, FakeServer>,
    /// The committed writes, regardless of the server on which they ran.
    pub committed: Vec<String>,
}

/// The group, which the proxy uses as its server connector.
#[derive(Clone, Default)]
pub struct FakeGroup(pub Arc<Mutex<GroupState>>);

impl FakeGroup {
    /// Calls `work` with the state of one server.
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
