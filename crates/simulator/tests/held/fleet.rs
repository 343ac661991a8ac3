//! A fleet in virtual time: keepers and nodes over a simulated group of servers on direct connections.
use crate::group::Group;
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{Millis, Name, Position, PrimaryAssignment, Role, ServerRecord};
use quincehatch_node::{Node, peer_service};
use quincehatch_proxy::routing::commit_evidence::Commit;
use quincehatch_runtime::{now, seam};
use quincehatch_simulator::addresses;
use quincehatch_simulator::fleet::keeper_group::KeeperGroup;
use quincehatch_simulator::fleet::simulation::{ProcessId, Simulation};
use quincehatch_store::{Command, Voter};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct World {
    pub simulation: Arc<Simulation>,
    pub group: Group,
    pub nodes: Vec<Arc<Node>>,
    pub pids: Vec<ProcessId>,
}

/// A client must have the response to its commit within this time.
const STATEMENT_TIMEOUT: Millis = 2_000;
const CONFIGURATION: &str = "[[placements]]\nname = \"p\"\nselect = { group = [\"g\"] }\n[[rules]]\nname = \"o\"\n\
    class = \"order\"\nplacement = \"p\"\n[[groups]]\nname = \"g\"\nsync_replicas = 1\n";

fn start_keepers(simulation: &Arc<Simulation>, count: usize) {
    let voter =
        |index: usize| Voter { name: format!("k{index}").into(), addr: addresses::keeper(index).into() };
    KeeperGroup::start(simulation, (0..count).map(voter).collect());
}

impl World {
    /// Starts three keepers and `node_count` nodes. The servers are not registered yet.
    pub fn new(seed: u64, node_count: usize, group: Group) -> World {
        fastrand::seed(seed);
        let simulation = Simulation::new(seed, None, false);
        start_keepers(&simulation, 3);
        let (mut nodes, mut pids) = (Vec::new(), Vec::new());
        for i in 0..node_count {
            let settings = NodeSettings {
                name: format!("n{i}"),
                zone: format!("d{i}"),
                client_listener: addresses::client_listener(i),
                operator_listener: addresses::operator_listener(i),
                gossip_listener: addresses::gossip_listener(i),
                seeds: (0..2).map(addresses::gossip_listener).collect(),
                keepers: (0..3).map(addresses::keeper).collect(),
                platform: addresses::platform(),
                token: "t".into(),
                log: "off".into(),
                threads: 1,
            };
            let live: Arc<Mutex<Option<Arc<Node>>>> = Arc::default();
            let (slot, name, node_group) = (live.clone(), settings.name.clone(), group.clone());
            let start = move |simulation_handle: &Arc<Simulation>, pid| {
                let node = Node::with_ports(&settings, Some(node_group.ports(&settings.name)));
                let shared = node.clone();
                let on_frame = move |bytes: Vec<u8>| {
                    let node = shared.clone();
                    Box::pin(async move { peer_service::respond_to_frame(&node, &bytes).await })
                        as seam::BoxFuture<'_, _>
                };
                simulation_handle.listen_frames(&settings.gossip_listener, pid, Arc::new(on_frame));
                node.start();
                *slot.lock().unwrap() = Some(node);
            };
            pids.push(simulation.add_process(&name, Arc::new(start), false));
            nodes.push(live.lock().unwrap().clone().unwrap());
        }
        World { simulation, group, nodes, pids }
    }
    pub fn run_for(&self, ms: u64) {
        self.simulation.run_until(self.simulation.now() + ms);
    }
    /// Runs until `condition` is true, and returns how long that took. Panics after `limit_ms`.
    pub fn wait_until(&self, limit_ms: u64, condition: impl Fn(&World) -> bool) -> u64 {
        let started_at = self.simulation.now();
        while !condition(self) {
            assert!(
                self.simulation.now() < started_at + limit_ms,
                "condition not met within {limit_ms} ms: {:#?}",
                self.event_log()
            );
            self.run_for(10);
        }
        self.simulation.now() - started_at
    }
    /// Returns the events of the group, followed by the promotion events of the nodes.
    pub fn event_log(&self) -> Vec<String> {
        let group_events = self.group.with(|s| s.events.clone());
        let node_events =
            self.nodes.iter().flat_map(|node| node.promotion_state.events.lock().unwrap().clone());
        group_events.into_iter().chain(node_events).collect()
    }
    /// Writes the configuration and the registrations of all servers to the replicated store.
    pub fn register_servers(&self) {
        let names: Vec<Name> = self.group.with(|s| s.servers.keys().cloned().collect());
        for (i, name) in names.iter().enumerate() {
            self.register_server(name, i, false, 1);
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
    /// Registers one server. The server with index 0 is the primary.
    pub fn register_server(&self, server: &Name, i: usize, draining: bool, seq: u64) {
        let role = if i == 0 { Role::Primary } else { Role::Replica };
        let addr: Name = addresses::server(i).into();
        let (group, zone) = ("g".into(), "d0".into());
        let record =
            ServerRecord { server: server.clone(), group, addr, zone, slots: 5, draining, role, seq };
        let node = self.nodes[0].clone();
        self.simulation.run_in(self.pids[0], || {
            seam::spawn(async move {
                let key = format!("stand/{}/{}", record.server, record.seq);
                node.store_client
                    .write(&key, Command::RegisterServer { at: record }, Duration::from_secs(5))
                    .await
                    .unwrap();
            })
        });
    }
    /// Returns the primary that the first node knows, if one is assigned.
    pub fn assigned_primary(&self) -> Option<PrimaryAssignment> {
        self.nodes[0].proxy.registry.primary("g").filter(|assignment| assignment.server.is_some())
    }
    pub fn is_primary(&self, server: &str) -> bool {
        self.assigned_primary().is_some_and(|assignment| assignment.server.as_deref() == Some(server))
    }
    /// Lets each node commit every 20 ms at the primary that it knows, and record the commit as acknowledged if its
    /// registry permits that.
    pub fn start_load(&self) {
        for (node, pid) in self.nodes.iter().zip(&self.pids) {
            let (node, group) = (node.clone(), self.group.clone());
            self.simulation.run_in(*pid, || {
                seam::spawn(async move {
                    loop {
                        seam::sleep(Duration::from_millis(20)).await;
                        let Some(assignment) = node.proxy.registry.primary("g") else { continue };
                        let Some(server) = assignment.server else { continue };
                        let _work = node.proxy.registry.in_flight.begin("g");
                        let Some(end) = group.with(|s| s.commit(&server)) else { continue };
                        // The acknowledgement reaches the node with a delay.
                        seam::sleep(Duration::from_millis(5)).await;
                        let commit = Commit { fence: assignment.fence, end, after: Position::default() };
                        let finish_by = now() + STATEMENT_TIMEOUT;
                        if node.proxy.registry.acknowledge_by("g", &commit, finish_by).await {
                            group.with(|s| s.acknowledged = s.acknowledged.max(end));
                        }
                    }
                })
            });
        }
    }
    /// Asserts that no violation was recorded, and ends the simulation.
    pub fn finish(self) {
        let violations = self.group.with(|s| s.violations.clone());
        assert!(violations.is_empty(), "{violations:#?} {:#?}", self.event_log());
        self.simulation.shut_down();
    }
}
