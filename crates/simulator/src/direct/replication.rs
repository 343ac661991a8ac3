//! Commits at a simulated primary, their replication, and the control calls that change a server's role.
use super::call_execution::Commit;
use super::delivery::{Delivery, deliver};
use super::server::{LogEntry, PendingCommit, ReplyTarget, Server};
use super::server_group::{GroupState, ServerGroup};
use crate::fleet::simulation::{ProcessId, Simulation};
use quincehatch_core::{Millis, Position, Role};
use quincehatch_proxy::ports::{RejectReason, Rejection, ServerCall, ServerReply, ServerStatus};
use std::sync::Arc;

/// How often a primary sends its replicas the log entries that they lack.
const REPLICATION_INTERVAL: Millis = 60;
/// A replica's reads see a received entry after this time plus the replica's lag.
const APPLY_TIME: Millis = 2;

/// Log entries that a primary sends to one replica.
struct Append {
    primary: usize,
    /// The primary's term.
    term: u64,
    replica: usize,
    /// Number of log entries that precede `entries`.
    after: usize,
    entries: Vec<Arc<LogEntry>>,
}

impl ServerGroup {
    /// Appends a commit to the primary's log. The commit is answered once a replica has received it.
    pub fn append_commit(
        self: &Arc<Self>,
        simulation: &Arc<Simulation>,
        server: usize,
        commit: Commit,
        target: ReplyTarget,
    ) {
        let now = simulation.now();
        self.with(|state| {
            let primary = &mut state.servers[server];
            let number = primary.log.len() as u64 + 1;
            let position = Position { fence: primary.term, number };
            let entry = Arc::new(LogEntry { position, writes: commit.writes });
            primary.log.push(entry.clone());
            state.ledger.record_commit(now, commit.id, &entry);
            let mut reply = ServerReply { log_end: Some(position), ..ServerReply::default() };
            state.add_stamp(commit.id, server, &mut reply);
            let pending = PendingCommit { entry, reply, target };
            state.servers[server].pending_commits.push(pending);
        });
        self.send_missing_entries(simulation, server);
    }

    /// Sends each replica the log entries that it lacks.
    fn send_missing_entries(self: &Arc<Self>, simulation: &Arc<Simulation>, primary: usize) {
        let (appends, pid) = self.with(|state| (state.missing_entries(primary), state.servers[primary].pid));
        for append in appends {
            self.send_append(simulation, pid, append);
        }
    }

    fn send_append(self: &Arc<Self>, simulation: &Arc<Simulation>, primary: ProcessId, append: Append) {
        let (replica, delay) = self.with(|state| {
            let replica = &state.servers[append.replica];
            (replica.pid, replica.receive_delay)
        });
        let group = self.clone();
        if delay > 0 {
            let at = simulation.now() + delay;
            return simulation.schedule_action(at, move |simulation| {
                group.deliver_append(simulation, primary, replica, append)
            });
        }
        self.deliver_append(simulation, primary, replica, append);
    }

    fn deliver_append(
        self: &Arc<Self>,
        simulation: &Arc<Simulation>,
        primary: ProcessId,
        replica: ProcessId,
        append: Append,
    ) {
        let group = self.clone();
        deliver(simulation, primary, replica, move |simulation, delivery| {
            if delivery != Delivery::Arrived {
                return;
            }
            let now = simulation.now();
            let primary_index = append.primary;
            let Some(end) = group.with(|state| state.append_entries(now, &append)) else { return };
            deliver(simulation, replica, primary, move |simulation, delivery| {
                if delivery == Delivery::Arrived {
                    group.complete_commits(simulation, primary_index, &end);
                }
            });
        });
    }

    /// Answers the pending commits up to `end`, once a replica has received the log up to there.
    fn complete_commits(self: &Arc<Self>, simulation: &Arc<Simulation>, primary: usize, end: &Arc<LogEntry>) {
        let completed = self.with(|state| state.servers[primary].take_commits_up_to(end));
        for commit in completed {
            self.send_reply(simulation, commit.reply, commit.target);
        }
    }

