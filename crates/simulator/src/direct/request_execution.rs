//! How a question on a held link comes to a simulated server, takes a slot there, and is answered.
use super::call_execution::{CallResult, statement_id};
use super::delivery::{Delivery, deliver};
use super::server_group::{GroupState, ReplySender, SLOTS, ServerGroup};
use crate::fleet::simulation::Simulation;
use bytes::Bytes;
use quincehatch_core::Millis;
use quincehatch_proxy::ports::{RejectReason, ServerCall, ServerReply};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Work under a leave that was acknowledged so long ago is new work too late.
const DRAIN_LIMIT: Millis = 7_000;
/// A server that answers nothing keeps the link for so long.
const UNRESPONSIVE_TIMEOUT: Millis = 4_000;

impl ServerGroup {
    /// A question leaves a node.
    pub fn send_request(self: &Arc<Self>, id: u64, call: ServerCall, reply: ReplySender) {
        let Some(core) = self.core() else { return };
        let ends = self.with(|s| {
            let l = s.connections.get_mut(&id)?;
            l.requests_in_flight += 1;
            Some((l.node, s.servers[l.server].pid))
        });
        let Some((node, pid)) = ends else { return };
        let (site, sent) = (self.clone(), core.now());
        deliver(&core, node, pid, move |c, trip| match trip {
            Delivery::Arrived => site.admit_request(c, id, call, sent, reply),
            Delivery::Refused => drop(reply),
            Delivery::TimedOut => drop(reply.send(Err(io::ErrorKind::TimedOut.into()))),
        });
    }
    /// A node's end of a link is closed: what is open on it is rolled back.
    pub fn close(self: &Arc<Self>, id: u64) {
        let Some(core) = self.core() else { return };
        let ends = self.with(|s| s.connections.get(&id).map(|l| (l.node, s.servers[l.server].pid)));
        let Some((node, pid)) = ends else { return };
        let site = self.clone();
        deliver(&core, node, pid, move |_, _| site.with(|s| s.client_closed(id)));
    }

    fn admit_request(
        self: &Arc<Self>,
        c: &Arc<Simulation>,
        id: u64,
        call: ServerCall,
        sent: Millis,
        reply: ReplySender,
    ) {
        let takes = !matches!(
            call,
            ServerCall::Set { .. } | ServerCall::Prepare { .. } | ServerCall::Reset | ServerCall::Rollback
        );
        let now = c.now();
        let work = self.with(|st| {
            let l = st.connections.get(&id)?;
            let (i, node) = (l.server, l.node);
            let first =
                l.transaction.as_ref().is_none_or(|t| t.client_transaction.is_none() && t.writes.is_empty());
            let new = first && matches!(call, ServerCall::Run { .. } | ServerCall::Execute { .. });
            let late = st.servers[i]
                .drain_acknowledged_at
                .filter(|t| sent > t + DRAIN_LIMIT && st.is_undisturbed(node, sent));
            if let Some(t) = late.filter(|_| new) {
                let name = st.servers[i].name.clone();
                st.ledger.record_violation(format!(
                    "DRAIN at {now}: {call:?} sent {sent} to {name} that left at {t}"
                ));
            }
            let s = &mut st.servers[i];
            if takes && (s.slots_in_use >= SLOTS || now < s.busy_until) {
                return Some((i, None));
            }
            s.slots_in_use += usize::from(takes);
            Some((i, Some(s.extra_latency)))
        });
        let Some((i, slow)) = work else { return };
        let Some(slow) = slow else {
            let said = self.with(|st| {
                let end = st.servers[i].visible_end(now);
                let l = st.connections.get_mut(&id)?;
                l.requests_in_flight -= 1;
                let no = Some((RejectReason::Busy, Bytes::new()));
                Some(ServerReply {
                    rejection: no,
                    transaction_state: l.transaction_state(),
                    log_end: Some(end),
                    ..ServerReply::default()
                })
            });
            return said.map_or((), |said| self.send_reply(c, id, said, reply));
        };
        let life = c.lock().processes[self.with(|s| s.servers[i].pid)].incarnation;
        let takes_ms = if takes { 2 + c.lock().rng.below(7) + slow } else { 0 };
        let site = self.clone();
        c.schedule_action(now + takes_ms, move |c| {
            site.execute_request(c, (id, i, life), takes, call, reply)
        });
    }

