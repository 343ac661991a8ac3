//! What a simulated process has in place of tokio and the kernel (§5.8, §9.1).
use super::network::{Connection, HttpRequest, Message};
use super::simulation::{ProcessId, Simulation};
use quincehatch_core::{Millis, hash64};
use quincehatch_runtime::seam::{BoxFuture, OnDisconnect, VirtualConnection, World};
use serde_json::Value;
use std::io::{Error, ErrorKind, Result};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Waker;
use tokio::sync::oneshot;

/// A process's view of the world: its clock, its tasks, its links.
pub struct ProcessWorld {
    pub core: Arc<Simulation>,
    pub pid: ProcessId,
    pub incarnation: u64,
}

struct SimulatedPipe {
    core: Arc<Simulation>,
    id: u64,
    client: ProcessId,
    server: ProcessId,
    closed: Arc<AtomicBool>,
}

impl VirtualConnection for SimulatedPipe {
    fn request(
        &self,
        path: String,
        body: Value,
        token: Option<String>,
    ) -> BoxFuture<'_, Result<(u16, Value)>> {
        let (tx, rx) = oneshot::channel();
        let gone = || Error::from(ErrorKind::ConnectionReset);
        {
            let mut m = self.core.lock();
            if let Some(l) = m.network.connections.get_mut(&self.id).filter(|l| l.client_open) {
                l.http_reply = Some(tx);
                m.send(
                    self.client,
                    self.server,
                    Message::Request(HttpRequest { connection: self.id, path, body, token }),
                );
            }
        }
        Box::pin(async move { rx.await.unwrap_or_else(|_| Err(gone())) })
    }
    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }
    fn close(&self) {
        let mut m = self.core.lock();
        let Some(l) = m.network.connections.get_mut(&self.id) else { return };
        if std::mem::replace(&mut l.client_open, false) {
            let gone = (l.connect_reply.take(), l.http_reply.take(), l.on_break.take());
            m.deferred_drops.push(Box::new(gone));
            m.send(self.client, self.server, Message::Closed(self.id));
        }
    }
}

/// Closes a link whose opening was given up.
struct CloseUnlessOpened(Option<Arc<SimulatedPipe>>);
impl Drop for CloseUnlessOpened {
    fn drop(&mut self) {
        if let Some(p) = self.0.take() {
            p.close();
        }
    }
}

impl World for ProcessWorld {
    fn now(&self) -> Millis {
        self.core.lock().local_time(self.pid)
    }
    fn wall_clock_ms(&self) -> u64 {
        self.core.lock().now + 1_000_000
    }
    fn incarnation(&self) -> u64 {
        hash64(&[&self.pid.to_le_bytes(), &self.incarnation.to_le_bytes()])
    }
    fn wake_at(&self, at: Millis, w: Waker) -> u64 {
        self.core.wake_at(self.pid, at, w)
    }
    fn cancel_timer(&self, timer: u64) {
        self.core.cancel(timer);
    }
    fn spawn(&self, f: BoxFuture<'static, ()>) {
        self.core.spawn(self.pid, self.incarnation, f);
    }
    fn connect(
        &self,
        addr: &str,
        on_break: OnDisconnect,
    ) -> BoxFuture<'static, Result<Arc<dyn VirtualConnection>>> {
        let (tx, rx) = oneshot::channel();
        let mut m = self.core.lock();
        let Some(b) = m.network.addresses.get(addr).copied() else {
            return Box::pin(async { Err(ErrorKind::ConnectionRefused.into()) });
        };
        m.network.next_id += 1;
        let (id, a, closed) = (m.network.next_id, self.pid, Arc::new(AtomicBool::new(false)));
        let (addr, on_break, opening) = (addr.to_owned(), Some(on_break), Some(tx));
        let l = Connection {
            client: a,
            server: b,
            addr,
            client_open: true,
            server_open: false,
            closed: closed.clone(),
            on_break,
            connect_reply: opening,
            http_reply: None,
        };
        m.network.connections.insert(id, l);
        m.send(a, b, Message::Syn(id));
        drop(m);
        let pipe = Arc::new(SimulatedPipe { core: self.core.clone(), id, client: a, server: b, closed });
        Box::pin(async move {
            let mut guard = CloseUnlessOpened(Some(pipe));
            rx.await.unwrap_or_else(|_| Err(ErrorKind::ConnectionReset.into()))?;
            guard
                .0
                .take()
                .map(|p| p as Arc<dyn VirtualConnection>)
                .ok_or_else(|| ErrorKind::ConnectionReset.into())
        })
    }
    fn exchange_frame(&self, addr: &str, bytes: Vec<u8>) -> BoxFuture<'static, Result<Vec<u8>>> {
        let (tx, rx) = oneshot::channel();
        let mut m = self.core.lock();
        let Some(b) = m.network.addresses.get(addr).copied() else {
            return Box::pin(async { Err(ErrorKind::ConnectionRefused.into()) });
        };
        m.network.next_id += 1;
        let rid = m.network.next_id;
        m.network.pending_frames.insert(rid, tx);
        m.send(self.pid, b, Message::Frame { rid, addr: addr.to_owned(), bytes });
        Box::pin(async move { rx.await.unwrap_or_else(|_| Err(ErrorKind::ConnectionReset.into())) })
    }
    fn injected_bug(&self, bug: &str) -> bool {
        self.core.has_bug(bug)
    }
    fn trace_point(&self, what: &str) {
        let name = self.core.lock().processes[self.pid].name.clone();
        self.core.log(&format!("{name}: {what}"));
        self.core.reach_trace_point(self.pid, what);
    }
}