    /// Lets each running primary send its replicas the entries that they lack, and schedules the next round.
    pub fn replicate_periodically(self: &Arc<Self>, simulation: &Arc<Simulation>) {
        let primaries: Vec<(usize, ProcessId)> = self.with(|state| {
            let servers = state.servers.iter().enumerate();
            let primaries = servers.filter(|(_, server)| server.role == Role::Primary);
            primaries.map(|(index, server)| (index, server.pid)).collect()
        });
        for (index, pid) in primaries {
            if simulation.lock().is_running(pid) {
                self.send_missing_entries(simulation, index);
            }
        }
        let group = self.clone();
        let next = simulation.now() + REPLICATION_INTERVAL;
        simulation.schedule_action(next, move |simulation| group.replicate_periodically(simulation));
    }

    /// Answers commits that no replica will receive any more with a timeout, which leaves open whether they are
    /// applied.
    pub fn fail_commits(self: &Arc<Self>, simulation: &Arc<Simulation>, pending: Vec<PendingCommit>) {
        for commit in pending {
            let rejection = Some(Rejection::without_text(RejectReason::TimedOut));
            let reply = ServerReply { rejection, ..ServerReply::default() };
            self.send_reply(simulation, reply, commit.target);
        }
    }
}

impl Server {
    /// Removes and returns the pending commits up to an entry, if the log contains that entry.
    fn take_commits_up_to(&mut self, end: &Arc<LogEntry>) -> Vec<PendingCommit> {
        if !self.holds(end, self.log.len()) {
            return Vec::new();
        }
        let pending = std::mem::take(&mut self.pending_commits);
        let is_complete = |commit: &PendingCommit| commit.entry.position <= end.position;
        let (completed, waiting) = pending.into_iter().partition(is_complete);
        self.pending_commits = waiting;
        completed
    }
}

impl GroupState {
    /// Returns, for each replica that lacks entries of a primary's log, those entries.
    fn missing_entries(&self, primary: usize) -> Vec<Append> {
        let log = &self.servers[primary].log;
        let term = self.servers[primary].term;
        let mut appends = Vec::new();
        for (replica, server) in self.servers.iter().enumerate() {
            let after = server.common_prefix(log);
            if replica != primary && !server.is_absent && server.role == Role::Replica && after < log.len() {
                appends.push(Append { primary, term, replica, after, entries: log[after..].to_vec() });
            }
        }
        appends
    }

    /// Appends entries of a primary to a replica's log. Returns the last of them, or `None` if the replica rejects
    /// them.
    fn append_entries(&mut self, now: Millis, append: &Append) -> Option<Arc<LogEntry>> {
        // The replica rejects entries that their primary sent before another server was promoted.
        let superseded = self.primary().is_some_and(|primary| self.servers[primary].term > append.term);
        let replica = &mut self.servers[append.replica];
        let accepts_entries = replica.role == Role::Replica
            && replica.suspended_term == 0
            && !replica.replication_stopped
            && append.term >= replica.term
            && replica.log.len() >= append.after;
        if superseded || !accepts_entries {
            return None;
        }
        let existing = &replica.log[append.after..];
        if !existing.iter().zip(&append.entries).all(|(existing, sent)| Arc::ptr_eq(existing, sent)) {
            return None;
        }
        let existing = existing.len();
        replica.term = append.term;
        replica.log.extend(append.entries.iter().skip(existing).cloned());
        let visible_at = now + APPLY_TIME + replica.replication_lag;
        replica.pending_visibility.push_back((visible_at, replica.log.len()));
        append.entries.last().cloned()
    }

    /// Executes a status call or a call that changes the server's role or suspension. Returns the server's new status.
    pub fn apply_control_call(
        &mut self,
        now: Millis,
        server: usize,
        call: &ServerCall,
        connections: u64,
    ) -> ServerStatus {
        let server = &mut self.servers[server];
        match call {
            ServerCall::Suspend { term }
                if server.role == Role::Replica && *term > server.term.max(server.suspended_term) =>
            {
                server.suspended_term = *term;
            }
            ServerCall::Resume => server.suspended_term = 0,
            ServerCall::Demote { term } if server.role == Role::Primary && *term > server.term => {
                server.role = Role::Replica;
                server.term = *term;
            }
            _ => {}
        }
        let (status, name) = (server.status(connections), server.name.clone());
        if !matches!(call, ServerCall::Status) {
            self.ledger.event_log.push(format!("{now} {name} {call:?}: {status:?}"));
        }
        status
    }
}
