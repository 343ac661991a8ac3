//! A proxy that serves sessions on the fake group.
use super::{FakeGroup, FakeServer, Fault};
use bytes::Bytes;
use quincehatch_config::configuration::Configuration;
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{Name, PrimaryAssignment, ServerHeartbeat};
use quincehatch_proxy::Proxy;
use quincehatch_proxy::direct::{
    DirectProxy, DirectSession, SessionCommand, SessionRequest, StatementResponse,
};
use quincehatch_proxy::registry::ClusterState;
use quincehatch_proxy::session::replicas::LocalOnlyReplicas;
use quincehatch_proxy::tenants::ClientKey;
use quincehatch_runtime::now;
use quincehatch_runtime::seam::Spawner;
use std::sync::Arc;

const GROUP: &str = "g1";
/// Statements of database `orders` go to the primary, reads of `lookups` to any server that is fresh enough.
const CONFIGURATION: &str = r#"{"placements":[{"name":"g","select":{"group":["g1"]}}],"routes":[
  {"name":"o","class":"order","placement":"g","when":{"db":["orders"]},"timeout_ms":400,"latency_target_ms":300},
  {"name":"l","class":"lookup","placement":"g","when":{"db":["lookups"]},"timeout_ms":400,"latency_target_ms":300}],
  "groups":[{"name":"g1","connections":20}]}"#;

/// A proxy with a lease, in front of a group of three servers.
pub struct Fixture {
    pub group: FakeGroup,
    pub direct: Arc<DirectProxy>,
    /// The number of changes of the cluster state so far.
    changes: u64,
}

fn settings() -> NodeSettings {
    let any = || "127.0.0.1:1".to_owned();
    NodeSettings {
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
    }
}

impl Fixture {
    /// Creates a group with primary s1 and replicas s2 and s3, and a proxy with a lease.
    pub fn new() -> Fixture {
        let proxy = Proxy::new(settings(), Box::new(LocalOnlyReplicas::default()), Spawner::current());
        let group = FakeGroup::default();
        for server in ["s1", "s2", "s3"] {
            let labels = [("group".into(), GROUP.into()), ("zone".into(), "d1".into())].into();
            let heartbeat = ServerHeartbeat { server: server.into(), seq: 1, labels, ..Default::default() };
            proxy.registry.apply_heartbeat(heartbeat);
            group.0.lock().unwrap().servers.insert(server.into(), FakeServer::default());
        }
        let direct = DirectProxy::new(proxy, Arc::new(group.clone()));
        let mut fixture = Fixture { group, direct, changes: 0 };
        fixture.assign_primary(Some("s1"));
        fixture.direct.proxy.registry.renew_lease(now() + 600_000);
        fixture
    }

    /// Sets a cluster state with another primary, or none.
    pub fn assign_primary(&mut self, server: Option<&str>) {
        self.changes += 1;
        let fence = self.changes;
        let assignment = PrimaryAssignment { fence, server: server.map(Name::from), ..Default::default() };
        self.direct.proxy.registry.set_cluster_state(ClusterState {
            number: self.changes,
            version: 1,
            configuration: Some(Arc::new(Configuration::parse(CONFIGURATION).unwrap())),
            primaries: [(GROUP.into(), assignment)].into(),
            route_by_database: Arc::new([("orders".into(), 0), ("lookups".into(), 1)].into()),
            tenants: Arc::default(),
            ..ClusterState::default()
        });
    }

    /// Opens a session of a database.
    pub async fn session(&self, db: &str) -> DirectSession {
        DirectSession::open(&self.direct, db, ClientKey::NONE).await.unwrap()
    }

    /// Injects a fault into a later read, write or commit at a server; faults apply in the order of injection.
    pub fn inject(&self, server: &str, fault: Fault) {
        self.group.with_server(server, |server| server.faults.push_back(fault));
    }

    /// Returns the calls that were run at a server.
    pub fn ran(&self, server: &str) -> Vec<String> {
        self.group.with_server(server, |server| server.ran.clone())
    }

    /// Returns the writes that the group has committed.
    pub fn committed(&self) -> Vec<String> {
        self.group.0.lock().unwrap().committed.clone()
    }
}

/// Executes one command.
pub async fn execute(session: &mut DirectSession, command: SessionCommand) -> StatementResponse {
    session.execute(SessionRequest { id: Bytes::from_static(b"id"), command }).await
}

/// Returns the command of a read.
pub fn read(text: &str) -> SessionCommand {
    SessionCommand::Read { text: Bytes::from(format!("READ {text}")) }
}

/// Returns the command of a write.
pub fn write(text: &str) -> SessionCommand {
    SessionCommand::Write { text: Bytes::from(format!("WRITE {text}")) }
}
