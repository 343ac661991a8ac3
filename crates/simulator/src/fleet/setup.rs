//! Builds a simulated fleet: keepers, nodes, stand-in servers, the platform and the callers' process.
//!
//! All of them run the same code as in a real fleet; this module only assigns addresses.
use super::keeper::KeeperRegistry;
use super::keeper_group::KeeperGroup;
use super::network::{HttpHandler, HttpRequest};
pub use super::servers::Server;
use super::servers::{add_group, zone_name};
use super::simulation::{ProcessId, Simulation, StartProcess};
use crate::addresses;
use bytes::Bytes;
use quincehatch_config::settings::NodeSettings;
use quincehatch_node::{Node, client_api, operator, peer_service};
use quincehatch_proxy::listener;
use quincehatch_runtime::seam::{self, BoxFuture};
use quincehatch_store::Voter;
use quincehatch_testbed::fleet::{Shape, TOKEN, configuration_for};
use quincehatch_testbed::platform::{Platform, poll_readiness};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

/// Number of nodes that every node's settings list as seeds.
const SEED_NODES: usize = 3;
/// The node of the newest incarnation of a process.
pub type LiveNode = Arc<Mutex<Option<Arc<Node>>>>;

/// A fleet in a simulation.
pub struct SimulatedFleet {
    /// The simulation that the fleet runs in.
    pub simulation: Arc<Simulation>,
    /// The size of the fleet.
    pub shape: Shape,
    /// Processes of the keepers.
    pub keepers: Vec<ProcessId>,
    /// The state that the keepers share.
    pub keeper_registry: Arc<KeeperRegistry>,
    /// Processes of the nodes.
    pub nodes: Vec<ProcessId>,
    /// The nodes that run in these processes.
    pub live_nodes: Vec<LiveNode>,
    /// Servers, ordered by group.
    pub servers: Vec<Server>,
    /// One spare server for each group, under a name of its own; not running at first.
    pub spares: Vec<Server>,
    /// The addresses of the nodes' operator listeners.
    pub operator_addresses: Vec<String>,
    /// The platform's address.
    pub platform: String,
    /// The platform's process; processes with a lower id are keepers, nodes and servers.
    pub platform_process: ProcessId,
    /// The process of all callers.
    pub callers: ProcessId,
    /// The first configuration.
    pub configuration: String,
    /// Whether all faults were healed, after which scheduled steps of earlier faults are skipped.
    pub healed: AtomicBool,
}

fn node_settings(shape: &Shape, index: usize) -> NodeSettings {
    NodeSettings {
        name: format!("n{}", index + 1),
        zone: zone_name(index, shape.zones),
        client_listener: addresses::client_listener(index),
        operator_listener: addresses::operator_listener(index),
        gossip_listener: addresses::gossip_listener(index),
        seeds: (0..shape.nodes.min(SEED_NODES)).map(addresses::gossip_listener).collect(),
        keepers: (0..shape.keepers).map(addresses::keeper).collect(),
        platform: addresses::platform(),
        token: TOKEN.into(),
        log: "off".into(),
        threads: 1,
    }
}

/// Converts a request to the form in which a node's listener parses it.
fn listener_request(request: HttpRequest) -> listener::HttpRequest {
    let method = if request.path == "/ready" { "GET" } else { "POST" }.to_owned();
    let body = if request.body.is_null() { Bytes::new() } else { Bytes::from(request.body.to_string()) };
    listener::HttpRequest { method, path: request.path, token: request.token, body }
}

fn start_node(simulation: &Arc<Simulation>, pid: ProcessId, settings: &NodeSettings) -> Arc<Node> {
    let node = Node::new(settings);
    let proxy = node.proxy.clone();
    let on_client_request: HttpHandler = Arc::new(move |request| {
        let proxy = proxy.clone();
        Box::pin(async move { Some(client_api::answer(&proxy, listener_request(request)).await) })
    });
    simulation.listen_http(&settings.client_listener, pid, on_client_request, Arc::new(|_| ()));
    let shared = node.clone();
    let on_operator_request: HttpHandler = Arc::new(move |request| {
        let node = shared.clone();
        Box::pin(async move { Some(operator::answer(&node, listener_request(request)).await) })
    });
    simulation.listen_http(&settings.operator_listener, pid, on_operator_request, Arc::new(|_| ()));
    let shared = node.clone();
    let on_gossip = move |bytes: Vec<u8>| {
        let reply = peer_service::respond_to_frame_without_probing(&shared, &bytes);
        Box::pin(async move { reply }) as BoxFuture<'_, _>
    };
    simulation.listen_frames(&settings.gossip_listener, pid, Arc::new(on_gossip));
    node.start();
    node
}

