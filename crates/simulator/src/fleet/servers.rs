//! The stand-in servers of a simulated fleet.
use super::network::{HttpHandler, HttpReply, HttpRequest};
use super::simulation::{ProcessId, Simulation, StartProcess};
use crate::addresses;
use quincehatch_runtime::seam;
use quincehatch_testbed::fleet::{ServerAddress, Shape, parse_labels};
use quincehatch_testbed::stand_in::{MemoryDisk, StandIn, StandInOptions, calls, replication};
use quincehatch_testbed::statement::ConnectionState;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// HTTP status of a stand-in's rejection.
const CONFLICT: u16 = 409;
const SUCCESS: u16 = 200;

/// A server's process, and the stand-in that runs in it.
#[derive(Clone)]
pub struct Server {
    /// The server's process.
    pub pid: ProcessId,
    /// The server's name, group and address.
    pub address: ServerAddress,
    /// The stand-in of the newest incarnation; `None` before the first start.
    pub stand_in: Arc<Mutex<Option<Arc<StandIn>>>>,
    /// The server's disk.
    pub disk: Arc<MemoryDisk>,
}

impl Server {
    /// Returns the stand-in of the newest incarnation.
    pub fn running(&self) -> Option<Arc<StandIn>> {
        self.stand_in.lock().unwrap().clone()
    }
}

/// Returns the zone of the machine with this index.
pub(super) fn zone_name(index: usize, zones: usize) -> String {
    format!("d{}", index % zones + 1)
}

/// The open connections of a server. Closing a connection drops its state, and with it an open transaction.
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

/// Adds the servers of a group; the last one is its spare, which is not running at first.
pub(super) fn add_group(simulation: &Arc<Simulation>, group: usize, shape: &Shape) -> Vec<Server> {
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
