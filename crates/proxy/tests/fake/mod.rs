//! A group of servers behind the port of held links, whose faults come as a test orders them.
use bytes::Bytes;
use quincehatch_config::configuration::Configuration;
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{Name, Position, PrimaryAssignment, ServerHeartbeat};
use quincehatch_proxy::Proxy;
use quincehatch_proxy::direct::{DirectProxy, DirectSession};
use quincehatch_proxy::direct::{SessionCommand, SessionRequest, StatementResponse};
use quincehatch_proxy::ports::{
    OpenResult, RejectReason, ServerCall, ServerConnection, ServerConnector, ServerReply, TransactionState,
};
use quincehatch_proxy::registry::ClusterState;
use quincehatch_proxy::session::replicas::LocalOnlyReplicas;
use quincehatch_runtime::now;
use quincehatch_runtime::seam::BoxFuture;
use quincehatch_wire::http::KeepaliveSettings;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::sync::{Arc, Mutex};

/// What becomes of the next read, write or commit at a server.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Decline(RejectReason),
    /// The link breaks before it runs.
    Cut,
    /// It runs and the link breaks.
    Lose,
    /// It runs and nobody says so.
    Silent,
    /// None: it runs and is answered.
    #[allow(dead_code, reason = "not each test file that has this module draws it")]
    Run,
}

#[derive(Default)]
pub struct Srv {
    pub ran: Vec<String>,
    pub faults: VecDeque<Fault>,
    pub opened: usize,
    pub refuse: bool,
    /// So many links are declined, as the server takes no more.
    pub full: usize,
}

#[derive(Default)]
pub struct Db {
    pub srv: BTreeMap<Name, Srv>,
    /// Writes that were committed, at whichever server leads.
    pub kept: Vec<String>,
}
#[derive(Clone, Default)]
pub struct Group(pub Arc<Mutex<Db>>);

struct Link {
    db: Group,
    server: Name,
    values: BTreeMap<Bytes, Bytes>,
    prepared: HashMap<Name, String>,
    open: bool,
    wrote: Vec<String>,
    dead: bool,
    owes: bool,
}

impl ServerConnector for Group {
    fn connect(
        &self,
        _: Name,
        _: Name,
        server: Name,
        _: KeepaliveSettings,
    ) -> BoxFuture<'static, io::Result<OpenResult>> {
        let db = self.clone();
        Box::pin(async move {
            let mut d = db.0.lock().unwrap();
            let s = d.srv.entry(server.clone()).or_default();
            s.opened += 1;
            if s.refuse {
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
            if s.full > 0 {
                s.full -= 1;
                return Ok(Err((RejectReason::TooManyConnections, Bytes::new())));
            }
            drop(d);
            let (values, prepared) = (BTreeMap::new(), HashMap::new());
            let l =
                Link { db, server, values, prepared, open: false, wrote: vec![], dead: false, owes: false };
            Ok(Ok((Box::new(l) as Box<dyn ServerConnection>, None)))
        })
    }
}

fn text(b: &Bytes) -> String {
    String::from_utf8_lossy(b).into_owned()
}

impl Link {
    fn stage(&self) -> TransactionState {
        if self.open { TransactionState::Open } else { TransactionState::Idle }
    }
    fn done(&self, stamp: bool) -> ServerReply {
        let n = self.db.0.lock().unwrap().kept.len() as u64;
        let stamp = stamp.then(|| Bytes::from(format!("stamp-{}", self.server)));
        ServerReply {
            stamp,
            transaction_state: self.stage(),
            log_end: Some(Position { fence: 1, number: n }),
            ..Default::default()
        }
    }
    /// Runs it, unless a fault says otherwise.
    async fn run(&mut self, what: String, write: bool, commit: bool) -> io::Result<ServerReply> {
        let fault = {
            let mut d = self.db.0.lock().unwrap();
            let s = d.srv.get_mut(&self.server).unwrap();
            let f = s.faults.pop_front();
            if !matches!(f, Some(Fault::Decline(_) | Fault::Cut)) {
                let with: Vec<String> =
                    self.values.iter().map(|(k, v)| format!("{}={}", text(k), text(v))).collect();
                s.ran.push(format!("{what} [{}]", with.join(",")));
                if write {
                    self.wrote.push(what);
                }
                if commit || !self.open {
                    self.open = false;
                    d.kept.append(&mut self.wrote);
                }
            }
            f
        };
        match fault {
            Some(Fault::Decline(no)) => {
                Ok(ServerReply { rejection: Some((no, Bytes::new())), stamp: None, ..self.done(false) })
            }
            Some(Fault::Cut | Fault::Lose) => {
                self.dead = true;
                Err(io::ErrorKind::ConnectionReset.into())
            }
            Some(Fault::Silent) => std::future::pending().await,
            None | Some(Fault::Run) => {
                Ok(ServerReply { rows: vec![Bytes::from_static(b"row")], ..self.done(true) })
            }
        }
    }
}

