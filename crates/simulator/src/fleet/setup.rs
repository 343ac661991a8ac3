//! Builds a simulated fleet: keepers, nodes, stand-in servers, the platform and the callers' process.
//!
//! All of them are the very code that runs on a real fleet; this module only gives them addresses.
use super::keeper::{KeeperGroup, KeeperRegistry};
use super::network::{HttpHandler, HttpReply, HttpRequest};
use super::simulation::{ProcessId, Simulation, StartProcess};
use crate::addresses;
use bytes::Bytes;
use quincehatch_config::settings::NodeSettings;
use quincehatch_node::{ClusterNode, gossip, operator_api};
use quincehatch_proxy::listener;
use quincehatch_runtime::seam::{self, BoxFuture};
use quincehatch_store::Voter;
use quincehatch_testbed::fleet::{ServerAddress, Shape, TOKEN, configuration_for, parse_labels};
use quincehatch_testbed::platform::{Platform, poll_readiness};
use quincehatch_testbed::stand_in::{MemoryDisk, StandIn, StandInOptions, calls, replication};
use quincehatch_testbed::statement::ConnectionState;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Nodes that every node knows from its settings.
const SEED_NODES: usize = 3;
/// HTTP status of a stand-in's rejection.
const CONFLICT: u16 = 409;
const SUCCESS: u16 = 200;

/// A server's process, and the stand-in that runs in it.
#[derive(Clone)]
pub struct Server {
    /// Its process.
    pub pid: ProcessId,
    /// Its name, group and address.
    pub address: ServerAddress,
    /// The stand-in of its newest incarnation.
    pub stand_in: Arc<Mutex<Option<Arc<StandIn>>>>,
    /// Its disk.
    pub disk: Arc<MemoryDisk>,
}

impl Server {
    /// The stand-in of the newest incarnation.
    pub fn running(&self) -> Option<Arc<StandIn>> {
        self.stand_in.lock().unwrap().clone()
    }
}

/// A node of the newest incarnation of its process.
pub type LiveNode = Arc<Mutex<Option<Arc<ClusterNode>>>>;

/// A fleet in a simulation.
pub struct SimulatedFleet {
    /// The simulation it runs in.
    pub simulation: Arc<Simulation>,
    /// Its size.
    pub shape: Shape,
    /// Processes of the keepers.
    pub keepers: Vec<ProcessId>,
    /// What the keepers share.
    pub keeper_registry: Arc<KeeperRegistry>,
    /// Processes of the nodes.
    pub nodes: Vec<ProcessId>,
    /// What runs in them.
    pub live_nodes: Vec<LiveNode>,
    /// Servers, group by group.
    pub servers: Vec<Server>,
    /// One a group, under a name of its own; not running at first.
    pub spares: Vec<Server>,
    /// Where the nodes take calls of operators.
    pub operator_addresses: Vec<String>,
    /// Where the platform listens.
    pub platform: String,
    /// The platform's process; processes with a lower id are the fleet and its servers.
    pub platform_process: ProcessId,
    /// The process of all callers.
    pub callers: ProcessId,
    /// The first configuration.
    pub configuration: String,
}

