//! Commits at a simulated server, and how its replicas get them.
use super::delivery::{Delivery, deliver};
use super::server_group::{GroupState, LogEntry, PendingCommit, ReplySender, ServerGroup};
use crate::fleet::simulation::Simulation;
use bytes::Bytes;
use quincehatch_core::{Millis, Position, Role};
use quincehatch_proxy::ports::{RejectReason, ServerCall, ServerReply, ServerStatus};
use std::sync::Arc;

/// How often a lead sends its replicas what they lack.
const REPLICATION_INTERVAL: Millis = 60;

impl GroupState {
    /// STATUS and the calls that change how a server stands.
    pub fn apply_control_call(
        &mut self,
        now: Millis,
        server: usize,
        call: &ServerCall,
        links: u64,
    ) -> ServerStatus {
        let s = &mut self.servers[server];
        match call {
            ServerCall::Suspend { term }
                if s.role == Role::Replica && *term > s.term.max(s.suspended_term) =>
            {
                s.suspended_term = *term
            }
            ServerCall::Resume => s.suspended_term = 0,
            ServerCall::Demote { term } if s.role == Role::Primary && *term > s.term => {
                (s.role, s.term) = (Role::Replica, *term);
            }
            _ => {}
        }
        let (look, name) = (s.status(s.replication_lag, links), s.name.clone());
        if !matches!(call, ServerCall::Status) {
            self.ledger.event_log.push(format!("{now} {name} {call:?}: {look:?}"));
        }
        look
    }
}

impl ServerGroup {
    /// A commit of these writes: in the lead's log at once, answered once a replica received it.
    pub fn append_commit(
        self: &Arc<Self>,
        c: &Arc<Simulation>,
        i: usize,
        of: (u64, u64),
        ids: Vec<u64>,
        reply: ReplySender,
    ) {
        let now = c.now();
        self.with(|st| {
            let s = &mut st.servers[i];
            let at = Position { fence: s.term, number: s.log.len() as u64 + 1 };
            let entry = Arc::new(LogEntry { position: at, writes: ids });
            s.log.push(entry.clone());
            st.ledger.record_commit(now, of.1, &entry);
            let mut said = ServerReply { rows: Vec::new(), log_end: Some(at), ..ServerReply::default() };
            st.add_stamp(of.1, i, &mut said);
            st.servers[i].pending_commits.push(PendingCommit {
                entry,
                connection: of.0,
                reply_message: said,
                reply,
            });
        });
        self.send_missing_entries(c, i);
    }

    /// Sends each replica what it lacks.
    fn send_missing_entries(self: &Arc<Self>, c: &Arc<Simulation>, lead: usize) {
        let to: Vec<_> = self.with(|st| {
            let l = &st.servers[lead];
            let lacks = |(i, s): (usize, &super::server_group::Server)| {
                let n = s.common_prefix(&l.log);
                (i != lead && s.role == Role::Replica && n < l.log.len())
                    .then(|| (i, s.pid, n, l.log[n..].to_vec()))
            };
            st.servers.iter().enumerate().filter_map(lacks).collect()
        });
        let (pid, term) = self.with(|st| (st.servers[lead].pid, st.servers[lead].term));
        for (i, to, n, entries) in to {
            let site = self.clone();
            deliver(c, pid, to, move |c, trip| {
                if trip == Delivery::Arrived
                    && let Some(end) = site.with(|st| st.append_entries(c.now(), i, term, n, entries))
                {
                    let s = site.clone();
                    deliver(c, to, pid, move |c, trip| {
                        if trip == Delivery::Arrived {
                            s.complete_commits(c, lead, &end);
                        }
                    });
                }
            });
        }
    }

    /// A replica has received up to there: commits that waited for it are answered.
    fn complete_commits(self: &Arc<Self>, c: &Arc<Simulation>, lead: usize, end: &Arc<LogEntry>) {
        let done: Vec<PendingCommit> = self.with(|st| {
            let s = &mut st.servers[lead];
            if !s.holds(end, s.log.len()) {
                return Vec::new();
            }
            let all = std::mem::take(&mut s.pending_commits);
            let (done, wait) = all.into_iter().partition(|w| w.entry.position <= end.position);
            s.pending_commits = wait;
            done
        });
        done.into_iter().for_each(|w| self.send_reply(c, w.connection, w.reply_message, w.reply));
    }

    /// Leads go on sending, all the run long.
    pub fn replicate_periodically(self: &Arc<Self>, c: &Arc<Simulation>) {
        let leads: Vec<_> = self.with(|st| {
            let all = st.servers.iter().enumerate().filter(|(_, s)| s.role == Role::Primary);
            all.map(|(i, s)| (i, s.pid)).collect()
        });
        for (i, pid) in leads {
            let runs = {
                let m = c.lock();
                m.processes[pid].up && m.processes[pid].paused_until <= m.now
            };
            if runs {
                self.send_missing_entries(c, i);
            }
        }
        let site = self.clone();
        c.schedule_action(c.now() + REPLICATION_INTERVAL, move |c| site.replicate_periodically(c));
    }

    /// Commits that nobody will answer any more: they ran, and what became of them is not said.
    pub fn fail_commits(self: &Arc<Self>, c: &Arc<Simulation>, waiting: Vec<PendingCommit>) {
        for w in waiting {
            let no = Some((RejectReason::TimedOut, Bytes::new()));
            self.send_reply(
                c,
                w.connection,
                ServerReply { rejection: no, ..ServerReply::default() },
                w.reply,
            );
        }
    }
}

impl GroupState {
    /// Entries behind the first `n` come from the lead of `term`; the newest that is had by then.
    fn append_entries(
        &mut self,
        now: Millis,
        i: usize,
        term: u64,
        n: usize,
        got: Vec<Arc<LogEntry>>,
    ) -> Option<Arc<LogEntry>> {
        // What a lead sent before another was promoted comes too late.
        let over = self.primary().is_some_and(|l| self.servers[l].term > term);
        let s = &mut self.servers[i];
        if over
            || s.role != Role::Replica
            || s.suspended_term > 0
            || s.replication_stopped
            || term < s.term
            || s.log.len() < n
        {
            return None;
        }
        let fits = s.log[n..].iter().zip(&got).all(|(a, b)| Arc::ptr_eq(a, b));
        if !fits {
            return None;
        }
        s.term = term;
        let had = s.log.len() - n;
        s.log.extend(got.iter().skip(had).cloned());
        s.pending_visibility.push_back((now + 2 + s.replication_lag, s.log.len()));
        got.last().cloned()
    }
}
