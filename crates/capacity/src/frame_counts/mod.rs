//! A cluster of hollow nodes on the simulator's network, where every frame is counted by its kind. The results do not
//! depend on the machine.
mod fleet;
mod kinds;

pub use kinds::{FrameCount, FrameCounts, FrameKind};

use crate::samples::{SERVERS_PER_GROUP, configuration_text, server_record};
use crate::stub_servers::StubServers;
use fleet::{Address, SimulatedNode};
use kinds::SharedFrameCounts;
use quincehatch_node::Node;
use quincehatch_runtime::seam;
use quincehatch_simulator::fleet::simulation::Simulation;
use quincehatch_store::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Number of keepers in the cluster.
pub const KEEPERS: usize = 5;

const SEED: u64 = 9;
const WRITE_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout of a push, in virtual milliseconds.
const PUSH_TIMEOUT_MS: u64 = 9_000;
const KEEPER_START_MS: u64 = 3_000;
/// A cluster that is not in service by this time has failed, in virtual milliseconds.
const START_TIMEOUT_MS: u64 = 180_000;
const READY_POLL_MS: u64 = 500;
const SETTLE_MS: u64 = 4_000;
const MS_PER_SECOND: u64 = 1_000;
const PUSHES: u64 = 10;
/// Share of the nodes that every node must know. Most members discover all others quickly, but the last few pairs only
/// discover each other through random probes.
const KNOWN_NODES_PERCENT: usize = 97;

/// The frames of a cluster in service, and the durations of its pushes.
#[derive(Clone, Debug, Default)]
pub struct FleetTraffic {
    /// Frames by kind.
    pub frames: FrameCounts,
    /// The smallest number of live nodes that any node knows.
    pub fewest_known: usize,
    /// Durations of ten pushes until their acknowledgement, in virtual milliseconds.
    pub push_ms: Vec<u64>,
    /// Duration of one push after the crash of a node, in virtual milliseconds.
    pub push_ms_after_node_loss: u64,
}

/// Counts the frames of `seconds` in service. Returns `None` if the cluster does not come into service.
pub fn measure(nodes: usize, groups: usize, seconds: u64) -> Option<FleetTraffic> {
    fastrand::seed(SEED);
    let simulation = Simulation::new(SEED, None, false);
    let counts = SharedFrameCounts::default();
    let servers = StubServers::default();
    fleet::start_keepers(&simulation, &counts);
    let nodes: Vec<SimulatedNode> =
        (0..nodes).map(|index| fleet::start_node(&simulation, index, &servers, &counts)).collect();
    simulation.run_until(KEEPER_START_MS);
    begin_service(&simulation, &nodes[0], groups);
    wait_until_ready(&simulation, &nodes, groups)?;
    simulation.run_until(simulation.now() + SETTLE_MS);
    counts.lock().unwrap().clear();
    simulation.run_until(simulation.now() + seconds * MS_PER_SECOND);
    let frames = counts.lock().unwrap().clone();
    let fewest_known = nodes.iter().map(|node| node.node.gossip.live_nodes().len()).min().unwrap_or(0);
    let push_ms = (1..=PUSHES).map(|base| push(&simulation, &nodes[0], base)).collect();
    simulation.crash(nodes[nodes.len() - 1].process, false);
    let push_ms_after_node_loss = push(&simulation, &nodes[0], PUSHES + 1);
    simulation.shut_down();
    Some(FleetTraffic { frames, fewest_known, push_ms, push_ms_after_node_loss })
}

/// Pushes a configuration and registers the servers through one of the nodes.
fn begin_service(simulation: &Arc<Simulation>, from: &SimulatedNode, groups: usize) {
    let node = from.node.clone();
    simulation.run_in(from.process, || {
        seam::spawn(async move {
            write(&node, "plan", push_command(groups, 0)).await;
            for index in 0..groups * SERVERS_PER_GROUP {
                let command = Command::RegisterServer { at: server_record(index, 1) };
                write(&node, &format!("beat/{index}/1"), command).await;
            }
        })
    });
}

fn push_command(groups: usize, base: u64) -> Command {
    Command::PushConfiguration { base, text: configuration_text(groups, base), by: "operator".into() }
}

/// Writes a command and ignores failures, which become visible as a cluster that does not come into service or as a
/// push that takes too long.
async fn write(node: &Node, key: &str, command: Command) {
    let _ = node.store_client.write(key, command, WRITE_TIMEOUT).await;
}

fn wait_until_ready(simulation: &Arc<Simulation>, nodes: &[SimulatedNode], groups: usize) -> Option<()> {
    while !nodes.iter().all(|node| is_ready(&node.node, nodes.len(), groups)) {
        let now = simulation.now();
        if now > START_TIMEOUT_MS {
            return None;
        }
        simulation.run_until(now + READY_POLL_MS);
    }
    Some(())
}

fn is_ready(node: &Node, nodes: usize, groups: usize) -> bool {
    let primaries = node.feed_state.lock().unwrap().primaries.len();
    primaries >= groups && node.gossip.live_nodes().len() * 100 >= nodes * KNOWN_NODES_PERCENT
}

/// Pushes a configuration. Returns the time until its acknowledgement, in virtual milliseconds.
fn push(simulation: &Arc<Simulation>, from: &SimulatedNode, base: u64) -> u64 {
    let started_at = simulation.now();
    let acknowledged = Arc::new(AtomicBool::new(false));
    let node = from.node.clone();
    let done = acknowledged.clone();
    simulation.run_in(from.process, || {
        seam::spawn(async move {
            write(&node, &format!("push/{base}"), push_command(1, base)).await;
            done.store(true, Ordering::SeqCst);
        })
    });
    while !acknowledged.load(Ordering::SeqCst) && simulation.now() < started_at + PUSH_TIMEOUT_MS {
        simulation.run_until(simulation.now() + 1);
    }
    simulation.now() - started_at
}

/// Returns the address of a keeper.
fn keeper_address(index: usize) -> Address {
    Address { subnet: 1, index }
}
