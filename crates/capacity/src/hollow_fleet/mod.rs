//! A cluster of hollow nodes in one process over real loopback sockets. Each keeper has a thread and all nodes share
//! one, so that the kernel accounts for the processor time of each role separately.
mod keepers;
mod nodes;
mod service;

use crate::cpu::{resident_kib, thread_cpu_ms};
use crate::samples::server_record;
use crate::stub_servers::StubServers;
use nodes::NodeThread;
use quincehatch_core::ServerRecord;
use quincehatch_node::store_client::StoreClient;
use quincehatch_runtime::now;
use quincehatch_store::Command;
use serde_json::{Value, json};
use service::write;
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// Time for the keepers to start before memory is measured.
const KEEPER_START: Duration = Duration::from_millis(1_500);
/// Time for the cluster to become idle before it is measured.
const SETTLE: Duration = Duration::from_secs(4);
/// How often a measurement without load checks whether its time has passed.
const IDLE_POLL: Duration = Duration::from_millis(50);
const MS_PER_SECOND: u64 = 1_000;
/// Number of servers whose records change.
const CHANGING_SERVERS: usize = 3;

/// The cluster to measure and its load.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Number of hollow nodes.
    pub nodes: usize,
    /// Number of server groups. The servers are stubs.
    pub groups: usize,
    /// Number of keepers.
    pub keepers: usize,
    /// Changed server records that are written per second during the measurement.
    pub changes: usize,
    /// Duration of the measurement, in seconds.
    pub seconds: u64,
}

/// A loopback address with its listener.
struct Bound {
    addr: String,
    listener: TcpListener,
}

fn bind_many(count: usize) -> io::Result<Vec<Bound>> {
    let mut bound = Vec::with_capacity(count);
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        bound.push(Bound { addr: listener.local_addr()?.to_string(), listener });
    }
    Ok(bound)
}

fn single_thread_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

/// Runs one cluster and returns the resource usage of each role as JSON. The keepers store their data in `dir`.
pub fn measure(spec: &FleetSpec, dir: &Path) -> Result<Value, String> {
    let bound = bind_many(spec.keepers).map_err(|error| error.to_string())?;
    let addrs: Vec<String> = bound.iter().map(|keeper| keeper.addr.clone()).collect();
    let keeper_threads = keepers::start(dir, bound);
    let servers = StubServers::default();
    std::thread::sleep(KEEPER_START);
    let resident_before = resident_kib();
    let nodes = nodes::start(spec.nodes, &addrs, &servers).map_err(|error| error.to_string())?;
    let fleet = Fleet { spec: spec.clone(), keeper_threads, nodes, servers };
    single_thread_runtime().block_on(async {
        let client = Arc::new(StoreClient::new("node", &addrs));
        service::bring_into_service(spec, &client, &fleet.nodes).await?;
        tokio::time::sleep(SETTLE).await;
        let before = fleet.usage();
        let changes = fleet.apply_load(&client).await?;
        let after = fleet.usage();
        Ok(fleet.report(&before, &after, changes, resident_kib() - resident_before))
    })
}

struct Fleet {
    spec: FleetSpec,
    keeper_threads: Vec<PathBuf>,
    nodes: NodeThread,
    servers: StubServers,
}

/// Cumulative resource usage at one point in time.
struct Usage {
    at_ms: u64,
    node_thread_ms: f64,
    keeper_ms: Vec<f64>,
    gossip_messages: u64,
    server_calls: u64,
}

impl Fleet {
    fn usage(&self) -> Usage {
        Usage {
            node_thread_ms: thread_cpu_ms(&self.nodes.thread),
            keeper_ms: self.keeper_threads.iter().map(|thread| thread_cpu_ms(thread)).collect(),
            gossip_messages: self.nodes.gossip_messages(),
            server_calls: self.servers.calls(),
            at_ms: now(),
        }
    }

    /// Writes changes at a constant rate for the duration of the measurement. Returns their number.
    async fn apply_load(&self, client: &StoreClient) -> Result<u64, String> {
        let started_at = now();
        let end = started_at + self.spec.seconds * MS_PER_SECOND;
        let mut changes = 0u64;
        while now() < end {
            if self.spec.changes == 0 {
                tokio::time::sleep(IDLE_POLL).await;
                continue;
            }
            changes += 1;
            let due = started_at + changes * MS_PER_SECOND / self.spec.changes as u64;
            tokio::time::sleep(Duration::from_millis(due.saturating_sub(now()))).await;
            let command = Command::RegisterServer { at: changed_record(changes) };
            write(client, format!("beat/c/{changes}"), command).await?;
        }
        Ok(changes)
    }

    fn report(&self, before: &Usage, after: &Usage, changes: u64, grown_kib: f64) -> Value {
        let seconds = (after.at_ms - before.at_ms) as f64 / MS_PER_SECOND as f64;
        let nodes = self.spec.nodes as f64;
        let per_second = |used: f64| used / seconds;
        let thread_ms = per_second(after.node_thread_ms - before.node_thread_ms);
        let messages = (after.gossip_messages - before.gossip_messages) as f64;
        let calls = (after.server_calls - before.server_calls) as f64;
        let keeper_ms: Vec<f64> = before
            .keeper_ms
            .iter()
            .zip(&after.keeper_ms)
            .map(|(before, after)| per_second(after - before))
            .collect();
        json!({
            "fewest_known": self.nodes.fewest_live(),
            "nodes": self.spec.nodes, "groups": self.spec.groups,
            "changes": changes as f64 / seconds, "seconds": seconds,
            "node_ms": thread_ms / nodes, "thread_ms": thread_ms, "node_kib": grown_kib / nodes,
            "gossip_messages": per_second(messages) / nodes, "status_calls": per_second(calls) / nodes,
            "head_ms": keeper_ms.first(), "tail_ms": keeper_ms.last(),
        })
    }
}

/// Returns a server's record in which another field than its sequence number has changed.
fn changed_record(change: u64) -> ServerRecord {
    let record = server_record(change as usize % CHANGING_SERVERS, 10 + change);
    ServerRecord { slots: 5 + (change % 2) as u32, ..record }
}
