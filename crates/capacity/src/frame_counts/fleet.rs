//! The keepers and nodes of the simulated cluster.
use super::kinds::{SharedFrameCounts, count_frames, keeper_request_kind, node_request_kind};
use super::{KEEPERS, keeper_address};
use crate::samples::node_settings;
use crate::stub_servers::StubServers;
use quincehatch_core::Name;
use quincehatch_node::{Node, peer_service};
use quincehatch_runtime::seam::BoxFuture;
use quincehatch_simulator::fleet::keeper::{self, Disk, KeeperRegistry, KeeperSetup};
use quincehatch_simulator::fleet::simulation::{ProcessId, Simulation};
use quincehatch_store::record::RecoveredState;
use quincehatch_store::{View, Voter};
use std::fmt;
use std::sync::{Arc, Mutex};

/// Number of hosts that are numbered with one byte of an address.
const HOSTS_PER_SUBNET: usize = 250;
/// Number of seed nodes, whose addresses all nodes have in their settings.
const SEEDS: usize = 3;

/// A virtual address.
#[derive(Clone, Copy)]
pub(super) struct Address {
    /// 1 for keepers, 2 for nodes.
    pub(super) subnet: u64,
    pub(super) index: usize,
}

impl fmt::Display for Address {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let high = self.index / HOSTS_PER_SUBNET;
        let low = self.index % HOSTS_PER_SUBNET;
        write!(formatter, "127.{}.{high}.{low}:7000", self.subnet)
    }
}

fn node_address(index: usize) -> String {
    Address { subnet: 2, index }.to_string()
}

/// A node and the process it runs in.
pub(super) struct SimulatedNode {
    pub(super) process: ProcessId,
    pub(super) node: Arc<Node>,
}

/// Starts the keepers.
pub(super) fn start_keepers(simulation: &Arc<Simulation>, counts: &SharedFrameCounts) {
    let names: Vec<Name> = (0..KEEPERS).map(|index| format!("k{index}").into()).collect();
    let voters = names.iter().enumerate();
    let voters = voters
        .map(|(index, name)| Voter { name: name.clone(), addr: keeper_address(index).to_string().into() })
        .collect();
    let view = View { version: 1, members: names.clone(), voters };
    let registry = Arc::<KeeperRegistry>::default();
    for (index, name) in names.into_iter().enumerate() {
        let recovered = RecoveredState { view: view.clone(), ..Default::default() };
        let disk: Disk = Arc::new(Mutex::new(recovered));
        let addr = keeper_address(index).to_string();
        let setup = KeeperSetup { name: name.clone(), addr, disk, registry: registry.clone() };
        let counts = counts.clone();
        let start = move |simulation: &Arc<Simulation>, process| {
            keeper::start_keeper(simulation, process, &setup);
            count_frames(simulation, &setup.addr, keeper_request_kind, &counts);
        };
        let process = simulation.add_process(&name, Arc::new(start), true);
        registry.process_by_name.lock().unwrap().insert(name, process);
    }
}

/// Starts a node.
pub(super) fn start_node(
    simulation: &Arc<Simulation>,
    index: usize,
    servers: &StubServers,
    counts: &SharedFrameCounts,
) -> SimulatedNode {
    let keepers = (0..KEEPERS).map(|keeper| keeper_address(keeper).to_string()).collect();
    let seeds = (0..SEEDS).map(node_address).collect();
    let settings = node_settings(index, node_address(index), seeds, keepers);
    let name = settings.name.clone();
    let started: Arc<Mutex<Option<Arc<Node>>>> = Arc::default();
    let (started_node, servers, counts) = (started.clone(), servers.clone(), counts.clone());
    let start = move |simulation: &Arc<Simulation>, process| {
        let node = Node::with_ports(&settings, Some(servers.ports()));
        listen(simulation, process, &settings.gossip_listener, node.clone());
        count_frames(simulation, &settings.gossip_listener, node_request_kind, &counts);
        node.start();
        *started_node.lock().unwrap() = Some(node);
    };
    let process = simulation.add_process(&name, Arc::new(start), true);
    let node = started.lock().unwrap().clone();
    SimulatedNode { process, node: node.expect("the process has started") }
}

fn listen(simulation: &Arc<Simulation>, process: ProcessId, addr: &str, node: Arc<Node>) {
    let respond = move |frame: Vec<u8>| {
        let node = node.clone();
        Box::pin(async move { peer_service::respond_to_frame(&node, &frame).await }) as BoxFuture<'_, _>
    };
    simulation.listen_frames(addr, process, Arc::new(respond));
}
