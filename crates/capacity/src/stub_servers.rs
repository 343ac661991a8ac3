//! Stub servers, which hollow nodes use in place of database servers. They answer each call immediately without work.
use bytes::Bytes;
use quincehatch_core::{FencingToken, Name, Position, Role};
use quincehatch_proxy::ports::{
    ConnectRequest, OpenResult, OpenedConnection, Promoter, PromotionOutcome, ServerCall, ServerConnection,
    ServerConnector, ServerPorts, ServerReply, ServerStatus,
};
use quincehatch_runtime::seam::BoxFuture;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Suffix of the names of primaries (see [`crate::samples::server_record`]).
const PRIMARY_SUFFIX: &str = "-0";
/// The position that every server reports, and its stamp in the servers' own protocol.
const POSITION: Position = Position { fence: 1, number: 1 };
const STAMP: &[u8] = b"1.1";

/// All stub servers. Clones share one counter of calls.
#[derive(Clone, Default)]
pub struct StubServers {
    calls: Arc<AtomicU64>,
}

struct StubConnection {
    calls: Arc<AtomicU64>,
    role: Role,
}

impl StubServers {
    /// Returns the ports through which a node uses these servers.
    pub fn ports(&self) -> ServerPorts {
        ServerPorts { servers: Arc::new(self.clone()), promoter: Arc::new(self.clone()) }
    }

    /// Returns how many calls all servers have received.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

impl ServerConnector for StubServers {
    fn connect(&self, request: ConnectRequest) -> BoxFuture<'static, io::Result<OpenResult>> {
        let role = if request.server.ends_with(PRIMARY_SUFFIX) { Role::Primary } else { Role::Replica };
        let connection: Box<dyn ServerConnection> =
            Box::new(StubConnection { calls: self.calls.clone(), role });
        Box::pin(async move { Ok(Ok(OpenedConnection { connection, log_end: None })) })
    }
}

impl ServerConnection for StubConnection {
    fn call<'call>(&'call mut self, _call: &'call ServerCall) -> BoxFuture<'call, io::Result<ServerReply>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let status = ServerStatus { role: self.role, term: 1, received: POSITION, ..ServerStatus::default() };
        let reply = ServerReply {
            status: Some(status),
            stamp: Some(Bytes::from_static(STAMP)),
            log_end: Some(POSITION),
            ..ServerReply::default()
        };
        Box::pin(async move { Ok(reply) })
    }

    fn idle_error(&mut self) -> Option<io::Error> {
        None
    }
}

impl Promoter for StubServers {
    fn promote(
        &self,
        _group: Name,
        _server: Name,
        _addr: Name,
        _fence: FencingToken,
    ) -> BoxFuture<'static, PromotionOutcome> {
        Box::pin(async { PromotionOutcome::Rejected })
    }
}
