//! What happens when something arrives at a simulated process (§9.1).
use super::network::{FRAME_TIMEOUT, HttpRequest, Message, RETRANSMIT_AFTER, USER_TIMEOUT};
use super::simulation::{Event, ProcessId, Simulation};
use quincehatch_core::Millis;
use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::Ordering;

impl Simulation {
    pub(super) fn deliver(self: &Arc<Self>, from: ProcessId, to: ProcessId, sent: Millis, n: Message) {
        let mut m = self.lock();
        let now = m.now;
        let (up, dark, paused) =
            (m.processes[to].up, m.processes[to].powered_off, m.processes[to].paused_until);
        let lost = m.partitions.contains(&(from, to)) || (!up && dark);
        if lost {
            let most = if matches!(n, Message::Frame { .. } | Message::FrameReply { .. }) {
                FRAME_TIMEOUT
            } else {
                USER_TIMEOUT
            };
            match n {
                Message::Peer(_) => {}
                n if now < sent + most => {
                    drop(m.schedule(now + RETRANSMIT_AFTER, Event::Message { from, to, sent, n }))
                }
                Message::Syn(id) | Message::Request(HttpRequest { connection: id, .. }) => {
                    drop(m);
                    self.break_connection(id, ErrorKind::TimedOut);
                }
                _ => {}
            }
            return;
        }
        if up && paused > now {
            m.schedule(paused, Event::Message { from, to, sent, n });
            return;
        }
        match n {
            Message::Peer(p) => {
                let f = m.network.peer_handlers.get(&to).cloned().filter(|_| up);
                drop(m);
                if let Some(f) = f {
                    self.run_in(to, || f(from, p));
                }
            }
            Message::Syn(id) => {
                let ok = up
                    && m.network
                        .connections
                        .get(&id)
                        .is_some_and(|l| m.network.http_listeners.contains_key(&l.addr));
                if let Some(l) = m.network.connections.get_mut(&id) {
                    l.server_open = ok;
                }
                m.send(to, from, Message::SynAck(id, ok));
            }
            Message::SynAck(id, ok) => {
                let Some(l) = m.network.connections.get_mut(&id) else { return };
                let tx = l.connect_reply.take();
                if !ok && let Some(l) = m.network.connections.remove(&id) {
                    m.deferred_drops.push(Box::new(l));
                }
                drop(m);
                let r = if ok { Ok(()) } else { Err(Error::from(ErrorKind::ConnectionRefused)) };
                drop(tx.map(|tx| tx.send(r)));
            }
            Message::Request(v) => {
                let Some(l) = m.network.connections.get(&v.connection) else { return };
                let (id, open, f) = (
                    v.connection,
                    l.server_open && up,
                    m.network.http_listeners.get(&l.addr).map(|h| h.0.clone()),
                );
                let Some(f) = f.filter(|_| open) else { return m.send(to, from, Message::Reset(id)) };
                drop(m);
                self.run_in(to, || {
                    let (core, fut) = (self.clone(), f(v));
                    let work = async move {
                        let got = fut.await;
                        let mut m = core.lock();
                        match got {
                            Some(r) if m.network.connections.get(&id).is_some_and(|l| l.server_open) => {
                                m.send(to, from, Message::HttpReply(id, r));
                            }
                            Some(_) => {}
                            None => m.reset_connection(id),
                        }
                    };
                    quincehatch_runtime::seam::spawn(work)
                });
            }
            Message::HttpReply(id, r) => {
                let tx = m.network.connections.get_mut(&id).and_then(|l| l.http_reply.take());
                drop(m);
                drop(tx.map(|tx| tx.send(Ok(r))));
            }
            Message::Reset(id) => {
                drop(m);
                self.break_connection(id, ErrorKind::ConnectionReset);
            }
            Message::Closed(id) => {
                let Some(l) = m.network.connections.remove(&id) else { return };
                let f = m.network.http_listeners.get(&l.addr).map(|h| h.1.clone()).filter(|_| up);
                drop(m);
                if let Some(f) = f {
                    self.run_in(to, || f(id));
                }
            }
            Message::Frame { rid, addr, bytes } => {
                let f = m.network.frame_listeners.get(&addr).cloned().filter(|_| up);
                let Some(f) = f else { return m.send(to, from, Message::FrameReply { rid, got: None }) };
                drop(m);
                self.run_in(to, || {
                    let (core, fut) = (self.clone(), f(bytes));
                    quincehatch_runtime::seam::spawn(async move {
                        let got = fut.await;
                        core.lock().send(to, from, Message::FrameReply { rid, got });
                    })
                });
            }
            Message::FrameReply { rid, got } => {
                let tx = m.network.pending_frames.remove(&rid);
                drop(m);
                drop(tx.map(|tx| tx.send(got.ok_or_else(|| ErrorKind::ConnectionRefused.into()))));
            }
        }
    }

    /// The asker's end of a link breaks.
    fn break_connection(self: &Arc<Self>, id: u64, kind: ErrorKind) {
        let mut m = self.lock();
        let Some(l) = m.network.connections.remove(&id) else { return };
        let closed =
            m.network.http_listeners.get(&l.addr).map(|h| h.1.clone()).filter(|_| m.processes[l.server].up);
        drop(m);
        l.closed.store(true, Ordering::SeqCst);
        drop(l.connect_reply.map(|tx| tx.send(Err(kind.into()))));
        match (l.http_reply, l.on_break) {
            (Some(tx), _) => drop(tx.send(Err(kind.into()))),
            (None, Some(f)) if l.client_open => self.run_in(l.client, || f(kind.into())),
            _ => {}
        }
        if let Some(f) = closed {
            self.run_in(l.server, || f(id));
        }
    }
}