fn start_keepers(simulation: &Arc<Simulation>, count: usize) -> KeeperGroup {
    let voter = |index: usize| Voter {
        name: format!("k{}", index + 1).into(),
        addr: addresses::keeper(index).into(),
    };
    KeeperGroup::start(simulation, (0..count).map(voter).collect())
}

fn add_node(simulation: &Arc<Simulation>, settings: NodeSettings) -> (ProcessId, LiveNode) {
    let live = LiveNode::default();
    let (slot, name) = (live.clone(), settings.name.clone());
    let start: StartProcess = Arc::new(move |simulation, pid| {
        let node = start_node(simulation, pid, &settings);
        *slot.lock().unwrap() = Some(node);
    });
    (simulation.add_process(&name, start, false), live)
}

fn add_platform(simulation: &Arc<Simulation>, shape: &Shape) -> ProcessId {
    let node = |index: usize| (zone_name(index, shape.zones), addresses::client_listener(index));
    let platform = Platform::new((0..shape.nodes).map(node).collect());
    let start: StartProcess = Arc::new(move |simulation, pid| {
        let shared = platform.clone();
        let on_request: HttpHandler = Arc::new(move |request| {
            let platform = shared.clone();
            Box::pin(async move { Some(platform.call(&request.path, &request.body).await) })
        });
        simulation.listen_http(&addresses::platform(), pid, on_request, Arc::new(|_| ()));
        seam::spawn(poll_readiness(platform.clone()));
    });
    simulation.add_process("platform", start, true)
}

/// Builds a fleet and starts its processes. The order of the starts is part of what a seed means.
pub fn build_fleet(seed: u64, shape: Shape, bug: Option<&str>, verbose: bool) -> SimulatedFleet {
    fastrand::seed(seed);
    let simulation = Simulation::new(seed, bug, verbose);
    let keepers = start_keepers(&simulation, shape.keepers);
    let (mut nodes, mut live_nodes) = (Vec::new(), Vec::new());
    for index in 0..shape.nodes {
        let (pid, live) = add_node(&simulation, node_settings(&shape, index));
        nodes.push(pid);
        live_nodes.push(live);
    }
    let (mut servers, mut spares) = (Vec::new(), Vec::new());
    for group in 0..shape.groups {
        let mut members = add_group(&simulation, group, &shape);
        spares.extend(members.pop());
        servers.extend(members);
    }
    let platform_process = add_platform(&simulation, &shape);
    let callers = simulation.add_process("callers", Arc::new(|_, _| ()), true);
    SimulatedFleet {
        simulation,
        keepers: keepers.processes,
        keeper_registry: keepers.registry,
        nodes,
        live_nodes,
        servers,
        spares,
        operator_addresses: (0..shape.nodes).map(addresses::operator_listener).collect(),
        platform: addresses::platform(),
        platform_process,
        callers,
        configuration: configuration_for(&shape),
        healed: AtomicBool::new(false),
        shape,
    }
}

impl SimulatedFleet {
    /// Returns the process of a server or spare.
    pub fn server_process(&self, name: &str) -> Option<ProcessId> {
        let mut all = self.servers.iter().chain(&self.spares);
        all.find(|server| server.address.name == name).map(|server| server.pid)
    }

    /// Ends the simulation and releases all nodes and stand-ins, so that the memory of the run is freed.
    pub fn shut_down(&self) {
        self.simulation.shut_down();
        for node in &self.live_nodes {
            drop(node.lock().unwrap().take());
        }
        for server in self.servers.iter().chain(&self.spares) {
            drop(server.stand_in.lock().unwrap().take());
        }
    }
}
