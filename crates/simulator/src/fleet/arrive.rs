//! What happens when something arrives at a simulated process (§9.1).
use super::core::{Event, ProcessId, Simulation};
use super::net::{FRAME_TIMEOUT, Net, RESEND, USER_TIMEOUT, Visit};
use quincehatch_core::Millis;
use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::Ordering;

impl Simulation {
    pub(super) fn arrive(self: &Arc<Self>, from: ProcessId, to: ProcessId, sent: Millis, n: Net) {
        let mut m = self.lock();
        let now = m.now;
        let (up, dark, paused) =
            (m.processes[to].up, m.processes[to].powered_off, m.processes[to].paused_until);
        let lost = m.partitions.contains(&(from, to)) || (!up && dark);
        if lost {
            let most = if matches!(n, Net::Frame { .. } | Net::FrameReply { .. }) {
                FRAME_TIMEOUT
            } else {
                USER_TIMEOUT
            };
            match n {
                Net::Peer(_) => {}
                n if now < sent + most => drop(m.schedule(now + RESEND, Event::Net { from, to, sent, n })),
                Net::Syn(id) | Net::Request(Visit { link: id, .. }) => {
                    drop(m);
                    self.broke(id, ErrorKind::TimedOut);
                }
                _ => {}
            }
            return;
        }
        if up && paused > now {
            m.schedule(paused, Event::Net { from, to, sent, n });
            return;
        }
        match n {
            Net::Peer(p) => {
                let f = m.network.peer.get(&to).cloned().filter(|_| up);
                drop(m);
                if let Some(f) = f {
                    self.run_in(to, || f(from, p));
                }
            }
            Net::Syn(id) => {
                let ok = up && m.network.open.get(&id).is_some_and(|l| m.network.http.contains_key(&l.addr));
                if let Some(l) = m.network.open.get_mut(&id) {
                    l.server_open = ok;
                }
                m.send(to, from, Net::SynAck(id, ok));
            }
            Net::SynAck(id, ok) => {
                let Some(l) = m.network.open.get_mut(&id) else { return };
                let tx = l.connect_reply.take();
                if !ok && let Some(l) = m.network.open.remove(&id) {
                    m.deferred_drops.push(Box::new(l));
                }
                drop(m);
                let r = if ok { Ok(()) } else { Err(Error::from(ErrorKind::ConnectionRefused)) };
                drop(tx.map(|tx| tx.send(r)));
            }
            Net::Request(v) => {
                let Some(l) = m.network.open.get(&v.link) else { return };
                let (id, open, f) =
                    (v.link, l.server_open && up, m.network.http.get(&l.addr).map(|h| h.0.clone()));
                let Some(f) = f.filter(|_| open) else { return m.send(to, from, Net::Broke(id)) };
                drop(m);
                self.run_in(to, || {
                    let (core, fut) = (self.clone(), f(v));
                    let work = async move {
                        let got = fut.await;
                        let mut m = core.lock();
                        match got {
                            Some(r) if m.network.open.get(&id).is_some_and(|l| l.server_open) => {
                                m.send(to, from, Net::Answer(id, r));
                            }
                            Some(_) => {}
                            None => m.reset(id),
                        }
                    };
                    quincehatch_runtime::seam::spawn(work)
                });
            }
            Net::Answer(id, r) => {
                let tx = m.network.open.get_mut(&id).and_then(|l| l.asking.take());
                drop(m);
                drop(tx.map(|tx| tx.send(Ok(r))));
            }
            Net::Broke(id) => {
                drop(m);
                self.broke(id, ErrorKind::ConnectionReset);
            }
            Net::Closed(id) => {
                let Some(l) = m.network.open.remove(&id) else { return };
                let f = m.network.http.get(&l.addr).map(|h| h.1.clone()).filter(|_| up);
                drop(m);
                if let Some(f) = f {
                    self.run_in(to, || f(id));
                }
            }
            Net::Frame { rid, addr, bytes } => {
                let f = m.network.frame.get(&addr).cloned().filter(|_| up);
                let Some(f) = f else { return m.send(to, from, Net::FrameReply { rid, got: None }) };
                drop(m);
                self.run_in(to, || {
                    let (core, fut) = (self.clone(), f(bytes));
                    quincehatch_runtime::seam::spawn(async move {
                        let got = fut.await;
                        core.lock().send(to, from, Net::FrameReply { rid, got });
                    })
                });
            }
            Net::FrameReply { rid, got } => {
                let tx = m.network.frames.remove(&rid);
                drop(m);
                drop(tx.map(|tx| tx.send(got.ok_or_else(|| ErrorKind::ConnectionRefused.into()))));
            }
        }
    }

    /// The asker's end of a link breaks.
    fn broke(self: &Arc<Self>, id: u64, kind: ErrorKind) {
        let mut m = self.lock();
        let Some(l) = m.network.open.remove(&id) else { return };
        let closed = m.network.http.get(&l.addr).map(|h| h.1.clone()).filter(|_| m.processes[l.b].up);
        drop(m);
        l.closed.store(true, Ordering::SeqCst);
        drop(l.connect_reply.map(|tx| tx.send(Err(kind.into()))));
        match (l.asking, l.on_break) {
            (Some(tx), _) => drop(tx.send(Err(kind.into()))),
            (None, Some(f)) if l.client_open => self.run_in(l.a, || f(kind.into())),
            _ => {}
        }
        if let Some(f) = closed {
            self.run_in(l.b, || f(id));
        }
    }
}