    fn execute_request(
        self: &Arc<Self>,
        c: &Arc<Simulation>,
        at: (u64, usize, u64),
        takes: bool,
        call: ServerCall,
        reply: ReplySender,
    ) {
        let (id, i, life) = at;
        let pid = self.with(|s| s.servers[i].pid);
        let (now, up, same, dark, still) = {
            let m = c.lock();
            let h = &m.processes[pid];
            (m.now, h.up, h.incarnation == life, h.powered_off, h.paused_until)
        };
        if !up || !same {
            return if dark {
                c.schedule_action(now + UNRESPONSIVE_TIMEOUT, move |_| drop(reply))
            } else {
                drop(reply)
            };
        }
        if still > now {
            let site = self.clone();
            return c.schedule_action(still, move |c| site.execute_request(c, at, takes, call, reply));
        }
        let fails = c.lock().rng.chance(3);
        let done = self.with(|st| {
            st.servers[i].slots_in_use -= usize::from(takes);
            // Closed while it ran: it may be done all the same, or not.
            let mut l = st.connections.remove(&id)?;
            l.requests_in_flight -= 1;
            let done = st.execute_call(now, &mut l, &call, fails);
            let mut done = Some(done);
            if let Some(CallResult::Reply(said)) = &mut done {
                said.log_end = Some(st.servers[i].visible_end(now));
                if let ServerCall::Run { id, .. }
                | ServerCall::Execute { id, .. }
                | ServerCall::Commit { id } = &call
                {
                    st.add_stamp(statement_id(id), i, said);
                }
            }
            if !l.closed {
                st.connections.insert(id, l);
            }
            done
        });
        match done {
            Some(CallResult::Reply(said)) => self.send_reply(c, id, said, reply),
            Some(CallResult::Commit(of, ids)) => self.append_commit(c, i, (id, of), ids, reply),
            None => drop(reply),
        }
    }

    /// An answer leaves a server, unless it is lost with or without its link.
    pub fn send_reply(self: &Arc<Self>, c: &Arc<Simulation>, id: u64, said: ServerReply, reply: ReplySender) {
        let resets = c.lock().rng.chance(500);
        let ends = self.with(|st| {
            let l = st.connections.get(&id)?;
            let (node, s) = (l.node, &mut st.servers[l.server]);
            let pid = s.pid;
            if s.replies_to_lose == 0 {
                return Some((node, pid, false));
            }
            s.replies_to_lose -= 1;
            if resets {
                st.server_closed(id);
                return None;
            }
            Some((node, pid, true))
        });
        match ends {
            None => drop(reply),
            Some((_, _, true)) => c.schedule_action(c.now() + UNRESPONSIVE_TIMEOUT, move |_| drop(reply)),
            Some((node, pid, false)) => deliver(c, pid, node, move |_, trip| match trip {
                Delivery::Arrived => drop(reply.send(Ok(said))),
                _ => drop(reply),
            }),
        }
    }
}

impl GroupState {
    fn client_closed(&mut self, id: u64) {
        if self.connections.get(&id).is_some_and(|l| l.requests_in_flight == 0) {
            self.connections.remove(&id);
        } else if let Some(l) = self.connections.get_mut(&id) {
            l.closed = true;
        }
    }
    /// The server's end of a link is gone.
    pub fn server_closed(&mut self, id: u64) {
        if let Some(l) = self.connections.remove(&id) {
            l.broken.store(true, Ordering::SeqCst);
        }
    }
    pub fn add_stamp(&mut self, id: u64, server: usize, said: &mut ServerReply) {
        if said.rejection.is_some() {
            return;
        }
        let n = self.ledger.answers_by_stamp.len();
        let stamp = Bytes::from(format!("{}.{n:x}", self.servers[server].name));
        self.ledger.answers_by_stamp.insert(stamp.clone(), (id, said.rows.clone()));
        said.stamp = Some(stamp);
    }
}
