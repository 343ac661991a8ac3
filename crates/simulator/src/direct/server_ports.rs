//! The ports through which a simulated node calls the servers and the promoter.
use super::connection::{Connection, OpenedConnection};
use super::delivery::{Delivery, deliver};
use super::server::MAX_CONNECTIONS;
use super::server_group::{GroupState, ServerGroup};
use crate::fleet::simulation::ProcessId;
use quincehatch_core::{FencingToken, Millis, Name};
use quincehatch_proxy::ports::{
    self, ConnectRequest, OpenResult, Promoter, PromotionOutcome, RejectReason, Rejection, ServerCall,
    ServerConnection, ServerConnector, ServerPorts, ServerReply,
};
use quincehatch_runtime::seam::{self, BoxFuture};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a node waits for the promoter's answer.
const PROMOTE_TIMEOUT: Duration = Duration::from_secs(10);

/// The group as one node sees it.
struct NodeView {
    group: Arc<ServerGroup>,
    node: ProcessId,
}

/// Returns the ports through which a node calls the servers and the promoter.
pub fn server_ports(group: &Arc<ServerGroup>, node: ProcessId) -> ServerPorts {
    let view = || NodeView { group: group.clone(), node };
    ServerPorts { servers: Arc::new(view()), promoter: Arc::new(view()) }
}

/// Returns the connector through which a node connects to the servers.
pub fn server_connector(group: &Arc<ServerGroup>, node: ProcessId) -> Arc<dyn ServerConnector> {
    Arc::new(NodeView { group: group.clone(), node })
}

/// A node's end of a connection.
struct NodeConnection {
    group: Arc<ServerGroup>,
    id: u64,
    broken: Arc<AtomicBool>,
}

impl Drop for NodeConnection {
    fn drop(&mut self) {
        self.group.close(self.id);
    }
}

fn connection_reset() -> io::Error {
    io::ErrorKind::ConnectionReset.into()
}

impl ServerConnection for NodeConnection {
    fn call<'call>(&'call mut self, call: &'call ServerCall) -> BoxFuture<'call, io::Result<ServerReply>> {
        let (tx, rx) = oneshot::channel();
        self.group.send_request(self.id, call.clone(), tx);
        Box::pin(async move {
            let result = rx.await.unwrap_or_else(|_| Err(connection_reset()));
            if result.is_err() {
                self.broken.store(true, Ordering::SeqCst);
            }
            result
        })
    }

    fn idle_error(&mut self) -> Option<io::Error> {
        self.broken.load(Ordering::SeqCst).then(connection_reset)
    }
}

/// A server's answer to a connection request.
type Opened = io::Result<Result<OpenedConnection, RejectReason>>;

impl NodeView {
    /// Requests a connection from a server and sends the answer to `tx`. If the receiver is gone by then, the
    /// connection is closed.
    fn request_connection(&self, request: ConnectRequest, tx: oneshot::Sender<Opened>) {
        let Some(simulation) = self.group.simulation() else { return };
        let Some(index) = self.group.with(|state| state.server_at(&request.addr)) else { return };
        let (group, node) = (self.group.clone(), self.node);
        let pid = group.with(|state| state.servers[index].pid);
        deliver(&simulation, node, pid, move |simulation, delivery| {
            let opened = match delivery {
                Delivery::Arrived => {
                    let now = simulation.now();
                    Ok(group.with(|state| state.open_connection(now, node, index, &request.server)))
                }
                Delivery::Refused => Err(io::ErrorKind::ConnectionRefused.into()),
                Delivery::TimedOut => {
                    let _ = tx.send(Err(io::ErrorKind::TimedOut.into()));
                    return;
                }
            };
            deliver(simulation, pid, node, move |_, _| {
                if let Err(Ok(Ok(abandoned))) = tx.send(opened) {
                    group.close(abandoned.id);
                }
            });
        });
    }
}

impl ServerConnector for NodeView {
    fn connect(&self, request: ConnectRequest) -> BoxFuture<'static, io::Result<OpenResult>> {
        let (tx, rx) = oneshot::channel::<Opened>();
        self.request_connection(request, tx);
        let group = self.group.clone();
        Box::pin(async move {
            let opened = rx.await.unwrap_or_else(|_| Err(connection_reset()))?;
            Ok(match opened {
                Ok(OpenedConnection { id, broken, log_end }) => {
                    let connection = Box::new(NodeConnection { group, id, broken });
                    Ok(ports::OpenedConnection { connection, log_end: Some(log_end) })
                }
                Err(reason) => Err(Rejection::without_text(reason)),
            })
        })
    }
}

impl GroupState {
    fn server_at(&self, addr: &str) -> Option<usize> {
        self.servers.iter().position(|server| server.addr == addr)
    }

    /// Opens a connection at a server, unless the server's name is not the expected one or it has too many connections.
    fn open_connection(
        &mut self,
        now: Millis,
        node: ProcessId,
        index: usize,
        name: &Name,
    ) -> Result<OpenedConnection, RejectReason> {
        if self.servers[index].name != *name {
            return Err(RejectReason::WrongServer);
        }
        if self.connections_of_server(index).len() >= MAX_CONNECTIONS {
            return Err(RejectReason::TooManyConnections);
        }
        let log_end = self.servers[index].visible_end(now);
        self.last_connection_id += 1;
        let id = self.last_connection_id;
        let connection = Connection::new(node, index);
        let broken = connection.broken.clone();
        self.connections.insert(id, connection);
        Ok(OpenedConnection { id, broken, log_end })
    }
}

impl Promoter for NodeView {
    fn promote(
        &self,
        _group: Name,
        server: Name,
        _addr: Name,
        fence: FencingToken,
    ) -> BoxFuture<'static, PromotionOutcome> {
        let (tx, rx) = oneshot::channel();
        if let Some(simulation) = self.group.simulation() {
            let (group, node) = (self.group.clone(), self.node);
            let promoter = group.with(|state| state.promoter);
            deliver(&simulation, node, promoter, move |simulation, delivery| {
                if delivery == Delivery::Arrived {
                    let carrier = group.clone();
                    group.when_carried_out(simulation, &server.clone(), move |simulation| {
                        let outcome = carrier.accept_promotion(simulation, &server, fence);
                        deliver(simulation, promoter, node, move |_, _| {
                            let _ = tx.send(outcome);
                        });
                    });
                }
            });
        }
        Box::pin(async move {
            let answer = seam::timeout(PROMOTE_TIMEOUT, rx).await;
            answer.ok().and_then(Result::ok).unwrap_or(PromotionOutcome::InDoubt)
        })
    }
}
