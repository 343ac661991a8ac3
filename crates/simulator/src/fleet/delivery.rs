//! Arrival of messages at simulated processes.
use super::network::{
    Envelope, FRAME_TIMEOUT, HttpReply, HttpRequest, Message, RETRANSMIT_AFTER, TCP_USER_TIMEOUT,
};
use super::simulation::{Event, ProcessId, Simulation};
use quincehatch_core::Millis;
use quincehatch_runtime::seam;
use quincehatch_store::PeerMessage;
use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The outcome of a message's arrival at the destination's machine.
enum Arrival {
    /// The machine is partitioned from the sender or without power.
    Unreachable,
    /// The process is suspended until this time, and the message waits.
    Suspended(Millis),
    /// The process, or the kernel of its machine, receives the message.
    Received,
}

impl Simulation {
    /// Handles a message at the time of its arrival.
    pub(super) fn deliver(self: &Arc<Self>, envelope: Envelope) {
        match self.arrival(envelope.from, envelope.to) {
            Arrival::Unreachable => self.retransmit_or_time_out(envelope),
            Arrival::Suspended(until) => {
                self.lock().schedule(until, Event::Message(envelope));
            }
            Arrival::Received => self.dispatch(envelope),
        }
    }

    fn arrival(&self, from: ProcessId, to: ProcessId) -> Arrival {
        let state = self.lock();
        let receiver = &state.processes[to];
        let without_power = !receiver.is_up && receiver.powered_off;
        if state.partitions.contains(&(from, to)) || without_power {
            Arrival::Unreachable
        } else if receiver.is_up && receiver.paused_until > state.now {
            Arrival::Suspended(receiver.paused_until)
        } else {
            Arrival::Received
        }
    }

    fn retransmit_or_time_out(self: &Arc<Self>, envelope: Envelope) {
        let now = self.now();
        let timeout = match envelope.message {
            // Datagrams are not retransmitted.
            Message::Peer(_) => return,
            Message::Frame { .. } | Message::FrameReply { .. } => FRAME_TIMEOUT,
            _ => TCP_USER_TIMEOUT,
        };
        if now < envelope.sent_at + timeout {
            self.lock().schedule(now + RETRANSMIT_AFTER, Event::Message(envelope));
            return;
        }
        if let Message::Syn(id) | Message::Request(HttpRequest { connection: id, .. }) = envelope.message {
            self.break_connection(id, ErrorKind::TimedOut);
        }
    }

    fn dispatch(self: &Arc<Self>, envelope: Envelope) {
        let Envelope { from, to, message, .. } = envelope;
        match message {
            Message::Peer(message) => self.deliver_to_peer(from, to, message),
            Message::Syn(id) => self.accept_connection(from, to, id),
            Message::SynAck(id, accepted) => self.finish_connecting(id, accepted),
            Message::Request(request) => self.serve_request(from, to, request),
            Message::HttpReply(id, reply) => self.deliver_reply(id, reply),
            Message::Reset(id) => self.break_connection(id, ErrorKind::ConnectionReset),
            Message::Closed(id) => self.close_at_server(to, id),
            Message::Frame { request_id, addr, bytes } => {
                self.serve_frame((from, to), request_id, &addr, bytes);
            }
            Message::FrameReply { request_id, reply } => self.deliver_frame_reply(request_id, reply),
        }
    }

    fn is_up(&self, pid: ProcessId) -> bool {
        self.lock().processes[pid].is_up
    }

    fn deliver_to_peer(self: &Arc<Self>, from: ProcessId, to: ProcessId, message: PeerMessage) {
        if !self.is_up(to) {
            return;
        }
        let handler = self.lock().network.peer_handlers.get(&to).cloned();
        if let Some(handler) = handler {
            self.run_in(to, || handler(from, message));
        }
    }

    fn accept_connection(&self, from: ProcessId, to: ProcessId, id: u64) {
        let mut state = self.lock();
        let is_up = state.processes[to].is_up;
        let network = &mut state.network;
        let addr = network.connections.get(&id).map(|connection| &connection.addr);
        let accepted = is_up && addr.is_some_and(|addr| network.http_listeners.contains_key(addr));
        if let Some(connection) = network.connections.get_mut(&id) {
            connection.server_open = accepted;
        }
        state.send(to, from, Message::SynAck(id, accepted));
    }

