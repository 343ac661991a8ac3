//! A simulated group of servers and its promoter, behind the ports for direct connections (§3.6).
use quincehatch_core::{FencingToken, Name, Position, Role};
use quincehatch_proxy::ports::{
    ConnectRequest, OpenResult, OpenedConnection, Promoter, PromotionOutcome, ServerCall, ServerConnection,
    ServerConnector, ServerPorts, ServerReply, ServerStatus,
};
use quincehatch_runtime::seam::{self, BoxFuture};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct SimulatedServer {
    pub status: ServerStatus,
    pub up: bool,
    /// The server answers calls but receives no log entries.
    pub replication_stopped: bool,
}

#[derive(Default)]
pub struct State {
    pub servers: BTreeMap<Name, SimulatedServer>,
    /// Pairs of a node and a server that the node cannot reach.
    pub unreachable: BTreeSet<(Name, Name)>,
    /// The server that is cut off from all other servers.
    pub isolated_server: Option<Name>,
    /// The position of the last commit that was acknowledged to clients.
    pub acknowledged: Position,
    pub fence: FencingToken,
    /// Calls that change a server, and promotions, in order.
    pub events: Vec<String>,
    pub violations: Vec<String>,
}

#[derive(Clone, Default)]
pub struct Group(pub Arc<Mutex<State>>);

/// The group as one node sees it.
struct NodeView {
    group: Group,
    node: Name,
}

struct NodeConnection {
    group: Group,
    node: Name,
    server: Name,
}

const NETWORK_DELAY: Duration = Duration::from_millis(2);
const PROMOTION_TIME: Duration = Duration::from_millis(300);

impl State {
    fn is_reachable(&self, node: &Name, server: &Name) -> bool {
        self.servers.get(server).is_some_and(|s| s.up)
            && !self.unreachable.contains(&(node.clone(), server.clone()))
    }
    /// Appends a commit at the primary. Returns its position if at least one replica received it.
    pub fn commit(&mut self, server: &Name) -> Option<Position> {
        let primary = self.servers.get_mut(server).filter(|s| s.up && s.status.role == Role::Primary)?;
        let end = Position { fence: primary.status.term, number: primary.status.received.number + 1 };
        primary.status.received = end;
        let (mut replicated, isolated) = (false, self.isolated_server.as_ref());
        for (name, s) in &mut self.servers {
            let status = &mut s.status;
            if isolated != Some(server)
                && isolated != Some(name)
                && s.up
                && !s.replication_stopped
                && status.role == Role::Replica
                && status.suspended_term == 0
                && status.term <= end.fence
            {
                (status.received, status.term, replicated) = (end, end.fence, true);
            }
        }
        replicated.then_some(end)
    }
    fn call(&mut self, server: &Name, call: &ServerCall) -> ServerStatus {
        let Some(s) = self.servers.get_mut(server) else { return ServerStatus::default() };
        let status = &mut s.status;
        match call {
            ServerCall::Suspend { term }
                if status.role == Role::Replica && *term > status.term.max(status.suspended_term) =>
            {
                status.suspended_term = *term
            }
            ServerCall::Resume => status.suspended_term = 0,
            ServerCall::Demote { term } if status.role == Role::Primary && *term > status.term => {
                (status.role, status.term) = (Role::Replica, *term);
            }
            _ => {}
        }
        let new_status = *status;
        if !matches!(call, ServerCall::Status) {
            self.events.push(format!("{server} {call:?}"));
        }
        new_status
    }
    fn make_primary(&mut self, server: &Name) {
        let term = self.servers.values().map(|s| s.status.term).max().unwrap_or(0) + 1;
        let end = self.servers[server].status.received;
        if end < self.acknowledged {
            self.violations.push(format!(
                "{server} became primary at {end:?}, but {:?} was acknowledged",
                self.acknowledged
            ));
        }
        for (name, s) in &mut self.servers {
            let status = &mut s.status;
            if name == server {
                (status.role, status.term, status.suspended_term) = (Role::Primary, term, 0);
            } else if s.up {
                (status.role, status.received) = (Role::Replica, status.received.min(end));
            }
        }
    }
}

impl Group {
    pub fn new(servers: &[&str]) -> Group {
        let g = Group::default();
        for (i, s) in servers.iter().enumerate() {
            let role = if i == 0 { Role::Primary } else { Role::Replica };
            let status = ServerStatus {
                role,
                term: 1,
                received: Position { fence: 1, number: 0 },
                ..ServerStatus::default()
            };
            g.with(|st| {
                st.servers
                    .insert((*s).into(), SimulatedServer { status, up: true, replication_stopped: false })
            });
        }
        g
    }
    pub fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.0.lock().unwrap())
    }
    pub fn ports(&self, node: &str) -> ServerPorts {
        let view = || NodeView { group: self.clone(), node: node.into() };
        ServerPorts { servers: Arc::new(view()), promoter: Arc::new(view()) }
    }
    pub fn change(&self, server: &str, f: impl FnOnce(&mut SimulatedServer)) {
        self.with(|s| f(s.servers.get_mut(server).unwrap()));
    }
}

impl ServerConnector for NodeView {
    fn connect(&self, request: ConnectRequest) -> BoxFuture<'static, io::Result<OpenResult>> {
        let (group, node, server) = (self.group.clone(), self.node.clone(), request.server);
        Box::pin(async move {
            seam::sleep(NETWORK_DELAY).await;
            if !group.with(|s| s.is_reachable(&node, &server)) {
                return std::future::pending().await;
            }
            let connection = Box::new(NodeConnection { group, node, server });
            Ok(Ok(OpenedConnection { connection, log_end: None }))
        })
    }
}

impl ServerConnection for NodeConnection {
    fn call<'a>(&'a mut self, call: &'a ServerCall) -> BoxFuture<'a, io::Result<ServerReply>> {
        Box::pin(async move {
            seam::sleep(NETWORK_DELAY).await;
            if !self.group.with(|s| s.is_reachable(&self.node, &self.server)) {
                return std::future::pending().await;
            }
            let status = Some(self.group.with(|s| s.call(&self.server, call)));
            Ok(ServerReply { status, ..ServerReply::default() })
        })
    }
    fn idle_error(&mut self) -> Option<io::Error> {
        None
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
        let group = self.group.clone();
        Box::pin(async move {
            seam::sleep(NETWORK_DELAY).await;
            let accepted = group.with(|s| {
                s.events.push(format!("{server} promoted"));
                let accepted = fence >= s.fence && s.servers.get(&server).is_some_and(|x| x.up);
                s.fence = s.fence.max(fence);
                accepted
            });
            if !accepted {
                return PromotionOutcome::Rejected;
            }
            let g = group.clone();
            seam::spawn(async move {
                seam::sleep(PROMOTION_TIME).await;
                g.with(|s| s.make_primary(&server));
            });
            PromotionOutcome::Done
        })
    }
}
