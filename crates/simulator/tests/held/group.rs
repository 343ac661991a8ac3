//! A simulated group of servers on direct connections, and the platform that promotes them, behind the nodes' ports
//! (§3.6).
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
    /// The status that the server reports.
    pub reported: ServerStatus,
    pub up: bool,
    /// The server answers calls but receives no log entries.
    pub deaf: bool,
}

#[derive(Default)]
pub struct GroupState {
    pub servers: BTreeMap<Name, SimulatedServer>,
    /// Pairs of a node and a server that the node does not reach.
    pub partitions: BTreeSet<(Name, Name)>,
    /// A server that reaches no other server.
    pub isolated: Option<Name>,
    /// The highest position that was acknowledged to clients.
    pub acknowledged: Position,
    pub fence: FencingToken,
    /// Calls that change a server, and promotions, in order.
    pub calls: Vec<String>,
    pub violations: Vec<String>,
}

#[derive(Clone, Default)]
pub struct Group(pub Arc<Mutex<GroupState>>);

/// The ports through which one node reaches the group.
struct NodePorts {
    group: Group,
    node: Name,
}

struct NodeConnection {
    group: Group,
    node: Name,
    server: Name,
}

const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// Time that the platform takes to promote a server.
const PROMOTION_TIME: Duration = Duration::from_millis(300);

impl GroupState {
    fn reaches(&self, node: &Name, server: &Name) -> bool {
        self.servers.get(server).is_some_and(|found| found.up)
            && !self.partitions.contains(&(node.clone(), server.clone()))
    }
    /// Commits an entry at the primary; returns its position if at least one replica received it.
    pub fn commit(&mut self, server: &Name) -> Option<Position> {
        let primary =
            self.servers.get_mut(server).filter(|found| found.up && found.reported.role == Role::Primary)?;
        let end = Position { fence: primary.reported.term, number: primary.reported.received.number + 1 };
        primary.reported.received = end;
        let (mut is_received, isolated) = (false, self.isolated.as_ref());
        for (name, replica) in &mut self.servers {
            let status = &mut replica.reported;
            if isolated != Some(server)
                && isolated != Some(name)
                && replica.up
                && !replica.deaf
                && status.role == Role::Replica
                && status.suspended_term == 0
                && status.term <= end.fence
            {
                (status.received, status.term, is_received) = (end, end.fence, true);
            }
        }
        is_received.then_some(end)
    }
    fn call(&mut self, server: &Name, call: &ServerCall) -> ServerStatus {
        let Some(found) = self.servers.get_mut(server) else { return ServerStatus::default() };
        let status = &mut found.reported;
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
        let reported = *status;
        if !matches!(call, ServerCall::Status) {
            self.calls.push(format!("{server} {call:?}"));
        }
        reported
    }
    /// Makes a server the primary of a new term; it must have all that was acknowledged.
    fn make_primary(&mut self, server: &Name) {
        let term = self.servers.values().map(|other| other.reported.term).max().unwrap_or(0) + 1;
        let end = self.servers[server].reported.received;
        if end < self.acknowledged {
            self.violations.push(format!(
                "{server} became primary at {end:?}, {:?} was acknowledged",
                self.acknowledged
            ));
        }
        for (name, member) in &mut self.servers {
            let status = &mut member.reported;
            if name == server {
                (status.role, status.term, status.suspended_term) = (Role::Primary, term, 0);
            } else if member.up {
                (status.role, status.received) = (Role::Replica, status.received.min(end));
            }
        }
    }
}

impl Group {
    /// Returns a group whose servers are up; the first one is the primary.
    pub fn new(servers: &[&str]) -> Group {
        let group = Group::default();
        for (index, name) in servers.iter().enumerate() {
            let role = if index == 0 { Role::Primary } else { Role::Replica };
            let reported = ServerStatus {
                role,
                term: 1,
                received: Position { fence: 1, number: 0 },
                ..ServerStatus::default()
            };
            group.with(|state| {
                state.servers.insert((*name).into(), SimulatedServer { reported, up: true, deaf: false })
            });
        }
        group
    }
    pub fn with<T>(&self, access: impl FnOnce(&mut GroupState) -> T) -> T {
        access(&mut self.0.lock().unwrap())
    }
    pub fn ports(&self, node: &str) -> ServerPorts {
        let node_ports = || NodePorts { group: self.clone(), node: node.into() };
        ServerPorts { servers: Arc::new(node_ports()), promoter: Arc::new(node_ports()) }
    }
    pub fn change(&self, server: &str, change: impl FnOnce(&mut SimulatedServer)) {
        self.with(|state| change(state.servers.get_mut(server).unwrap()));
    }
}

impl ServerConnector for NodePorts {
    fn connect(&self, request: ConnectRequest) -> BoxFuture<'static, io::Result<OpenResult>> {
        let (group, node, server) = (self.group.clone(), self.node.clone(), request.server);
        Box::pin(async move {
            seam::sleep(NETWORK_DELAY).await;
            if !group.with(|state| state.reaches(&node, &server)) {
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
            if !self.group.with(|state| state.reaches(&self.node, &self.server)) {
                return std::future::pending().await;
            }
            let reported = Some(self.group.with(|state| state.call(&self.server, call)));
            Ok(ServerReply { status: reported, ..ServerReply::default() })
        })
    }
    fn broken(&mut self) -> Option<io::Error> {
        None
    }
}

impl Promoter for NodePorts {
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
            let accepted = group.with(|state| {
                state.calls.push(format!("{server} promoted"));
                let accepted =
                    fence >= state.fence && state.servers.get(&server).is_some_and(|found| found.up);
                state.fence = state.fence.max(fence);
                accepted
            });
            if !accepted {
                return PromotionOutcome::Rejected;
            }
            let promoted_group = group.clone();
            seam::spawn(async move {
                seam::sleep(PROMOTION_TIME).await;
                promoted_group.with(|state| state.make_primary(&server));
            });
            PromotionOutcome::Done
        })
    }
}
