//! A group of servers behind held links, and who promotes them, as the ports show them (§3.6).
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
pub struct One {
    pub look: ServerStatus,
    pub up: bool,
    /// It answers but receives nothing.
    pub deaf: bool,
}

#[derive(Default)]
pub struct State {
    pub servers: BTreeMap<Name, One>,
    /// Nodes that a server cannot be reached from.
    pub cut: BTreeSet<(Name, Name)>,
    /// It reaches no other server.
    pub alone: Option<Name>,
    /// The end of what was acknowledged to origins.
    pub acked: Position,
    pub fence: FencingToken,
    /// Calls that change a server, and promotions, in order.
    pub told: Vec<String>,
    pub breaches: Vec<String>,
}

#[derive(Clone, Default)]
pub struct Group(pub Arc<Mutex<State>>);

/// The group as one node reaches it.
struct From {
    group: Group,
    node: Name,
}

struct Link {
    group: Group,
    node: Name,
    server: Name,
}

const HOP: Duration = Duration::from_millis(2);
const TAKES: Duration = Duration::from_millis(300);

impl State {
    fn reached(&self, node: &Name, server: &Name) -> bool {
        self.servers.get(server).is_some_and(|s| s.up) && !self.cut.contains(&(node.clone(), server.clone()))
    }
    /// A commit at the primary: its end, if one replica received it.
    pub fn commit(&mut self, server: &Name) -> Option<Position> {
        let lead = self.servers.get_mut(server).filter(|s| s.up && s.look.role == Role::Primary)?;
        let end = Position { fence: lead.look.term, number: lead.look.received.number + 1 };
        lead.look.received = end;
        let (mut got, alone) = (false, self.alone.as_ref());
        for (n, s) in &mut self.servers {
            let l = &mut s.look;
            if alone != Some(server)
                && alone != Some(n)
                && s.up
                && !s.deaf
                && l.role == Role::Replica
                && l.suspended_term == 0
                && l.term <= end.fence
            {
                (l.received, l.term, got) = (end, end.fence, true);
            }
        }
        got.then_some(end)
    }
    fn call(&mut self, server: &Name, c: &ServerCall) -> ServerStatus {
        let Some(s) = self.servers.get_mut(server) else { return ServerStatus::default() };
        let l = &mut s.look;
        match c {
            ServerCall::Suspend { term }
                if l.role == Role::Replica && *term > l.term.max(l.suspended_term) =>
            {
                l.suspended_term = *term
            }
            ServerCall::Resume => l.suspended_term = 0,
            ServerCall::Demote { term } if l.role == Role::Primary && *term > l.term => {
                (l.role, l.term) = (Role::Replica, *term);
            }
            _ => {}
        }
        let look = *l;
        if !matches!(c, ServerCall::Status) {
            self.told.push(format!("{server} {c:?}"));
        }
        look
    }
    fn lead(&mut self, server: &Name) {
        let term = self.servers.values().map(|s| s.look.term).max().unwrap_or(0) + 1;
        let end = self.servers[server].look.received;
        if end < self.acked {
            self.breaches.push(format!("{server} leads from {end:?}, acknowledged was {:?}", self.acked));
        }
        for (n, s) in &mut self.servers {
            let l = &mut s.look;
            if n == server {
                (l.role, l.term, l.suspended_term) = (Role::Primary, term, 0);
            } else if s.up {
                (l.role, l.received) = (Role::Replica, l.received.min(end));
            }
        }
    }
}

impl Group {
    pub fn new(servers: &[&str]) -> Group {
        let g = Group::default();
        for (i, s) in servers.iter().enumerate() {
            let role = if i == 0 { Role::Primary } else { Role::Replica };
            let look = ServerStatus {
                role,
                term: 1,
                received: Position { fence: 1, number: 0 },
                ..ServerStatus::default()
            };
            g.with(|st| st.servers.insert((*s).into(), One { look, up: true, deaf: false }));
        }
        g
    }
    pub fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.0.lock().unwrap())
    }
    pub fn ports(&self, node: &str) -> ServerPorts {
        let from = || From { group: self.clone(), node: node.into() };
        ServerPorts { servers: Arc::new(from()), promoter: Arc::new(from()) }
    }
    pub fn change(&self, server: &str, f: impl FnOnce(&mut One)) {
        self.with(|s| f(s.servers.get_mut(server).unwrap()));
    }
}

impl ServerConnector for From {
    fn connect(&self, request: ConnectRequest) -> BoxFuture<'static, io::Result<OpenResult>> {
        let (group, node, server) = (self.group.clone(), self.node.clone(), request.server);
        Box::pin(async move {
            seam::sleep(HOP).await;
            if !group.with(|s| s.reached(&node, &server)) {
                return std::future::pending().await;
            }
            let connection = Box::new(Link { group, node, server });
            Ok(Ok(OpenedConnection { connection, log_end: None }))
        })
    }
}

impl ServerConnection for Link {
    fn call<'a>(&'a mut self, c: &'a ServerCall) -> BoxFuture<'a, io::Result<ServerReply>> {
        Box::pin(async move {
            seam::sleep(HOP).await;
            if !self.group.with(|s| s.reached(&self.node, &self.server)) {
                return std::future::pending().await;
            }
            let look = Some(self.group.with(|s| s.call(&self.server, c)));
            Ok(ServerReply { status: look, ..ServerReply::default() })
        })
    }
    fn idle_error(&mut self) -> Option<io::Error> {
        None
    }
}

impl Promoter for From {
    fn promote(
        &self,
        _: Name,
        server: Name,
        _: Name,
        fence: FencingToken,
    ) -> BoxFuture<'static, PromotionOutcome> {
        let group = self.group.clone();
        Box::pin(async move {
            seam::sleep(HOP).await;
            let good = group.with(|s| {
                s.told.push(format!("{server} promoted"));
                let good = fence >= s.fence && s.servers.get(&server).is_some_and(|x| x.up);
                s.fence = s.fence.max(fence);
                good
            });
            if !good {
                return PromotionOutcome::Rejected;
            }
            let g = group.clone();
            seam::spawn(async move {
                seam::sleep(TAKES).await;
                g.with(|s| s.lead(&server));
            });
            PromotionOutcome::Done
        })
    }
}
