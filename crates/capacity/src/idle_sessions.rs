//! Costs of idle direct sessions and of statements on them, without sockets to servers.
use crate::components::first_heartbeat;
use crate::cpu::{resident_kib, thread_cpu_ms};
use crate::samples::{SERVERS_PER_GROUP, configuration_text, group_name, lone_node_settings, server_record};
use crate::stub_servers::StubServers;
use bytes::{Bytes, BytesMut};
use quincehatch_config::configuration::Configuration;
use quincehatch_core::PrimaryAssignment;
use quincehatch_proxy::Proxy;
use quincehatch_proxy::direct::{DirectProxy, DirectSession, SessionCommand, SessionRequest};
use quincehatch_proxy::registry::ClusterState;
use quincehatch_proxy::session::replicas::LocalOnlyReplicas;
use quincehatch_proxy::tenants::ClientKey;
use quincehatch_runtime::now;
use quincehatch_runtime::seam::Spawner;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const DATABASE: &str = "db0000";
/// Lease of the node, which is longer than any measurement.
const LEASE_MS: u64 = 3_600_000;
/// Free buffer space that a connection's task reserves for the next statement, in bytes.
const READ_BUFFER_BYTES: usize = 256;
/// Time for the sessions' tasks to become idle.
const SETTLE: Duration = Duration::from_millis(200);
const STATEMENT: &[u8] = b"put x 1\n";
const STATEMENTS_PER_FIGURE: f64 = 1_000.0;

/// Memory of sessions and processor time of statements, including the clients' sockets and without those of servers.
#[derive(Clone, Copy, Debug)]
pub struct SessionCost {
    /// Memory of one idle session, in KiB.
    pub session_kib: f64,
    /// Processor time of a thousand statements, in milliseconds.
    pub thousand_statements_ms: f64,
}

/// Opens `sessions`, waits until they are idle, then sends `statements` on them in turn. `thread` is the directory in
/// `/proc` of the thread that runs this function.
pub async fn measure(sessions: usize, statements: usize, thread: &Path) -> io::Result<SessionCost> {
    let proxy = direct_proxy();
    let resident_before = resident_kib();
    let mut clients = open_sessions(&proxy, sessions).await?;
    tokio::time::sleep(SETTLE).await;
    let session_kib = (resident_kib() - resident_before) / sessions as f64;
    let cpu_before = thread_cpu_ms(thread);
    for index in 0..statements {
        run_statement(&mut clients[index % sessions]).await?;
    }
    let cpu_ms = thread_cpu_ms(thread) - cpu_before;
    Ok(SessionCost {
        session_kib,
        thousand_statements_ms: cpu_ms / statements as f64 * STATEMENTS_PER_FIGURE,
    })
}

/// Returns the proxy for direct connections of a node with one group in service.
fn direct_proxy() -> Arc<DirectProxy> {
    let proxy = Proxy::new(lone_node_settings(), Box::new(LocalOnlyReplicas::default()), Spawner::current());
    for index in 0..SERVERS_PER_GROUP {
        let heartbeat = first_heartbeat(server_record(index, 1));
        proxy.registry.apply_heartbeat(heartbeat);
    }
    let primary =
        PrimaryAssignment { fence: 1, server: Some(server_record(0, 1).server), ..Default::default() };
    proxy.registry.set_cluster_state(ClusterState {
        number: 1,
        version: 1,
        configuration: Configuration::parse(&configuration_text(1, 0)).ok().map(Arc::new),
        primaries: [(group_name(0), primary)].into(),
        route_by_database: Arc::new([(DATABASE.into(), 0)].into()),
        tenants: Arc::default(),
        ..ClusterState::default()
    });
    proxy.registry.renew_lease(now() + LEASE_MS);
    DirectProxy::new(proxy, Arc::new(StubServers::default()))
}

/// Opens sessions and returns the clients' sockets.
async fn open_sessions(proxy: &Arc<DirectProxy>, count: usize) -> io::Result<Vec<TcpStream>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let mut clients = Vec::with_capacity(count);
    for _ in 0..count {
        let (client, accepted) = tokio::join!(TcpStream::connect(addr), listener.accept());
        let session = DirectSession::open(proxy, DATABASE, ClientKey::NONE).await;
        let session = session.map_err(|error| io::Error::other(error.to_string()))?;
        let (server_end, _peer) = accepted?;
        tokio::spawn(serve_client(server_end, session));
        clients.push(client?);
    }
    Ok(clients)
}

/// Serves one client's connection with the same resources as the node's client listener: a task, a socket, a buffer and
/// a session.
async fn serve_client(mut socket: TcpStream, mut session: DirectSession) {
    let mut input = BytesMut::new();
    let mut output: Vec<u8> = Vec::new();
    loop {
        input.reserve(READ_BUFFER_BYTES);
        match socket.read_buf(&mut input).await {
            Ok(bytes) if bytes > 0 => {}
            _ => return,
        }
        while let Some(end) = input.iter().position(|byte| *byte == b'\n') {
            let text = input.split_to(end + 1).freeze();
            let command = SessionCommand::Write { text };
            let response = session.execute(SessionRequest { id: Bytes::from_static(b"id"), command }).await;
            output.extend_from_slice(if response.result.is_ok() { b"ok\n" } else { b"no\n" });
        }
        if socket.write_all(&output).await.is_err() {
            return;
        }
        output.clear();
    }
}

async fn run_statement(client: &mut TcpStream) -> io::Result<()> {
    let mut answer = [0u8; 64];
    client.write_all(STATEMENT).await?;
    let bytes = client.read(&mut answer).await?;
    if answer[..bytes].starts_with(b"ok") { Ok(()) } else { Err(io::ErrorKind::InvalidData.into()) }
}
