//! The simulated counterpart of the async runtime and the kernel for one process: clock, tasks, connections.
use super::network::{Connection, HttpReply, HttpRequest, Message};
use super::simulation::{ProcessId, Simulation};
use quincehatch_core::{Millis, hash64};
use quincehatch_runtime::seam::{BoxFuture, OnDisconnect, VirtualConnection, World};
use serde_json::Value;
use std::io::{Error, ErrorKind, Result};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Waker;
use tokio::sync::oneshot;

/// Wall-clock time at the start of a simulation.
const WALL_CLOCK_START: u64 = 1_000_000;

/// The runtime environment of one incarnation of a process.
pub struct ProcessWorld {
    /// The simulation that the process belongs to.
    pub simulation: Arc<Simulation>,
    /// The process.
    pub pid: ProcessId,
    /// The incarnation of the process.
    pub incarnation: u64,
}

/// The client's handle of a simulated connection.
struct ClientConnection {
    simulation: Arc<Simulation>,
    id: u64,
    client: ProcessId,
    server: ProcessId,
    closed: Arc<AtomicBool>,
}

impl VirtualConnection for ClientConnection {
    fn request(&self, path: String, body: Value, token: Option<String>) -> BoxFuture<'_, Result<HttpReply>> {
        let (tx, rx) = oneshot::channel();
        let mut state = self.simulation.lock();
        let connection = state.network.connections.get_mut(&self.id);
        if let Some(connection) = connection.filter(|connection| connection.client_open) {
            connection.http_reply = Some(tx);
            let request = HttpRequest { connection: self.id, path, body, token };
            state.send(self.client, self.server, Message::Request(request));
        }
        drop(state);
        Box::pin(async move { rx.await.unwrap_or_else(|_| Err(connection_reset())) })
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    fn close(&self) {
        let mut state = self.simulation.lock();
        let Some(connection) = state.network.connections.get_mut(&self.id) else { return };
        if std::mem::replace(&mut connection.client_open, false) {
            let callbacks =
                (connection.connect_reply.take(), connection.http_reply.take(), connection.on_break.take());
            state.deferred_drops.push(Box::new(callbacks));
            state.send(self.client, self.server, Message::Closed(self.id));
        }
    }
}

/// Closes a connection whose opening was cancelled or failed.
struct CloseUnlessOpened(Option<Arc<ClientConnection>>);

impl Drop for CloseUnlessOpened {
    fn drop(&mut self) {
        if let Some(connection) = self.0.take() {
            connection.close();
        }
    }
}

fn connection_reset() -> Error {
    ErrorKind::ConnectionReset.into()
}

impl ProcessWorld {
    /// Registers a connection and sends its first message; returns `None` if no process ever listened at the address.
    fn start_connecting(
        &self,
        addr: &str,
        on_break: OnDisconnect,
        connect_reply: oneshot::Sender<Result<()>>,
    ) -> Option<ClientConnection> {
        let mut state = self.simulation.lock();
        let server = state.network.addresses.get(addr).copied()?;
        state.network.next_id += 1;
        let id = state.network.next_id;
        let closed = Arc::new(AtomicBool::new(false));
        let connection = Connection {
            client: self.pid,
            server,
            addr: addr.to_owned(),
            client_open: true,
            server_open: false,
            closed: closed.clone(),
            on_break: Some(on_break),
            connect_reply: Some(connect_reply),
            http_reply: None,
        };
        state.network.connections.insert(id, connection);
        state.send(self.pid, server, Message::Syn(id));
        drop(state);
        Some(ClientConnection { simulation: self.simulation.clone(), id, client: self.pid, server, closed })
    }
}

impl World for ProcessWorld {
    fn now(&self) -> Millis {
        self.simulation.lock().local_time(self.pid)
    }

    fn wall_clock_ms(&self) -> u64 {
        self.simulation.now() + WALL_CLOCK_START
    }

    fn incarnation(&self) -> u64 {
        hash64(&[&self.pid.to_le_bytes(), &self.incarnation.to_le_bytes()])
    }

    fn wake_at(&self, at: Millis, waker: Waker) -> u64 {
        self.simulation.wake_at(self.pid, at, waker)
    }

    fn cancel_timer(&self, timer: u64) {
        self.simulation.cancel_timer(timer);
    }

    fn spawn(&self, future: BoxFuture<'static, ()>) {
        self.simulation.spawn(self.pid, self.incarnation, future);
    }

    fn connect(
        &self,
        addr: &str,
        on_break: OnDisconnect,
    ) -> BoxFuture<'static, Result<Arc<dyn VirtualConnection>>> {
        let (tx, rx) = oneshot::channel();
        let Some(connection) = self.start_connecting(addr, on_break, tx) else {
            return Box::pin(async { Err(ErrorKind::ConnectionRefused.into()) });
        };
        let connection = Arc::new(connection);
        Box::pin(async move {
            let mut guard = CloseUnlessOpened(Some(connection));
            rx.await.unwrap_or_else(|_| Err(connection_reset()))?;
            let opened = guard.0.take().ok_or_else(connection_reset)?;
            Ok(opened as Arc<dyn VirtualConnection>)
        })
    }

    fn exchange_frame(&self, addr: &str, bytes: Vec<u8>) -> BoxFuture<'static, Result<Vec<u8>>> {
        let (tx, rx) = oneshot::channel();
        let mut state = self.simulation.lock();
        let Some(server) = state.network.addresses.get(addr).copied() else {
            return Box::pin(async { Err(ErrorKind::ConnectionRefused.into()) });
        };
        state.network.next_id += 1;
        let request_id = state.network.next_id;
        state.network.pending_frames.insert(request_id, tx);
        state.send(self.pid, server, Message::Frame { request_id, addr: addr.to_owned(), bytes });
        Box::pin(async move { rx.await.unwrap_or_else(|_| Err(connection_reset())) })
    }

    fn injected_bug(&self, bug: &str) -> bool {
        self.simulation.has_bug(bug)
    }

    fn trace_point(&self, what: &str) {
        let name = self.simulation.lock().processes[self.pid].name.clone();
        self.simulation.log(&format!("{name}: {what}"));
        self.simulation.reach_trace_point(self.pid, what);
    }
}
