//! Connections and frames between simulated processes.
//!
//! A connection is a stream: lost segments are retransmitted, a partition delays them, and after
//! [`TCP_USER_TIMEOUT`] without an acknowledgement the kernel aborts the connection.
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

/// Time without an acknowledgement after which the kernel aborts a connection.
pub const TCP_USER_TIMEOUT: Millis = 4_000;
/// Time after which a lost or undeliverable segment is retransmitted.
pub const RETRANSMIT_AFTER: Millis = 250;
/// Time after which a frame is no longer retransmitted, since its sender has timed out.
pub(super) const FRAME_TIMEOUT: Millis = 1_000;
/// Time by which the second copy of a duplicated message arrives later.
const DUPLICATE_DELAY: Millis = 3;

/// A request on an HTTP connection.
pub struct HttpRequest {
    /// Id of the connection.
    pub connection: u64,
    /// Path of the call.
    pub path: String,
    /// Body; null where there is none.
    pub body: Value,
    /// The caller's bearer token.
    pub token: Option<String>,
}

/// Status and body of an HTTP reply.
pub type HttpReply = (u16, Value);
/// Answers a request; without a reply the connection is reset.
pub type HttpHandler = Arc<dyn Fn(HttpRequest) -> BoxFuture<'static, Option<HttpReply>> + Send + Sync>;
/// Called when a connection that the process serves has ended.
pub type CloseHandler = Arc<dyn Fn(u64) + Send + Sync>;
/// Answers a frame; without a reply the frame is refused.
pub type FrameHandler = Arc<dyn Fn(Vec<u8>) -> BoxFuture<'static, Option<Vec<u8>>> + Send + Sync>;
/// Receives a message of another keeper.
pub type PeerHandler = Arc<dyn Fn(ProcessId, PeerMessage) + Send + Sync>;

/// A message from one process to another.
pub enum Message {
    /// Opens a connection.
    Syn(u64),
    /// Accepts a connection, or refuses it.
    SynAck(u64, bool),
    /// A request on a connection.
    Request(HttpRequest),
    /// The reply to the request on a connection.
    HttpReply(u64, HttpReply),
    /// The server's end of a connection is gone.
    Reset(u64),
    /// The client's end of a connection is closed.
    Closed(u64),
    /// A frame that expects a reply.
    Frame {
        /// Matches the reply with the frame.
        request_id: u64,
        /// Address of the listener.
        addr: String,
        /// Content.
        bytes: Vec<u8>,
    },
    /// The reply to a frame; none if it was refused.
    FrameReply {
        /// Id of the frame.
        request_id: u64,
        /// Content.
        reply: Option<Vec<u8>>,
    },
    /// A datagram between keepers, which may be lost or duplicated.
    Peer(PeerMessage),
}

/// A message in flight.
pub struct Envelope {
    /// Sender.
    pub from: ProcessId,
    /// Receiver.
    pub to: ProcessId,
    /// When the message was first sent.
    pub sent_at: Millis,
    /// Content.
    pub message: Message,
}

/// A connection with its two ends.
pub(super) struct Connection {
    pub(super) client: ProcessId,
    pub(super) server: ProcessId,
    pub(super) addr: String,
    pub(super) client_open: bool,
    pub(super) server_open: bool,
    /// Whether the connection has ended; shared with the client's handle.
    pub(super) closed: Arc<AtomicBool>,
    pub(super) on_break: Option<OnDisconnect>,
    pub(super) connect_reply: Option<oneshot::Sender<Result<()>>>,
    pub(super) http_reply: Option<oneshot::Sender<Result<HttpReply>>>,
}

/// The handlers of an HTTP listener.
#[derive(Clone)]
pub(super) struct HttpListener {
    pub(super) on_request: HttpHandler,
    pub(super) on_close: CloseHandler,
}

/// Listeners, connections, and frames whose reply is pending.
#[derive(Default)]
pub struct Network {
    pub(super) next_id: u64,
    pub(super) connections: BTreeMap<u64, Connection>,
    pub(super) pending_frames: BTreeMap<u64, oneshot::Sender<Result<Vec<u8>>>>,
    /// The process that listens at each address.
    pub addresses: BTreeMap<String, ProcessId>,
    pub(super) http_listeners: BTreeMap<String, HttpListener>,
    pub(super) frame_listeners: BTreeMap<String, FrameHandler>,
    /// The receivers of keepers' messages, by process.
    pub peer_handlers: BTreeMap<ProcessId, PeerHandler>,
}

