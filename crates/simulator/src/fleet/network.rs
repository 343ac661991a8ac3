//! Links and frames between simulated processes (§9.1). A link is a stream: what is lost on it is sent again, a cut
//! delays it, and after four seconds without an acknowledgement the kernel gives it up (§4.4).
use super::simulation::{Event, ProcessId, Simulation, SimulationState};
use quincehatch_core::Millis;
use quincehatch_runtime::seam::{BoxFuture, OnDisconnect};
use quincehatch_store::PeerMessage;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::Result;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::oneshot;

pub struct HttpRequest {
    pub connection: u64,
    pub path: String,
    pub body: Value,
    pub token: Option<String>,
}

/// Answers a call; nothing resets the link.
pub type HttpHandler = Arc<dyn Fn(HttpRequest) -> BoxFuture<'static, Option<(u16, Value)>> + Send + Sync>;
pub type CloseHandler = Arc<dyn Fn(u64) + Send + Sync>;
pub type FrameHandler = Arc<dyn Fn(Vec<u8>) -> BoxFuture<'static, Option<Vec<u8>>> + Send + Sync>;
pub type PeerHandler = Arc<dyn Fn(ProcessId, PeerMessage) + Send + Sync>;

pub enum Message {
    Syn(u64),
    SynAck(u64, bool),
    Request(HttpRequest),
    HttpReply(u64, (u16, Value)),
    /// The link's end, told to its asker or to its answerer.
    Reset(u64),
    Closed(u64),
    Frame {
        rid: u64,
        addr: String,
        bytes: Vec<u8>,
    },
    FrameReply {
        rid: u64,
        got: Option<Vec<u8>>,
    },
    Peer(PeerMessage),
}

pub(super) struct Connection {
    pub(super) client: ProcessId,
    pub(super) server: ProcessId,
    pub(super) addr: String,
    pub(super) client_open: bool,
    pub(super) server_open: bool,
    pub(super) closed: Arc<AtomicBool>,
    pub(super) on_break: Option<OnDisconnect>,
    pub(super) connect_reply: Option<oneshot::Sender<Result<()>>>,
    pub(super) http_reply: Option<oneshot::Sender<Result<(u16, Value)>>>,
}

#[derive(Default)]
pub struct Network {
    pub(super) next_id: u64,
    pub(super) connections: BTreeMap<u64, Connection>,
    pub(super) pending_frames: BTreeMap<u64, oneshot::Sender<Result<Vec<u8>>>>,
    pub addresses: BTreeMap<String, ProcessId>,
    pub(super) http_listeners: BTreeMap<String, (HttpHandler, CloseHandler)>,
    pub(super) frame_listeners: BTreeMap<String, FrameHandler>,
    pub peer_handlers: BTreeMap<ProcessId, PeerHandler>,
}

impl Network {
    pub fn take(&mut self) -> Network {
        std::mem::take(self)
    }
}

/// The kernel gives a stream up that was not acknowledged for so long.
pub(super) const USER_TIMEOUT: Millis = 4_000;
pub(super) const RETRANSMIT_AFTER: Millis = 250;
/// A frame's caller has given up by then.
pub(super) const FRAME_TIMEOUT: Millis = 1_000;

impl SimulationState {
    pub fn send(&mut self, from: ProcessId, to: ProcessId, n: Message) {
        self.messages_sent += 1;
        let lossy = matches!(n, Message::Peer(_));
        let mut d = self.delay_range.0 + self.rng.below(self.delay_range.1 - self.delay_range.0 + 1);
        while self.rng.chance(self.loss_per_mille) {
            if lossy {
                return;
            }
            d += RETRANSMIT_AFTER;
        }
        if let Message::Peer(m) = &n
            && self.rng.chance(self.duplicate_per_mille)
        {
            let (again, sent) = (Message::Peer(m.clone()), self.now);
            self.schedule(self.now + d + 3, Event::Message { from, to, sent, n: again });
        }
        self.schedule(self.now + d, Event::Message { from, to, sent: self.now, n });
    }
    /// Every link of a process that died is told so to its other end, unless the machine went dark.
    pub fn drop_connections(&mut self, pid: ProcessId, dark: bool) {
        let of: Vec<u64> = self
            .network
            .connections
            .iter()
            .filter(|(_, l)| l.client == pid || l.server == pid)
            .map(|(i, _)| *i)
            .collect();
        for id in of {
            let Some(l) = self.network.connections.get_mut(&id) else { continue };
            let (a, b) = (l.client, l.server);
            let told = if b == pid { std::mem::replace(&mut l.server_open, false) } else { l.server_open };
            if a == pid {
                l.client_open = false;
                l.closed.store(true, Ordering::SeqCst);
                let gone = (l.connect_reply.take(), l.http_reply.take(), l.on_break.take());
                self.deferred_drops.push(Box::new(gone));
            }
            if !dark && told && a != b {
                let n = if b == pid { Message::Reset(id) } else { Message::Closed(id) };
                self.send(pid, if b == pid { a } else { b }, n);
            }
        }
    }
    /// A server resets all links it answers.
    pub fn reset_connections(&mut self, pid: ProcessId) {
        let of: Vec<u64> = self
            .network
            .connections
            .iter()
            .filter(|(_, l)| l.server == pid && l.server_open)
            .map(|(i, _)| *i)
            .collect();
        of.into_iter().for_each(|id| self.reset_connection(id));
    }
    pub(super) fn reset_connection(&mut self, id: u64) {
        let Some(l) = self.network.connections.get_mut(&id) else { return };
        l.server_open = false;
        let (a, b) = (l.client, l.server);
        self.send(b, a, Message::Reset(id));
    }
}

impl Simulation {
    pub fn listen_http(&self, addr: &str, pid: ProcessId, f: HttpHandler, closed: CloseHandler) {
        let mut m = self.lock();
        m.network.addresses.insert(addr.to_owned(), pid);
        m.network.http_listeners.insert(addr.to_owned(), (f, closed));
    }
    pub fn listen_frames(&self, addr: &str, pid: ProcessId, f: FrameHandler) {
        let mut m = self.lock();
        m.network.addresses.insert(addr.to_owned(), pid);
        m.network.frame_listeners.insert(addr.to_owned(), f);
    }
    /// Puts something between an address and what answers frames there.
    pub fn wrap_frame_handler(&self, addr: &str, f: impl FnOnce(FrameHandler) -> FrameHandler) {
        let mut m = self.lock();
        if let Some(had) = m.network.frame_listeners.remove(addr) {
            m.network.frame_listeners.insert(addr.to_owned(), f(had));
        }
    }
}