    fn finish_connecting(&self, id: u64, accepted: bool) {
        let mut state = self.lock();
        let Some(connection) = state.network.connections.get_mut(&id) else { return };
        let connect_reply = connection.connect_reply.take();
        if !accepted && let Some(connection) = state.network.connections.remove(&id) {
            state.deferred_drops.push(Box::new(connection));
        }
        drop(state);
        let result = if accepted { Ok(()) } else { Err(Error::from(ErrorKind::ConnectionRefused)) };
        drop(connect_reply.map(|reply| reply.send(result)));
    }

    fn serve_request(self: &Arc<Self>, from: ProcessId, to: ProcessId, request: HttpRequest) {
        let id = request.connection;
        let mut state = self.lock();
        let is_up = state.processes[to].is_up;
        let Some(connection) = state.network.connections.get(&id) else { return };
        let open = is_up && connection.server_open;
        let listener = state.network.http_listeners.get(&connection.addr).filter(|_| open).cloned();
        let Some(listener) = listener else { return state.send(to, from, Message::Reset(id)) };
        drop(state);
        self.run_in(to, || {
            let (simulation, reply) = (self.clone(), (listener.on_request)(request));
            seam::spawn(async move {
                let reply = reply.await;
                simulation.finish_request(from, to, id, reply);
            })
        });
    }

    /// Sends the reply if the connection is still open; without a reply the connection is reset.
    fn finish_request(&self, client: ProcessId, server: ProcessId, id: u64, reply: Option<HttpReply>) {
        let mut state = self.lock();
        let Some(reply) = reply else { return state.reset_connection(id) };
        if state.network.connections.get(&id).is_some_and(|connection| connection.server_open) {
            state.send(server, client, Message::HttpReply(id, reply));
        }
    }

    fn deliver_reply(&self, id: u64, reply: HttpReply) {
        let mut state = self.lock();
        let reply_sender = state.network.connections.get_mut(&id).and_then(|found| found.http_reply.take());
        drop(state);
        drop(reply_sender.map(|reply_sender| reply_sender.send(Ok(reply))));
    }

    fn close_at_server(self: &Arc<Self>, server: ProcessId, id: u64) {
        let mut state = self.lock();
        let is_up = state.processes[server].is_up;
        let Some(connection) = state.network.connections.remove(&id) else { return };
        let listener = state.network.http_listeners.get(&connection.addr).filter(|_| is_up).cloned();
        drop(state);
        if let Some(listener) = listener {
            self.run_in(server, || (listener.on_close)(id));
        }
    }

    fn serve_frame(
        self: &Arc<Self>,
        (from, to): (ProcessId, ProcessId),
        request_id: u64,
        addr: &str,
        bytes: Vec<u8>,
    ) {
        let mut state = self.lock();
        let is_up = state.processes[to].is_up;
        let handler = state.network.frame_listeners.get(addr).filter(|_| is_up).cloned();
        let Some(handler) = handler else {
            return state.send(to, from, Message::FrameReply { request_id, reply: None });
        };
        drop(state);
        self.run_in(to, || {
            let (simulation, reply) = (self.clone(), handler(bytes));
            seam::spawn(async move {
                let reply = reply.await;
                simulation.lock().send(to, from, Message::FrameReply { request_id, reply });
            })
        });
    }

    fn deliver_frame_reply(&self, request_id: u64, reply: Option<Vec<u8>>) {
        let reply_sender = self.lock().network.pending_frames.remove(&request_id);
        let result = reply.ok_or_else(|| ErrorKind::ConnectionRefused.into());
        drop(reply_sender.map(|reply_sender| reply_sender.send(result)));
    }

    /// Ends a connection with an error at the client, and closes it at the server.
    fn break_connection(self: &Arc<Self>, id: u64, kind: ErrorKind) {
        let mut state = self.lock();
        let Some(connection) = state.network.connections.remove(&id) else { return };
        let server_up = state.processes[connection.server].is_up;
        let listener = state.network.http_listeners.get(&connection.addr).filter(|_| server_up).cloned();
        drop(state);
        connection.closed.store(true, Ordering::SeqCst);
        drop(connection.connect_reply.map(|reply| reply.send(Err(kind.into()))));
        match (connection.http_reply, connection.on_break) {
            (Some(reply), _) => drop(reply.send(Err(kind.into()))),
            (None, Some(on_break)) if connection.client_open => {
                self.run_in(connection.client, || on_break(kind.into()));
            }
            _ => {}
        }
        if let Some(listener) = listener {
            self.run_in(connection.server, || (listener.on_close)(id));
        }
    }
}