impl ServerConnection for Link {
    fn call<'a>(&'a mut self, c: &'a ServerCall) -> BoxFuture<'a, io::Result<ServerReply>> {
        Box::pin(async move {
            assert!(!self.owes, "a call on a link whose answer is owed");
            self.owes = true;
            let said = self.answer(c).await;
            self.owes = said.is_err();
            said
        })
    }
    fn broken(&mut self) -> Option<io::Error> {
        self.dead.then(|| io::ErrorKind::ConnectionReset.into())
    }
}

impl Link {
    async fn answer(&mut self, c: &ServerCall) -> io::Result<ServerReply> {
        match c {
            ServerCall::Begin { .. } => self.open = true,
            ServerCall::Rollback => {
                self.open = false;
                self.wrote.clear();
            }
            ServerCall::Set { name, value } => drop(self.values.insert(name.clone(), value.clone())),
            ServerCall::Prepare { name, shape, .. } => drop(self.prepared.insert(name.clone(), text(shape))),
            ServerCall::Reset => {
                self.values.clear();
                self.prepared.clear();
            }
            ServerCall::Run { text: t, floor, .. } => {
                let t = text(t);
                let at = floor.map_or_else(String::new, |f| format!("@{}.{} ", f.fence, f.number));
                return self.run(format!("{at}{t}"), t.starts_with("WRITE"), false).await;
            }
            ServerCall::Execute { name, rest, .. } => {
                let shape = self.prepared.get(name).cloned().unwrap();
                return self.run(format!("{shape} {}", text(rest)), false, false).await;
            }
            ServerCall::Commit { .. } => return self.run("COMMIT".into(), false, true).await,
            _ => {}
        }
        Ok(self.done(false))
    }
}

pub const PLAN: &str = r#"{"placements":[{"name":"g","select":{"group":["g1"]}}],"rules":[
  {"name":"o","class":"order","placement":"g","when":{"db":["orders"]},"timeout_ms":400,"aim_ms":300},
  {"name":"l","class":"lookup","placement":"g","when":{"db":["looks"]},"timeout_ms":400,"aim_ms":300}],
  "groups":[{"name":"g1","links":20}]}"#;

pub struct Kit {
    pub group: Group,
    pub held: Arc<DirectProxy>,
    n: u64,
}

impl Kit {
    /// s1 leads, s2 and s3 follow.
    pub fn new() -> Kit {
        let any = || "127.0.0.1:1".to_owned();
        let set = NodeSettings {
            name: "n1".into(),
            zone: "d1".into(),
            client_listener: any(),
            operator_listener: any(),
            gossip_listener: any(),
            seeds: vec![],
            keepers: vec![any()],
            platform: any(),
            token: "t".into(),
            log: "off".into(),
            threads: 1,
        };
        let node = Proxy::new(
            set,
            Box::new(LocalOnlyReplicas::default()),
            quincehatch_runtime::seam::Spawner::current(),
        );
        let group = Group::default();
        for s in ["s1", "s2", "s3"] {
            let labels = [("group".into(), "g1".into()), ("district".into(), "d1".into())].into();
            node.registry.apply_heartbeat(ServerHeartbeat {
                server: s.into(),
                seq: 1,
                labels,
                ..Default::default()
            });
            group.0.lock().unwrap().srv.insert(s.into(), Srv::default());
        }
        let held = DirectProxy::new(node, Arc::new(group.clone()));
        let mut k = Kit { group, held, n: 0 };
        k.named(Some("s1"));
        k.held.proxy.registry.renew_lease(now() + 600_000);
        k
    }
    /// The chain names another lead, or none.
    pub fn named(&mut self, server: Option<&str>) {
        self.n += 1;
        let lead = PrimaryAssignment { fence: self.n, server: server.map(Name::from), ..Default::default() };
        let blueprint = Some(Arc::new(Configuration::parse(PLAN).unwrap()));
        let by_db = Arc::new([("orders".into(), 0), ("looks".into(), 1)].into());
        let leads = [("g1".into(), lead)].into();
        self.held.proxy.registry.set_cluster_state(ClusterState {
            number: self.n,
            version: 1,
            configuration: blueprint,
            primaries: leads,
            route_by_database: by_db,
        });
    }
    pub async fn session(&self, db: &str) -> DirectSession {
        DirectSession::open(&self.held, db).await.unwrap()
    }
    pub fn fault(&self, server: &str, f: Fault) {
        self.group.0.lock().unwrap().srv.get_mut(server).unwrap().faults.push_back(f);
    }
    pub fn ran(&self, server: &str) -> Vec<String> {
        self.group.0.lock().unwrap().srv[server].ran.clone()
    }
    pub fn kept(&self) -> Vec<String> {
        self.group.0.lock().unwrap().kept.clone()
    }
}

pub async fn ask(s: &mut DirectSession, wish: SessionCommand) -> StatementResponse {
    s.execute(SessionRequest { id: Bytes::from_static(b"id"), command: wish }).await
}
pub fn read(t: &str) -> SessionCommand {
    SessionCommand::Read { text: Bytes::from(format!("READ {t}")) }
}
pub fn write(t: &str) -> SessionCommand {
    SessionCommand::Write { text: Bytes::from(format!("WRITE {t}")) }
}
