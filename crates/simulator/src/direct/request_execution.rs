//! The path of a request on a direct connection: delivery to a simulated server, admission to a slot, execution, reply.
use super::call_execution::{CallResult, statement_id};
use super::delivery::{Delivery, deliver};
use super::replies::UNRESPONSIVE_TIMEOUT;
use super::server::{ReplySender, ReplyTarget, SLOTS};
use super::server_group::{GroupState, ServerGroup};
use crate::fleet::simulation::Simulation;
use quincehatch_core::Millis;
use quincehatch_proxy::ports::{RejectReason, Rejection, ServerCall, ServerReply};
use std::io;
use std::sync::Arc;

/// Sending new work to a server is a violation once its drain has been acknowledged for this long.
const DRAIN_LIMIT: Millis = 7_000;
/// Shortest execution time of a request that takes a slot, and the range of the random addition to it.
const MIN_EXECUTION_TIME: Millis = 2;
const EXECUTION_TIME_SPREAD: Millis = 7;
/// Share of statements that fail with an error of the server.
const FAILURES_PER_MILLE: u64 = 3;
/// A request that is being delivered to its server.
struct Request {
    connection: u64,
    call: ServerCall,
    sent_at: Millis,
    reply_to: ReplySender,
}

/// A server's decision on an arriving request.
enum Admission {
    Busy,
    /// The server executes the request, with this much added to its execution time.
    Admitted {
        extra_latency: Millis,
    },
}

/// A request in execution.
struct Execution {
    connection: u64,
    call: ServerCall,
    reply_to: ReplySender,
    server: usize,
    /// The incarnation of the server that admitted the request.
    incarnation: u64,
    takes_slot: bool,
}

/// Whether the call occupies one of the server's slots.
fn takes_slot(call: &ServerCall) -> bool {
    !matches!(
        call,
        ServerCall::Set { .. } | ServerCall::Prepare { .. } | ServerCall::Reset | ServerCall::Rollback
    )
}

impl ServerGroup {
    /// Sends a node's request to its server.
    pub fn send_request(self: &Arc<Self>, id: u64, call: ServerCall, reply_to: ReplySender) {
        let Some(simulation) = self.simulation() else { return };
        let endpoints = self.with(|state| {
            let connection = state.connections.get_mut(&id)?;
            connection.requests_in_flight += 1;
            Some((connection.node, state.servers[connection.server].pid))
        });
        let Some((node, server)) = endpoints else { return };
        let group = self.clone();
        let request = Request { connection: id, call, sent_at: simulation.now(), reply_to };
        deliver(&simulation, node, server, move |simulation, delivery| match delivery {
            Delivery::Arrived => group.admit_request(simulation, request),
            Delivery::Refused => drop(request),
            Delivery::TimedOut => {
                group.with(|state| state.abandon_undelivered(id));
                let _ = request.reply_to.send(Err(io::ErrorKind::TimedOut.into()));
            }
        });
    }

    /// Closes a node's end of a connection. The server rolls back the transaction that is open on it.
    pub fn close(self: &Arc<Self>, id: u64) {
        let Some(simulation) = self.simulation() else { return };
        let endpoints = self.with(|state| {
            let connection = state.connections.get(&id)?;
            Some((connection.node, state.servers[connection.server].pid))
        });
        let Some((node, server)) = endpoints else { return };
        let group = self.clone();
        deliver(&simulation, node, server, move |_, _| group.with(|state| state.close_at_server(id)));
    }

    fn admit_request(self: &Arc<Self>, simulation: &Arc<Simulation>, request: Request) {
        let now = simulation.now();
        let Some((server, admission)) = self.with(|state| state.admit(now, &request)) else { return };
        let Request { connection, call, reply_to, .. } = request;
        match admission {
            Admission::Busy => {
                let reply = self.with(|state| state.busy_reply(now, connection));
                if let Some(reply) = reply {
                    self.send_reply(simulation, reply, ReplyTarget { connection, reply_to });
                }
            }
            Admission::Admitted { extra_latency } => {
                let pid = self.with(|state| state.servers[server].pid);
                let incarnation = simulation.lock().processes[pid].incarnation;
                let takes_slot = takes_slot(&call);
                let time = if takes_slot {
                    let drawn = simulation.lock().rng.below(EXECUTION_TIME_SPREAD);
                    MIN_EXECUTION_TIME + drawn + extra_latency
                } else {
                    0
                };
                let execution = Execution { connection, call, reply_to, server, incarnation, takes_slot };
                let group = self.clone();
                simulation
                    .schedule_action(now + time, move |simulation| group.execute(simulation, execution));
            }
        }
    }

