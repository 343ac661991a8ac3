//! How a question on a held link comes to a simulated server, takes a slot there, and is answered.
use super::server::{Done, number};
use super::site::{Reply, SLOTS, ServerGroup, State};
use super::trip::{Delivery, carry};
use crate::fleet::core::Simulation;
use bytes::Bytes;
use quincehatch_core::Millis;
use quincehatch_proxy::ports::{RejectReason, ServerCall, ServerReply};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Work under a leave that was acknowledged so long ago is new work too late.
const DRAIN: Millis = 7_000;
/// A server that answers nothing keeps the link for so long.
const SILENT: Millis = 4_000;

impl ServerGroup {
    /// A question leaves a node.
    pub fn ask(self: &Arc<Self>, id: u64, call: ServerCall, reply: Reply) {
        let Some(core) = self.core() else { return };
        let ends = self.with(|s| {
            let l = s.links.get_mut(&id)?;
            l.asked += 1;
            Some((l.node, s.servers[l.server].pid))
        });
        let Some((node, pid)) = ends else { return };
        let (site, sent) = (self.clone(), core.now());
        carry(&core, node, pid, move |c, trip| match trip {
            Delivery::Arrived => site.arrived(c, id, call, sent, reply),
            Delivery::Refused => drop(reply),
            Delivery::Lost => drop(reply.send(Err(io::ErrorKind::TimedOut.into()))),
        });
    }
    /// A node's end of a link is closed: what is open on it is rolled back.
    pub fn close(self: &Arc<Self>, id: u64) {
        let Some(core) = self.core() else { return };
        let ends = self.with(|s| s.links.get(&id).map(|l| (l.node, s.servers[l.server].pid)));
        let Some((node, pid)) = ends else { return };
        let site = self.clone();
        carry(&core, node, pid, move |_, _| site.with(|s| s.closed(id)));
    }

    fn arrived(self: &Arc<Self>, c: &Arc<Simulation>, id: u64, call: ServerCall, sent: Millis, reply: Reply) {
        let takes = !matches!(
            call,
            ServerCall::Set { .. } | ServerCall::Prepare { .. } | ServerCall::Reset | ServerCall::Rollback
        );
        let now = c.now();
        let work = self.with(|st| {
            let l = st.links.get(&id)?;
            let (i, node) = (l.server, l.node);
            let first = l.txn.as_ref().is_none_or(|t| t.of.is_none() && t.writes.is_empty());
            let new = first && matches!(call, ServerCall::Run { .. } | ServerCall::Execute { .. });
            let late = st.servers[i].left.filter(|t| sent > t + DRAIN && st.is_undisturbed(node, sent));
            if let Some(t) = late.filter(|_| new) {
                let name = st.servers[i].name.clone();
                st.book.record_violation(format!(
                    "DRAIN at {now}: {call:?} sent {sent} to {name} that left at {t}"
                ));
            }
            let s = &mut st.servers[i];
            if takes && (s.busy >= SLOTS || now < s.busy_until) {
                return Some((i, None));
            }
            s.busy += usize::from(takes);
            Some((i, Some(s.extra_latency)))
        });
        let Some((i, slow)) = work else { return };
        let Some(slow) = slow else {
            let said = self.with(|st| {
                let end = st.servers[i].visible_end(now);
                let l = st.links.get_mut(&id)?;
                l.asked -= 1;
                let no = Some((RejectReason::Busy, Bytes::new()));
                Some(ServerReply {
                    rejection: no,
                    transaction_state: l.stage(),
                    log_end: Some(end),
                    ..ServerReply::default()
                })
            });
            return said.map_or((), |said| self.say(c, id, said, reply));
        };
        let life = c.lock().processes[self.with(|s| s.servers[i].pid)].incarnation;
        let takes_ms = if takes { 2 + c.lock().rng.below(7) + slow } else { 0 };
        let site = self.clone();
        c.schedule_action(now + takes_ms, move |c| site.execute(c, (id, i, life), takes, call, reply));
    }

    fn execute(
        self: &Arc<Self>,
        c: &Arc<Simulation>,
        at: (u64, usize, u64),
        takes: bool,
        call: ServerCall,
        reply: Reply,
    ) {
        let (id, i, life) = at;
        let pid = self.with(|s| s.servers[i].pid);
        let (now, up, same, dark, still) = {
            let m = c.lock();
            let h = &m.processes[pid];
            (m.now, h.up, h.incarnation == life, h.powered_off, h.paused_until)
        };
        if !up || !same {
            return if dark { c.schedule_action(now + SILENT, move |_| drop(reply)) } else { drop(reply) };
        }
        if still > now {
            let site = self.clone();
            return c.schedule_action(still, move |c| site.execute(c, at, takes, call, reply));
        }
        let fails = c.lock().rng.chance(3);
        let done = self.with(|st| {
            st.servers[i].busy -= usize::from(takes);
            // Closed while it ran: it may be done all the same, or not.
            let mut l = st.links.remove(&id)?;
            l.asked -= 1;
            let done = st.run(now, &mut l, &call, fails);
            let mut done = Some(done);
            if let Some(Done::Said(said)) = &mut done {
                said.log_end = Some(st.servers[i].visible_end(now));
                if let ServerCall::Run { id, .. }
                | ServerCall::Execute { id, .. }
                | ServerCall::Commit { id } = &call
                {
                    st.stamp(number(id), i, said);
                }
            }
            if !l.closed {
                st.links.insert(id, l);
            }
            done
        });
        match done {
            Some(Done::Said(said)) => self.say(c, id, said, reply),
            Some(Done::Commit(of, ids)) => self.commit(c, i, (id, of), ids, reply),
            None => drop(reply),
        }
    }

    /// An answer leaves a server, unless it is lost with or without its link.
    pub fn say(self: &Arc<Self>, c: &Arc<Simulation>, id: u64, said: ServerReply, reply: Reply) {
        let resets = c.lock().rng.chance(500);
        let ends = self.with(|st| {
            let l = st.links.get(&id)?;
            let (node, s) = (l.node, &mut st.servers[l.server]);
            let pid = s.pid;
            if s.lose == 0 {
                return Some((node, pid, false));
            }
            s.lose -= 1;
            if resets {
                st.broke(id);
                return None;
            }
            Some((node, pid, true))
        });
        match ends {
            None => drop(reply),
            Some((_, _, true)) => c.schedule_action(c.now() + SILENT, move |_| drop(reply)),
            Some((node, pid, false)) => carry(c, pid, node, move |_, trip| match trip {
                Delivery::Arrived => drop(reply.send(Ok(said))),
                _ => drop(reply),
            }),
        }
    }
}

impl State {
    fn closed(&mut self, id: u64) {
        if self.links.get(&id).is_some_and(|l| l.asked == 0) {
            self.links.remove(&id);
        } else if let Some(l) = self.links.get_mut(&id) {
            l.closed = true;
        }
    }
    /// The server's end of a link is gone.
    pub fn broke(&mut self, id: u64) {
        if let Some(l) = self.links.remove(&id) {
            l.broken.store(true, Ordering::SeqCst);
        }
    }
    pub fn stamp(&mut self, id: u64, server: usize, said: &mut ServerReply) {
        if said.rejection.is_some() {
            return;
        }
        let n = self.book.answers_by_stamp.len();
        let stamp = Bytes::from(format!("{}.{n:x}", self.servers[server].name));
        self.book.answers_by_stamp.insert(stamp.clone(), (id, said.rows.clone()));
        said.stamp = Some(stamp);
    }
}
