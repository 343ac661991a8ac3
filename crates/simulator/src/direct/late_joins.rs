//! Servers that join the group at new addresses, whose first heartbeats are delayed: they receive commits, and the primary
//! counts them, before any node knows of them. A handover or a crash of the primary follows.
use super::faults::Fault;
use super::server::Server;
use super::server_group::GroupState;
use super::setup::{DirectFleet, SERVERS};
use crate::addresses;
use crate::fleet::simulation::StartProcess;
use quincehatch_core::{Millis, Role};
use std::sync::Arc;

/// Number of servers that join during a run.
const JOINING_SERVERS: usize = 2;
/// Time from the start of faults to the first join, and from one join to the next; and the range of the random addition.
const MIN_JOIN_GAP: Millis = 5_000;
const JOIN_GAP_SPREAD: Millis = 8_000;
/// Shortest delay of the heartbeats of a server that joins, and the range of the random addition to it.
const MIN_HEARTBEAT_DELAY: Millis = 500;
const HEARTBEAT_DELAY_SPREAD: Millis = 3_500;
/// Time from the join to the change of the primary: at most this.
const MAX_CHANGE_DELAY: Millis = 500;
/// The other replicas receive a commit at most this much later than the server that joins, while its heartbeats are
/// delayed.
const MAX_RECEIVE_DELAY: Millis = 30;
/// Share of joins after which the primary crashes; after the others a handover is requested.
const CRASHES_PER_MILLE: u64 = 300;
const CRASH_TIME: Millis = 5_000;

/// What is drawn for one join.
struct Join {
    heartbeat_delay: Millis,
    receive_delay: Millis,
    change_delay: Millis,
    primary_crashes: bool,
}

impl GroupState {
    /// Starts a server with the primary's log. Nodes hear of it once its heartbeats arrive, after `heartbeat_delay`.
    fn join_server(&mut self, index: usize, now: Millis, heartbeat_delay: Millis) {
        let primary =
            self.primary().map(|primary| (self.servers[primary].log.clone(), self.servers[primary].term));
        let (log, term) = primary.unwrap_or_default();
        let server = &mut self.servers[index];
        server.is_absent = false;
        server.registers_from = now + heartbeat_delay;
        server.term = term;
        server.visible = log.len();
        server.log = log;
        let (name, end) = (server.name.clone(), server.log_end());
        self.ledger
            .event_log
            .push(format!("{now} {name} joins at {end:?}, heard of after {heartbeat_delay} ms"));
    }
}

impl DirectFleet {
    /// Adds the processes of the servers that join later.
    pub(super) fn add_joining_servers(self: &Arc<Self>) {
        let passive: StartProcess = Arc::new(|_, _| ());
        for index in SERVERS..SERVERS + JOINING_SERVERS {
            let pid = self.simulation.add_process(&format!("s{index}"), passive.clone(), true);
            self.simulation.crash(pid, false);
            let server = Server {
                name: format!("s{index}").into(),
                pid,
                addr: addresses::server(index).into(),
                role: Role::Replica,
                is_absent: true,
                ..Server::default()
            };
            self.group.with(|state| state.servers.push(server));
        }
    }

    fn draw_join(&self) -> Join {
        let rng = &mut self.simulation.lock().rng;
        Join {
            heartbeat_delay: MIN_HEARTBEAT_DELAY + rng.below(HEARTBEAT_DELAY_SPREAD),
            receive_delay: rng.below(MAX_RECEIVE_DELAY + 1),
            change_delay: rng.below(MAX_CHANGE_DELAY),
            primary_crashes: rng.chance(CRASHES_PER_MILLE),
        }
    }

    fn begin_join(self: &Arc<Self>, index: usize) {
        let join = self.draw_join();
        let now = self.simulation.now();
        let pid = self.group.with(|state| state.servers[index].pid);
        self.simulation.restart(pid);
        self.group.with(|state| {
            state.join_server(index, now, join.heartbeat_delay);
            for server in state.servers.iter_mut().take(SERVERS) {
                server.receive_delay = join.receive_delay;
            }
        });
        let fleet = self.clone();
        self.simulation.schedule_action(now + join.heartbeat_delay, move |_| fleet.end_receive_delays());
        let fleet = self.clone();
        self.simulation.schedule_action(now + join.change_delay, move |_| {
            let primary = fleet.group.with(|state| state.primary().map(|primary| state.servers[primary].pid));
            match primary.filter(|_| join.primary_crashes) {
                Some(pid) => fleet.inject(Fault::Crash { pid, power_loss: false, time: CRASH_TIME }),
                None => fleet.inject(Fault::RequestHandover),
            }
        });
    }

    fn end_receive_delays(&self) {
        self.group.with(|state| state.servers.iter_mut().for_each(|server| server.receive_delay = 0));
    }

    /// Schedules the joins at random times from `from` on.
    pub(super) fn schedule_late_joins(self: &Arc<Self>, from: Millis) {
        let mut at = from;
        for index in SERVERS..SERVERS + JOINING_SERVERS {
            at += MIN_JOIN_GAP + self.simulation.lock().rng.below(JOIN_GAP_SPREAD);
            let fleet = self.clone();
            self.simulation.schedule_action(at, move |_| fleet.begin_join(index));
        }
    }
}
