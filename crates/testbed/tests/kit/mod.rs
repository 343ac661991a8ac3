//! A node and three stand-in servers in one process; the cluster state is set directly, without a control plane.
use quincehatch_config::configuration::Configuration;
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::PrimaryAssignment;
use quincehatch_proxy::evidence::{ConnectionEnd, HealthSignal};
use quincehatch_proxy::registry::ClusterState;
use quincehatch_proxy::session::replicas::LocalOnlyReplicas;
use quincehatch_proxy::state::HealthState;
use quincehatch_proxy::{Proxy, probe};
use quincehatch_runtime::now;
use quincehatch_testbed::stand_in::{StandIn, StandInOptions, http_server, replication};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};

const BASE: &str = "[[placements]]\nname = \"p\"\nselect = { group = [\"g1\"] }\n[[rules]]\nname = \"o\"\nclass = \"order\"\n\
    placement = \"p\"\ntimeout_ms = 2000\n[[rules]]\nname = \"l\"\nclass = \"lookup\"\nplacement = \"p\"\ntimeout_ms = 1000\n";

pub struct Kit {
    pub node: Arc<Proxy>,
    servers: Vec<Arc<StandIn>>,
}

pub fn order_body(key: &str, text: &str, params: Value) -> Value {
    json!({"try": key, "text": text, "params": params, "labels": {"db": "g1"}})
}