impl Network {
    /// Empties the network and returns its former content.
    pub fn take(&mut self) -> Network {
        std::mem::take(self)
    }

    fn connections_where(&self, wanted: impl Fn(&Connection) -> bool) -> Vec<u64> {
        let matching = self.connections.iter().filter(|(_, connection)| wanted(connection));
        matching.map(|(id, _)| *id).collect()
    }
}

impl SimulationState {
    /// Sends a message, which arrives after a random delay. Each loss delays it further; a lost datagram never arrives.
    pub fn send(&mut self, from: ProcessId, to: ProcessId, message: Message) {
        self.messages_sent += 1;
        let is_datagram = matches!(message, Message::Peer(_));
        let (least, most) = self.delay_range;
        let mut delay = least + self.rng.below(most - least + 1);
        while self.rng.chance(self.loss_per_mille) {
            if is_datagram {
                return;
            }
            delay += RETRANSMIT_AFTER;
        }
        let sent_at = self.now;
        if let Message::Peer(datagram) = &message
            && self.rng.chance(self.duplicate_per_mille)
        {
            let copy = Envelope { from, to, sent_at, message: Message::Peer(datagram.clone()) };
            self.schedule(sent_at + delay + DUPLICATE_DELAY, Event::Message(copy));
        }
        self.schedule(sent_at + delay, Event::Message(Envelope { from, to, sent_at, message }));
    }

    /// Ends all connections of a process that crashed; their other ends are notified unless the machine lost power.
    pub fn drop_connections(&mut self, pid: ProcessId, powered_off: bool) {
        let ids =
            self.network.connections_where(|connection| connection.client == pid || connection.server == pid);
        for id in ids {
            self.drop_connection(pid, id, powered_off);
        }
    }

    fn drop_connection(&mut self, pid: ProcessId, id: u64, powered_off: bool) {
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        let (client, server) = (connection.client, connection.server);
        let is_server = server == pid;
        let was_open = connection.server_open;
        if is_server {
            connection.server_open = false;
        }
        if client == pid {
            connection.client_open = false;
            connection.closed.store(true, Ordering::SeqCst);
            let callbacks =
                (connection.connect_reply.take(), connection.http_reply.take(), connection.on_break.take());
            self.deferred_drops.push(Box::new(callbacks));
        }
        if powered_off || !was_open || client == server {
            return;
        }
        if is_server {
            self.send(pid, client, Message::Reset(id));
        } else {
            self.send(pid, server, Message::Closed(id));
        }
    }

    /// Resets all connections that a process serves.
    pub fn reset_connections(&mut self, pid: ProcessId) {
        let ids =
            self.network.connections_where(|connection| connection.server == pid && connection.server_open);
        ids.into_iter().for_each(|id| self.reset_connection(id));
    }

    pub(super) fn reset_connection(&mut self, id: u64) {
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        connection.server_open = false;
        let (client, server) = (connection.client, connection.server);
        self.send(server, client, Message::Reset(id));
    }
}

impl Simulation {
    /// Registers the HTTP listener of a process at an address.
    pub fn listen_http(&self, addr: &str, pid: ProcessId, on_request: HttpHandler, on_close: CloseHandler) {
        let mut state = self.lock();
        state.network.addresses.insert(addr.to_owned(), pid);
        state.network.http_listeners.insert(addr.to_owned(), HttpListener { on_request, on_close });
    }

    /// Registers the frame listener of a process at an address.
    pub fn listen_frames(&self, addr: &str, pid: ProcessId, on_frame: FrameHandler) {
        let mut state = self.lock();
        state.network.addresses.insert(addr.to_owned(), pid);
        state.network.frame_listeners.insert(addr.to_owned(), on_frame);
    }

    /// Wraps the frame handler at an address in another one.
    pub fn wrap_frame_handler(&self, addr: &str, wrap: impl FnOnce(FrameHandler) -> FrameHandler) {
        let mut state = self.lock();
        if let Some(inner) = state.network.frame_listeners.remove(addr) {
            state.network.frame_listeners.insert(addr.to_owned(), wrap(inner));
        }
    }
}