fn zone_name(index: usize, zones: usize) -> String {
    format!("d{}", index % zones + 1)
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

/// The request as a node's listener reads it off the wire.
fn listener_request(request: HttpRequest) -> listener::HttpRequest {
    let method = if request.path == "/ready" { "GET" } else { "POST" }.to_owned();
    let body = if request.body.is_null() { Bytes::new() } else { Bytes::from(request.body.to_string()) };
    listener::HttpRequest { method, path: request.path, token: request.token, body }
}

fn start_node(simulation: &Arc<Simulation>, pid: ProcessId, settings: &NodeSettings) -> Arc<ClusterNode> {
    let node = ClusterNode::new(settings);
    let proxy = node.proxy.clone();
    let on_client_request: HttpHandler = Arc::new(move |request| {
        let proxy = proxy.clone();
        Box::pin(async move { Some(operator_api::origin(&proxy, listener_request(request)).await) })
    });
    simulation.listen_http(&settings.client_listener, pid, on_client_request, Arc::new(|_| ()));
    let shared = node.clone();
    let on_operator_request: HttpHandler = Arc::new(move |request| {
        let node = shared.clone();
        Box::pin(async move { Some(operator_api::answer(&node, listener_request(request)).await) })
    });
    simulation.listen_http(&settings.operator_listener, pid, on_operator_request, Arc::new(|_| ()));
    let shared = node.clone();
    let on_gossip = move |bytes: Vec<u8>| {
        let reply = gossip::respond_without_probing(&shared, &bytes);
        Box::pin(async move { reply }) as BoxFuture<'_, _>
    };
    simulation.listen_frames(&settings.gossip_listener, pid, Arc::new(on_gossip));
    node.start();
    node
}

/// Open connections of a server; the end of one drops its state, and with it its open transaction.
#[derive(Default)]
struct ServerConnections(Mutex<BTreeMap<u64, Arc<tokio::sync::Mutex<ConnectionState>>>>);

impl ServerConnections {
    fn get(&self, id: u64) -> Arc<tokio::sync::Mutex<ConnectionState>> {
        self.0.lock().unwrap().entry(id).or_default().clone()
    }

    fn close(&self, id: u64) {
        self.0.lock().unwrap().remove(&id);
    }
}

async fn answer_server_request(
    stand_in: Arc<StandIn>,
    connection: Arc<tokio::sync::Mutex<ConnectionState>>,
    request: HttpRequest,
) -> Option<HttpReply> {
    stand_in.faults.wait_while(&stand_in.faults.dark).await;
    let reply = calls::answer_call(&stand_in, &connection, &request.path, request.body).await.ok()?;
    stand_in.faults.wait_while(&stand_in.faults.dark).await;
    let status = if reply.get("error").is_some() { CONFLICT } else { SUCCESS };
    Some((status, reply))
}

fn start_server(simulation: &Arc<Simulation>, pid: ProcessId, options: StandInOptions) -> Arc<StandIn> {
    let addr = options.addr.clone();
    let stand_in = StandIn::open(options).expect("a disk in memory opens");
    let connections = Arc::new(ServerConnections::default());
    let (shared, open) = (stand_in.clone(), connections.clone());
    let on_request: HttpHandler = Arc::new(move |request| {
        let connection = open.get(request.connection);
        Box::pin(answer_server_request(shared.clone(), connection, request))
    });
    simulation.listen_http(&addr, pid, on_request, Arc::new(move |id| connections.close(id)));
    seam::spawn(replication::follow_primary(stand_in.clone()));
    seam::spawn(replication::send_heartbeats(stand_in.clone()));
    stand_in
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

fn add_server(
    simulation: &Arc<Simulation>,
    address: ServerAddress,
    zone: &str,
    peers: Vec<String>,
    shape: &Shape,
) -> Server {
    let labels = [
        format!("group={}", address.group),
        format!("district={zone}"),
        format!("copies={}", shape.replicas),
    ];
    let disk = Arc::<MemoryDisk>::default();
    let options = StandInOptions {
        name: address.name.clone(),
        addr: address.addr.clone(),
        labels: parse_labels(&labels),
        peers,
        operator_addresses: (0..shape.nodes).map(addresses::operator_listener).collect(),
        memory_disk: Some(disk.clone()),
        ..Default::default()
    };
    let stand_in: Arc<Mutex<Option<Arc<StandIn>>>> = Arc::default();
    let slot = stand_in.clone();
    let start: StartProcess = Arc::new(move |simulation, pid| {
        let started = start_server(simulation, pid, options.clone());
        *slot.lock().unwrap() = Some(started);
    });
    let pid = simulation.add_process(&address.name, start, false);
    Server { pid, address, stand_in, disk }
}

/// The servers of a group; the last is its spare, which is not running at first.
fn add_group(simulation: &Arc<Simulation>, group: usize, shape: &Shape) -> Vec<Server> {
    let first_index = group * (shape.replicas + 1);
    let addrs: Vec<String> =
        (0..=shape.replicas).map(|index| addresses::server(first_index + index)).collect();
    let mut servers = Vec::new();
    for (index, addr) in addrs.iter().enumerate() {
        let address = ServerAddress {
            name: format!("g{}s{}", group + 1, index + 1),
            group: format!("g{}", group + 1),
            addr: addr.clone(),
        };
        let peers = addrs.iter().filter(|peer| *peer != addr).cloned().collect();
        let zone = zone_name(group + index, shape.zones);
        servers.push(add_server(simulation, address, &zone, peers, shape));
    }
    if let Some(spare) = servers.last() {
        simulation.crash(spare.pid, false);
    }
    servers
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

/// Builds a fleet and starts its processes, in an order that is part of what a seed means.
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
        shape,
    }
}

impl SimulatedFleet {
    /// The process of a server or spare.
    pub fn server_process(&self, name: &str) -> Option<ProcessId> {
        let mut all = self.servers.iter().chain(&self.spares);
        all.find(|server| server.address.name == name).map(|server| server.pid)
    }

    /// Releases what the processes hold, so that nothing of the run stays behind.
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