impl Kit {
    /// Starts s1 as primary and s2 and s3 as its replicas; `more` is appended to the configuration.
    pub async fn new(more: &str) -> Kit {
        let mut listeners = Vec::new();
        for _ in 0..3 {
            listeners.push(tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let addrs: Vec<String> =
            listeners.iter().map(|listener| listener.local_addr().unwrap().to_string()).collect();
        let mut servers = Vec::new();
        for (index, listener) in listeners.into_iter().enumerate() {
            let labels = quincehatch_testbed::fleet::parse_labels(&[
                "group=g1".into(),
                "district=d1".into(),
                "copies=3".into(),
            ]);
            let peers = addrs.iter().filter(|addr| **addr != addrs[index]).cloned().collect();
            let (name, addr) = (format!("s{}", index + 1), addrs[index].clone());
            let server =
                StandIn::open(StandInOptions { name, addr, labels, peers, ..Default::default() }).unwrap();
            tokio::spawn(replication::follow_primary(server.clone()));
            tokio::spawn(http_server::accept_connections(server.clone(), listener));
            servers.push(server);
        }
        servers[0].with_db(|db| db.promote(1, vec![]));
        let unused_addr = || "127.0.0.1:1".to_owned();
        let settings = NodeSettings {
            name: "n1".into(),
            zone: "d1".into(),
            client_listener: unused_addr(),
            operator_listener: unused_addr(),
            gossip_listener: unused_addr(),
            seeds: vec![],
            keepers: vec![unused_addr()],
            platform: unused_addr(),
            token: "t".into(),
            log: "off".into(),
            threads: 1,
        };
        let node = Proxy::new(
            settings,
            Box::new(LocalOnlyReplicas::default()),
            quincehatch_runtime::seam::Spawner::current(),
        );
        for server in &servers {
            node.registry.apply_heartbeat(server.heartbeat());
        }
        let configuration = Some(Arc::new(Configuration::parse(&format!("{BASE}{more}")).unwrap()));
        let primary = PrimaryAssignment {
            fence: 1,
            server: Some("s1".into()),
            demoted: None,
            assigned_by: "n1".into(),
            voters: vec![],
            previous_voters: vec![],
        };
        let primaries = [("g1".into(), primary)].into();
        node.registry.set_cluster_state(ClusterState {
            number: 1,
            version: 1,
            configuration,
            primaries,
            ..Default::default()
        });
        node.registry.renew_lease(now() + 600_000);
        tokio::spawn(probe::run_status_probes(node.registry.clone(), node.spawner().clone()));
        let kit = Kit { node, servers };
        kit.wait_until("all servers to be up and replicated", || {
            let needed = kit
                .node
                .registry
                .with_primary_positions("g1", |positions| positions.required_at(now(), 1_500));
            let log_end = kit.servers[0].log_end();
            let up = kit
                .node
                .registry
                .servers()
                .iter()
                .all(|record| record.status.lock().unwrap().answered_at > 0);
            up && needed == Some(log_end)
                && kit.servers.iter().all(|server| server.stamp().position == log_end)
        })
        .await;
        kit
    }

    /// Waits for a condition and panics after 30 seconds.
    pub async fn wait_until(&self, what: &str, condition: impl Fn() -> bool) {
        let deadline = Instant::now() + Duration::from_secs(30);
        while !condition() {
            assert!(Instant::now() < deadline, "timed out waiting for {what}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    pub async fn post(&self, path: &str, request: Value) -> Value {
        self.node.handle(path, request.to_string().as_bytes()).await.1
    }
    pub async fn commit_order(&self, key: &str) {
        let reply = self.post("/v1/order", order_body(key, "append l $1", json!([key]))).await;
        assert_eq!(reply["end"], "kept", "{reply}");
    }
    pub fn set_fault(&self, index: usize, settings: Value) {
        self.servers[index].faults.apply(&serde_json::from_value(settings).unwrap());
    }
    pub fn start_draining(&self, index: usize) {
        *self.servers[index].state.lock().unwrap() = (quincehatch_core::ServerState::Draining, now());
    }
    /// Sets whether a primary behaves as if part of its log were not yet visible.
    pub fn set_starting(&self, index: usize, starting: bool) {
        self.servers[index].with_db(|db| db.set_unreadable_for_test(starting));
    }
    /// Returns the number of reads that the stand-in rejected because it was starting.
    pub fn rejected_reads(&self, index: usize) -> u64 {
        self.servers[index].rejected_reads.load(std::sync::atomic::Ordering::SeqCst)
    }
    /// Returns the primary's value of a key.
    pub fn primary_value(&self, key: &str) -> Value {
        self.servers[0].with_db(|db| db.values.get(key).cloned().unwrap_or(Value::Null))
    }
    /// Returns the number of pooled connections to a stand-in while a session has an open one checked out, else 0. The
    /// connections of STATUS calls and of replication do not count.
    pub fn open_connections(&self, index: usize) -> usize {
        let name = format!("s{}", index + 1);
        let record = self.node.registry.server(&name).unwrap();
        let open = self.node.sessions.all().iter().any(|session| {
            session.try_lock().is_ok_and(|mut session| {
                session
                    .transaction
                    .as_mut()
                    .and_then(|transaction| transaction.checkout.as_mut())
                    .is_some_and(|checkout| !checkout.connection().is_closed())
            })
        });
        usize::from(open) * record.pool.slots.count().open
    }
    pub fn lease_ms(&self, ms: u64) {
        self.node.registry.set_lease_for_test(now() + ms);
    }
    pub fn pending_requests(&self, server: &str) -> usize {
        self.node.registry.server(server).unwrap().health.lock().unwrap().overdue.pending_count()
    }
    pub fn eject(&self, server: &str) {
        let settings = self.node.health_settings();
        self.node.registry.server(server).unwrap().health.lock().unwrap().connection_ended(
            now(),
            &settings,
            ConnectionEnd::Reset,
        );
    }
    pub fn health_state(&self, server: &str) -> HealthState {
        self.node.registry.server(server).unwrap().health.lock().unwrap().state
    }
    /// Returns the signals that caused the last change of the server's health state.
    pub fn ejection_signals(&self, server: &str) -> Vec<HealthSignal> {
        let record = self.node.registry.server(server).unwrap();
        let health = record.health.lock().unwrap();
        health
            .transitions
            .back()
            .map(|transition| transition.evidence.iter().map(|e| e.signal).collect())
            .unwrap_or_default()
    }
    pub fn is_draining(&self, server: &str) -> bool {
        self.node.registry.server(server).unwrap().is_draining()
    }
    pub fn status_succeeds(&self, server: &str) -> bool {
        self.node.registry.server(server).unwrap().status.lock().unwrap().failing_since.is_none()
    }
}
