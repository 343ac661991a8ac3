//! The ports of held links as a simulated node has them (§3.6).
use super::delivery::{Delivery, deliver};
use super::server_group::{MAX_CONNECTIONS, ServerGroup, ServerLink};
use crate::fleet::simulation::ProcessId;
use bytes::Bytes;
use quincehatch_core::{FencingToken, Name, Position};
use quincehatch_proxy::ports::{
    OpenResult, Promoter, PromotionOutcome, RejectReason, ServerCall, ServerConnection, ServerConnector,
    ServerPorts, ServerReply,
};
use quincehatch_runtime::seam::{self, BoxFuture};
use quincehatch_wire::http::KeepaliveSettings;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;

const PROMOTE_TIMEOUT: Duration = Duration::from_millis(900);

/// The group as one node reaches it.
struct NodeView {
    site: Arc<ServerGroup>,
    node: ProcessId,
}

pub fn server_ports(site: &Arc<ServerGroup>, node: ProcessId) -> ServerPorts {
    let from = || NodeView { site: site.clone(), node };
    ServerPorts { servers: Arc::new(from()), promoter: Arc::new(from()) }
}

pub fn server_connector(site: &Arc<ServerGroup>, node: ProcessId) -> Arc<dyn ServerConnector> {
    Arc::new(NodeView { site: site.clone(), node })
}

struct NodeConnection {
    site: Arc<ServerGroup>,
    id: u64,
    broken: Arc<AtomicBool>,
}

impl Drop for NodeConnection {
    fn drop(&mut self) {
        self.site.close(self.id);
    }
}

impl ServerConnection for NodeConnection {
    fn call<'a>(&'a mut self, c: &'a ServerCall) -> BoxFuture<'a, io::Result<ServerReply>> {
        let (tx, rx) = oneshot::channel();
        self.site.send_request(self.id, c.clone(), tx);
        Box::pin(async move {
            let got = rx.await.unwrap_or_else(|_| Err(io::ErrorKind::ConnectionReset.into()));
            if got.is_err() {
                self.broken.store(true, Ordering::SeqCst);
            }
            got
        })
    }
    fn broken(&mut self) -> Option<io::Error> {
        self.broken.load(Ordering::SeqCst).then(|| io::ErrorKind::ConnectionReset.into())
    }
}

/// What the server said to a new link: its own number of it, and its log's end.
type SimulatedOpenResult = io::Result<Result<(u64, Arc<AtomicBool>, Position), RejectReason>>;

impl ServerConnector for NodeView {
    fn connect(
        &self,
        addr: Name,
        _: Name,
        server: Name,
        _: KeepaliveSettings,
    ) -> BoxFuture<'static, io::Result<OpenResult>> {
        let (site, node) = (self.site.clone(), self.node);
        let (tx, rx) = oneshot::channel::<SimulatedOpenResult>();
        if let (Some(core), Some(to)) = (site.core(), site.with(|s| s.server_at(&addr))) {
            let at = site.clone();
            let pid = site.with(|s| s.servers[to].pid);
            deliver(&core, node, pid, move |c, trip| {
                let begun = match trip {
                    Delivery::Arrived => Ok(at.with(|s| s.open_connection(c.now(), node, to, &server))),
                    Delivery::Refused => Err(io::ErrorKind::ConnectionRefused.into()),
                    Delivery::TimedOut => return drop(tx.send(Err(io::ErrorKind::TimedOut.into()))),
                };
                deliver(c, pid, node, move |_, _| {
                    if let Err(Ok(Ok((id, ..)))) = tx.send(begun) {
                        at.close(id);
                    }
                });
            });
        }
        Box::pin(async move {
            let reset = || io::Error::from(io::ErrorKind::ConnectionReset);
            Ok(match rx.await.unwrap_or_else(|_| Err(reset()))? {
                Ok((id, broken, end)) => Ok((
                    Box::new(NodeConnection { site, id, broken }) as Box<dyn ServerConnection>,
                    Some(end),
                )),
                Err(no) => Err((no, Bytes::new())),
            })
        })
    }
}

impl super::server_group::GroupState {
    fn server_at(&self, addr: &str) -> Option<usize> {
        self.servers.iter().position(|s| s.addr == addr)
    }
    /// A new link at a server, or its no.
    fn open_connection(
        &mut self,
        now: u64,
        node: ProcessId,
        server: usize,
        name: &Name,
    ) -> Result<(u64, Arc<AtomicBool>, Position), RejectReason> {
        let s = &mut self.servers[server];
        if s.name != *name {
            return Err(RejectReason::WrongServer);
        }
        if self.connections.values().filter(|l| l.server == server).count() >= MAX_CONNECTIONS {
            return Err(RejectReason::TooManyConnections);
        }
        let end = s.visible_end(now);
        let broken = Arc::new(AtomicBool::new(false));
        self.next_connection_id += 1;
        let l = ServerLink {
            node,
            server,
            values: Default::default(),
            prepared: Default::default(),
            transaction: None,
            requests_in_flight: 0,
            closed: false,
            broken: broken.clone(),
        };
        self.connections.insert(self.next_connection_id, l);
        Ok((self.next_connection_id, broken, end))
    }
}

impl Promoter for NodeView {
    fn promote(
        &self,
        _: Name,
        server: Name,
        _: Name,
        fence: FencingToken,
    ) -> BoxFuture<'static, PromotionOutcome> {
        let (tx, rx) = oneshot::channel();
        if let Some(core) = self.site.core() {
            let (site, node) = (self.site.clone(), self.node);
            let promoter = site.with(|s| s.promoter);
            deliver(&core, node, promoter, move |c, trip| {
                if trip == Delivery::Arrived {
                    let said = site.accept_promotion(c, &server, fence);
                    deliver(c, promoter, node, move |_, _| {
                        let _ = tx.send(said);
                    });
                }
            });
        }
        Box::pin(async move {
            seam::timeout(PROMOTE_TIMEOUT, rx)
                .await
                .ok()
                .and_then(Result::ok)
                .unwrap_or(PromotionOutcome::InDoubt)
        })
    }
}
