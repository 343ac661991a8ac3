//! Keepers and nodes in virtual time, over a simulated group of servers on direct connections.
use crate::group::Group;
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{Name, PrimaryAssignment, Role, ServerRecord};
use quincehatch_node::{Node, peer_service};
use quincehatch_runtime::seam;
use quincehatch_simulator::addresses;
use quincehatch_simulator::fleet::keeper_group::KeeperGroup;
use quincehatch_simulator::fleet::simulation::{ProcessId, Simulation};
use quincehatch_store::{Command, Voter};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Fleet {
    pub simulation: Arc<Simulation>,
    pub group: Group,
    pub nodes: Vec<Arc<Node>>,
    pub pids: Vec<ProcessId>,
}

const CONFIGURATION: &str = "[[placements]]\nname = \"p\"\nselect = { group = [\"g\"] }\n[[rules]]\nname = \"o\"\n\
    class = \"order\"\nplacement = \"p\"\n[[groups]]\nname = \"g\"\nsync_replicas = 1\n";

fn start_keepers(simulation: &Arc<Simulation>, count: usize) {
    let voter =
        |index: usize| Voter { name: format!("k{index}").into(), addr: addresses::keeper(index).into() };
    KeeperGroup::start(simulation, (0..count).map(voter).collect());
}

impl Fleet {
    /// Starts three keepers and `node_count` nodes; the servers are not registered yet.
    pub fn new(seed: u64, node_count: usize, group: Group) -> Fleet {
        fastrand::seed(seed);
        let simulation = Simulation::new(seed, None, false);
        start_keepers(&simulation, 3);
        let (mut nodes, mut pids) = (Vec::new(), Vec::new());
        for index in 0..node_count {
            let settings = NodeSettings {
                name: format!("n{index}"),
                zone: format!("d{index}"),
                client_listener: addresses::client_listener(index),
                operator_listener: addresses::operator_listener(index),
                gossip_listener: addresses::gossip_listener(index),
                seeds: (0..2).map(addresses::gossip_listener).collect(),
                keepers: (0..3).map(addresses::keeper).collect(),
                platform: addresses::platform(),
                token: "t".into(),
                log: "off".into(),
                threads: 1,
            };
            let live: Arc<Mutex<Option<Arc<Node>>>> = Arc::default();
            let (slot, name, servers) = (live.clone(), settings.name.clone(), group.clone());
            let start = move |simulation: &Arc<Simulation>, pid| {
                let node = Node::with_ports(&settings, Some(servers.ports(&settings.name)));
                let shared = node.clone();
                let on_frame = move |bytes: Vec<u8>| {
                    let node = shared.clone();
                    Box::pin(async move { peer_service::respond_to_frame(&node, &bytes).await })
                        as seam::BoxFuture<'_, _>
                };
                simulation.listen_frames(&settings.gossip_listener, pid, Arc::new(on_frame));
                node.start();
                *slot.lock().unwrap() = Some(node);
            };
            pids.push(simulation.add_process(&name, Arc::new(start), false));
            nodes.push(live.lock().unwrap().clone().unwrap());
        }
        Fleet { simulation, group, nodes, pids }
    }
    pub fn run_for(&self, ms: u64) {
        self.simulation.run_until(self.simulation.now() + ms);
    }
    /// Runs until the condition holds, which must be within `limit` ms; returns the time that it took.
    pub fn wait_until(&self, limit: u64, condition: impl Fn(&Fleet) -> bool) -> u64 {
        let started_at = self.simulation.now();
        while !condition(self) {
            assert!(
                self.simulation.now() < started_at + limit,
                "not within {limit} ms: {:#?}",
                self.event_log()
            );
            self.run_for(10);
        }
        self.simulation.now() - started_at
    }
    /// Calls that changed servers, then the promotion events of all nodes.
    pub fn event_log(&self) -> Vec<String> {
        let calls = self.group.with(|state| state.calls.clone());
        let events = self.nodes.iter().flat_map(|node| node.promotion_state.events.lock().unwrap().clone());
        calls.into_iter().chain(events).collect()
    }
    /// Registers all servers and pushes the configuration.
    pub fn register_all(&self) {
        let names: Vec<Name> = self.group.with(|state| state.servers.keys().cloned().collect());
        for (index, name) in names.iter().enumerate() {
            self.register_server(name, index, false, 1);
        }
        let node = self.nodes[0].clone();
        self.simulation.run_in(self.pids[0], || {
            seam::spawn(async move {
                let command =
                    Command::PushConfiguration { base: 0, text: CONFIGURATION.into(), by: "test".into() };
                node.store_client.write("plan", command, Duration::from_secs(5)).await.unwrap();
            })
        });
    }
    pub fn register_server(&self, name: &Name, index: usize, draining: bool, seq: u64) {
        let role = if index == 0 { Role::Primary } else { Role::Replica };
        let addr: Name = addresses::server(index).into();
        let (group, zone_name) = ("g".into(), "d0".into());
        let at = ServerRecord {
            server: name.clone(),
            group,
            addr,
            zone: zone_name,
            slots: 5,
            draining,
            role,
            seq,
        };
        let node = self.nodes[0].clone();
        self.simulation.run_in(self.pids[0], || {
            seam::spawn(async move {
                let key = format!("stand/{}/{}", at.server, at.seq);
                node.store_client
                    .write(&key, Command::RegisterServer { at }, Duration::from_secs(5))
                    .await
                    .unwrap();
            })
        });
    }
    pub fn primary(&self) -> Option<PrimaryAssignment> {
        self.nodes[0].proxy.registry.primary("g").filter(|assigned| assigned.server.is_some())
    }
    pub fn is_primary(&self, server: &str) -> bool {
        self.primary().is_some_and(|assigned| assigned.server.as_deref() == Some(server))
    }
    /// Starts the load: each node commits every 20 ms at the primary it knows, and records what it may acknowledge.
    pub fn start_load(&self) {
        for (node, pid) in self.nodes.iter().zip(&self.pids) {
            let (node, group) = (node.clone(), self.group.clone());
            self.simulation.run_in(*pid, || {
                seam::spawn(async move {
                    loop {
                        seam::sleep(Duration::from_millis(20)).await;
                        let Some(assigned) = node.proxy.registry.primary("g") else { continue };
                        let Some(server) = assigned.server else { continue };
                        let _in_flight = node.proxy.registry.in_flight.begin("g");
                        let Some(end) = group.with(|state| state.commit(&server)) else { continue };
                        // The answer takes 5 ms to arrive.
                        seam::sleep(Duration::from_millis(5)).await;
                        if node.proxy.registry.record_acknowledged("g", assigned.fence, end) {
                            group.with(|state| state.acknowledged = state.acknowledged.max(end));
                        }
                    }
                })
            });
        }
    }
    /// Checks that no violation was recorded, and ends the simulation.
    pub fn finish(self) {
        let violations = self.group.with(|state| state.violations.clone());
        assert!(violations.is_empty(), "{violations:#?} {:#?}", self.event_log());
        self.simulation.shut_down();
    }
}