    fn execute(self: &Arc<Self>, simulation: &Arc<Simulation>, execution: Execution) {
        let pid = self.with(|state| state.servers[execution.server].pid);
        let now = simulation.now();
        let (alive, powered_off, paused_until) = {
            let state = simulation.lock();
            let process = &state.processes[pid];
            let alive = process.is_up && process.incarnation == execution.incarnation;
            (alive, process.powered_off, process.paused_until)
        };
        if !alive && powered_off {
            let reply_to = execution.reply_to;
            return simulation.schedule_action(now + UNRESPONSIVE_TIMEOUT, move |_| drop(reply_to));
        }
        if !alive {
            return drop(execution);
        }
        if paused_until > now {
            let group = self.clone();
            return simulation
                .schedule_action(paused_until, move |simulation| group.execute(simulation, execution));
        }
        let fails = simulation.lock().rng.chance(FAILURES_PER_MILLE);
        let result = self.with(|state| state.finish_execution(now, &execution, fails));
        let Execution { connection, reply_to, server, .. } = execution;
        match result {
            Some(CallResult::Reply(reply)) => {
                self.send_reply(simulation, reply, ReplyTarget { connection, reply_to })
            }
            Some(CallResult::Commit(commit)) => {
                self.append_commit(simulation, server, commit, ReplyTarget { connection, reply_to });
            }
            None => drop(reply_to),
        }
    }
}

impl GroupState {
    /// Decides whether the server executes a request. Returns `None` if the connection is gone.
    fn admit(&mut self, now: Millis, request: &Request) -> Option<(usize, Admission)> {
        let server = self.connections.get(&request.connection)?.server;
        self.check_drain(now, request);
        let takes_slot = takes_slot(&request.call);
        let target = &mut self.servers[server];
        if takes_slot && (target.slots_in_use >= SLOTS || now < target.busy_until) {
            return Some((server, Admission::Busy));
        }
        target.slots_in_use += usize::from(takes_slot);
        Some((server, Admission::Admitted { extra_latency: target.extra_latency }))
    }

    /// Checks that no undisturbed node sends new work to a server that has been draining for [`DRAIN_LIMIT`].
    fn check_drain(&mut self, now: Millis, request: &Request) {
        let Some(connection) = self.connections.get(&request.connection) else { return };
        let unused = connection.transaction.as_ref().is_none_or(|transaction| {
            transaction.client_transaction.is_none() && transaction.writes.is_empty()
        });
        let is_statement = matches!(request.call, ServerCall::Run { .. } | ServerCall::Execute { .. });
        if !unused || !is_statement {
            return;
        }
        let server = &self.servers[connection.server];
        let Some(drained_at) = server.drain_acknowledged_at else { return };
        let sent_at = request.sent_at;
        if sent_at > drained_at + DRAIN_LIMIT && self.is_undisturbed(connection.node, sent_at) {
            let (call, name) = (&request.call, &server.name);
            let violation =
                format!("DRAIN at {now}: {call:?} sent {sent_at} to {name} that drains since {drained_at}");
            self.ledger.record_violation(violation);
        }
    }

    fn busy_reply(&mut self, now: Millis, id: u64) -> Option<ServerReply> {
        let connection = self.connections.get_mut(&id)?;
        connection.requests_in_flight -= 1;
        let transaction_state = connection.transaction_state();
        let log_end = Some(self.servers[connection.server].visible_end(now));
        let rejection = Some(Rejection::without_text(RejectReason::Busy));
        Some(ServerReply { rejection, transaction_state, log_end, ..ServerReply::default() })
    }

    /// Executes a request at the end of its execution time. Returns `None` if its connection is gone by then.
    fn finish_execution(&mut self, now: Millis, execution: &Execution, fails: bool) -> Option<CallResult> {
        let Execution { connection: id, call, server, .. } = execution;
        self.servers[*server].slots_in_use -= usize::from(execution.takes_slot);
        let mut connection = self.connections.remove(id)?;
        connection.requests_in_flight -= 1;
        let mut result = self.execute_call(now, &mut connection, call, fails);
        if let CallResult::Reply(reply) = &mut result {
            reply.log_end = Some(self.servers[*server].visible_end(now));
            if let ServerCall::Run { id, .. } | ServerCall::Execute { id, .. } | ServerCall::Commit { id } =
                call
            {
                self.add_stamp(statement_id(id), *server, reply);
            }
        }
        if !connection.closed {
            self.connections.insert(*id, connection);
        }
        Some(result)
    }

    /// Forgets a request that never reached its server. If the node has closed its end, the connection is gone with it.
    fn abandon_undelivered(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.requests_in_flight -= 1;
        if connection.closed && connection.requests_in_flight == 0 {
            self.connections.remove(&id);
        }
    }

    /// Handles the close of the node's end. The connection exists until its requests in execution have finished.
    fn close_at_server(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.requests_in_flight == 0 {
            self.connections.remove(&id);
        } else {
            connection.closed = true;
        }
    }
}
