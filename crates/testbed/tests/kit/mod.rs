//! Three stand-ins and a node in one process; the plan is put on the blackboard by hand.
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
    stands: Vec<Arc<StandIn>>,
}

pub fn body(key: &str, text: &str, params: Value) -> Value {
    json!({"try": key, "text": text, "params": params, "labels": {"db": "g1"}})
}

impl Kit {
    /// s1 leads, s2 and s3 follow; `more` is added to the blueprint.
    pub async fn new(more: &str) -> Kit {
        let mut lsts = Vec::new();
        for _ in 0..3 {
            lsts.push(tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let addrs: Vec<String> = lsts.iter().map(|l| l.local_addr().unwrap().to_string()).collect();
        let mut stands = Vec::new();
        for (i, lst) in lsts.into_iter().enumerate() {
            let labels = quincehatch_testbed::fleet::parse_labels(&[
                "group=g1".into(),
                "district=d1".into(),
                "copies=3".into(),
            ]);
            let peers = addrs.iter().filter(|a| **a != addrs[i]).cloned().collect();
            let (name, addr) = (format!("s{}", i + 1), addrs[i].clone());
            let s =
                StandIn::open(StandInOptions { name, addr, labels, peers, ..Default::default() }).unwrap();
            tokio::spawn(replication::follow_primary(s.clone()));
            tokio::spawn(http_server::accept_connections(s.clone(), lst));
            stands.push(s);
        }
        stands[0].with_db(|d| d.promote(1, vec![]));
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
        for s in &stands {
            node.registry.apply_heartbeat(s.heartbeat());
        }
        let blueprint = Some(Arc::new(Configuration::parse(&format!("{BASE}{more}")).unwrap()));
        let lead = PrimaryAssignment {
            fence: 1,
            server: Some("s1".into()),
            demoted: None,
            assigned_by: "n1".into(),
            voters: vec![],
            previous_voters: vec![],
        };
        let leads = [("g1".into(), lead)].into();
        node.registry.set_cluster_state(ClusterState {
            number: 1,
            version: 1,
            configuration: blueprint,
            primaries: leads,
            ..Default::default()
        });
        node.registry.renew_lease(now() + 600_000);
        tokio::spawn(probe::run_status_probes(node.registry.clone(), node.spawner().clone()));
        let k = Kit { node, stands };
        k.until("all to be up and fresh", || {
            let seen = k.node.registry.with_primary_positions("g1", |s| s.required_at(now(), 1_500));
            let end = k.stands[0].log_end();
            let up = k.node.registry.servers().iter().all(|r| r.status.lock().unwrap().answered_at > 0);
            up && seen == Some(end) && k.stands.iter().all(|s| s.stamp().position == end)
        })
        .await;
        k
    }

    /// Waits for a condition, with a bound.
    pub async fn until(&self, what: &str, f: impl Fn() -> bool) {
        let end = Instant::now() + Duration::from_secs(30);
        while !f() {
            assert!(Instant::now() < end, "waited in vain for {what}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    pub async fn post(&self, path: &str, b: Value) -> Value {
        self.node.handle(path, b.to_string().as_bytes()).await.1
    }
    pub async fn order(&self, key: &str) {
        let v = self.post("/v1/order", body(key, "append l $1", json!([key]))).await;
        assert_eq!(v["end"], "kept", "{v}");
    }
    pub fn fault(&self, i: usize, wish: Value) {
        self.stands[i].faults.apply(&serde_json::from_value(wish).unwrap());
    }
    pub fn leave(&self, i: usize) {
        *self.stands[i].state.lock().unwrap() = (quincehatch_core::ServerState::Draining, now());
    }
    /// A primary that does not show all of its log.
    pub fn starting(&self, i: usize, on: bool) {
        self.stands[i].with_db(|d| d.set_unreadable_for_test(on));
    }
    /// How often the stand-in declined a read as it is starting.
    pub fn declined(&self, i: usize) -> u64 {
        self.stands[i].rejected_reads.load(std::sync::atomic::Ordering::SeqCst)
    }
    /// What the primary holds under a key.
    pub fn value(&self, key: &str) -> Value {
        self.stands[0].with_db(|d| d.values.get(key).cloned().unwrap_or(Value::Null))
    }
    /// Links open to a stand-in, the node's own STATUS link and replication's left out by counting contexts.
    pub fn links(&self, i: usize) -> usize {
        let name = format!("s{}", i + 1);
        let row = self.node.registry.server(&name).unwrap();
        let open = self.node.sessions.all().iter().any(|s| {
            s.try_lock().is_ok_and(|mut s| {
                s.transaction
                    .as_mut()
                    .and_then(|t| t.checkout.as_mut())
                    .is_some_and(|l| !l.connection().is_closed())
            })
        });
        usize::from(open) * row.pool.slots.count().open
    }
    pub fn lease_ms(&self, ms: u64) {
        self.node.registry.set_lease_for_test(now() + ms);
    }
    pub fn owing(&self, server: &str) -> usize {
        self.node.registry.server(server).unwrap().health.lock().unwrap().overdue.pending_count()
    }
    pub fn set_aside(&self, server: &str) {
        let j = self.node.health_settings();
        self.node.registry.server(server).unwrap().health.lock().unwrap().connection_ended(
            now(),
            &j,
            ConnectionEnd::Reset,
        );
    }
    pub fn verdict(&self, server: &str) -> HealthState {
        self.node.registry.server(server).unwrap().health.lock().unwrap().state
    }
    /// The signs that made the last turn.
    pub fn signs(&self, server: &str) -> Vec<HealthSignal> {
        let row = self.node.registry.server(server).unwrap();
        let h = row.health.lock().unwrap();
        h.transitions.back().map(|t| t.evidence.iter().map(|e| e.signal).collect()).unwrap_or_default()
    }
    pub fn leaving(&self, server: &str) -> bool {
        self.node.registry.server(server).unwrap().is_draining()
    }
    pub fn status_answers(&self, server: &str) -> bool {
        self.node.registry.server(server).unwrap().status.lock().unwrap().failing_since.is_none()
    }
}
