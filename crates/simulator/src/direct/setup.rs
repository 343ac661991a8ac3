//! Setup of a fleet on direct connections: keepers, nodes, the servers of a group, the promoter, and the clients'
//! process.
use super::server::Server;
use super::server_group::ServerGroup;
use super::server_ports;
use crate::addresses;
use crate::fleet::keeper::KeeperRegistry;
use crate::fleet::keeper_group::KeeperGroup;
use crate::fleet::simulation::{ProcessId, Simulation, StartProcess};
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::Role;
use quincehatch_node::{Node, peer_service};
use quincehatch_proxy::direct::DirectProxy;
use quincehatch_runtime::seam::{self, BoxFuture};
use quincehatch_store::Voter;
use std::sync::{Arc, Mutex};

/// Name of the only group.
pub const GROUP: &str = "g";
/// Number of servers in the group.
pub const SERVERS: usize = 3;
/// Number of gossip seed nodes in each node's settings.
const SEED_NODES: usize = 3;
const ZONES: usize = 3;

/// The size of a fleet.
pub struct FleetSize {
    /// Number of keepers.
    pub keepers: usize,
    /// Number of nodes.
    pub nodes: usize,
}

/// The running parts of one incarnation of a node's process.
pub struct RunningNode {
    /// The node.
    pub node: Arc<Node>,
    /// The proxy for the node's sessions on direct connections.
    pub direct_proxy: Arc<DirectProxy>,
}

type RunningSlot = Arc<Mutex<Option<Arc<RunningNode>>>>;

/// A node's process.
#[derive(Clone)]
pub struct SimulatedNode {
    /// The process.
    pub pid: ProcessId,
    /// The node's name.
    pub name: String,
    running: RunningSlot,
}

impl SimulatedNode {
    /// Returns the running parts of the newest incarnation, or `None` before the first start.
    pub fn running(&self) -> Option<Arc<RunningNode>> {
        self.running.lock().unwrap().clone()
    }
}

/// A fleet in a simulation.
pub struct DirectFleet {
    /// The simulation that the fleet runs in.
    pub simulation: Arc<Simulation>,
    /// The group's servers.
    pub group: Arc<ServerGroup>,
    /// Processes of the keepers.
    pub keepers: Vec<ProcessId>,
    /// Addresses of the keepers.
    pub keeper_addresses: Vec<String>,
    /// The registry that the simulated keepers share.
    pub keeper_registry: Arc<KeeperRegistry>,
    /// The nodes.
    pub nodes: Vec<SimulatedNode>,
    /// The process in which all clients run.
    pub clients: ProcessId,
}

fn start_keepers(simulation: &Arc<Simulation>, count: usize) -> KeeperGroup {
    let voter =
        |index: usize| Voter { name: format!("k{index}").into(), addr: addresses::keeper(index).into() };
    KeeperGroup::start(simulation, (0..count).map(voter).collect())
}

fn node_settings(index: usize, size: &FleetSize) -> NodeSettings {
    NodeSettings {
        name: format!("n{index}"),
        zone: format!("d{}", index % ZONES),
        client_listener: addresses::client_listener(index),
        operator_listener: addresses::operator_listener(index),
        gossip_listener: addresses::gossip_listener(index),
        seeds: (0..size.nodes.min(SEED_NODES)).map(addresses::gossip_listener).collect(),
        keepers: (0..size.keepers).map(addresses::keeper).collect(),
        platform: addresses::platform(),
        token: "t".into(),
        log: "off".into(),
        threads: 1,
    }
}

fn start_node(
    simulation: &Arc<Simulation>,
    pid: ProcessId,
    settings: &NodeSettings,
    group: &Arc<ServerGroup>,
) -> Arc<RunningNode> {
    let node = Node::with_ports(settings, Some(server_ports::server_ports(group, pid)));
    let direct_proxy = DirectProxy::new(node.proxy.clone(), server_ports::server_connector(group, pid));
    let shared = node.clone();
    let on_gossip = move |bytes: Vec<u8>| {
        let node = shared.clone();
        Box::pin(async move { peer_service::respond_to_frame(&node, &bytes).await }) as BoxFuture<'_, _>
    };
    simulation.listen_frames(&settings.gossip_listener, pid, Arc::new(on_gossip));
    node.start();
    let shared = node.clone();
    let live_nodes = move || shared.gossip.live_nodes().len();
    seam::spawn(direct_proxy.clone().trim_idle_connections(live_nodes));
    Arc::new(RunningNode { node, direct_proxy })
}

/// Returns a server with an empty log. The server with index 0 is the primary.
fn new_server(index: usize, pid: ProcessId) -> Server {
    Server {
        name: format!("s{index}").into(),
        pid,
        addr: addresses::server(index).into(),
        role: if index == 0 { Role::Primary } else { Role::Replica },
        term: 1,
        ..Server::default()
    }
}

fn add_group(simulation: &Arc<Simulation>, passive: &StartProcess) -> Arc<ServerGroup> {
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let pid = simulation.add_process(&format!("s{index}"), passive.clone(), true);
        servers.push(new_server(index, pid));
    }
    let promoter = simulation.add_process("promoter", passive.clone(), true);
    let group = ServerGroup::new(simulation, promoter);
    group.with(|state| state.servers = servers);
    group
}

fn add_node(simulation: &Arc<Simulation>, settings: NodeSettings, group: &Arc<ServerGroup>) -> SimulatedNode {
    let running = RunningSlot::default();
    let (slot, name, group) = (running.clone(), settings.name.clone(), group.clone());
    let start: StartProcess = Arc::new(move |simulation, pid| {
        let started = start_node(simulation, pid, &settings, &group);
        *slot.lock().unwrap() = Some(started);
    });
    let pid = simulation.add_process(&name, start, false);
    SimulatedNode { pid, name, running }
}

/// Builds a fleet and starts its processes. Their order must not change, because seeds would then give other runs.
pub fn build_fleet(seed: u64, size: &FleetSize, bug: Option<&str>, verbose: bool) -> Arc<DirectFleet> {
    fastrand::seed(seed);
    let simulation = Simulation::new(seed, bug, verbose);
    let keepers = start_keepers(&simulation, size.keepers);
    // Processes of servers, promoter and clients start no tasks of their own: this module's types hold their state.
    let passive: StartProcess = Arc::new(|_, _| ());
    let group = add_group(&simulation, &passive);
    let mut nodes = Vec::new();
    for index in 0..size.nodes {
        nodes.push(add_node(&simulation, node_settings(index, size), &group));
    }
    let clients = simulation.add_process("clients", passive, true);
    group.replicate_periodically(&simulation);
    Arc::new(DirectFleet {
        simulation,
        group,
        keepers: keepers.processes,
        keeper_addresses: (0..size.keepers).map(addresses::keeper).collect(),
        keeper_registry: keepers.registry,
        nodes,
        clients,
    })
}

impl DirectFleet {
    /// Ends the simulation and releases the nodes and the pending commits.
    pub fn shut_down(&self) {
        self.simulation.shut_down();
        for node in &self.nodes {
            drop(node.running.lock().unwrap().take());
        }
        self.group.with(|state| {
            for server in &mut state.servers {
                server.pending_commits.clear();
            }
        });
    }
}
