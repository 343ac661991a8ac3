//! Injects the drawn faults and schedules their ends.
use super::faults::{Fault, ReplicaFault};
use super::operator::drain_and_replace;
use super::process_control::HEALTHY_LAG;
use super::server::Server;
use super::setup::{DirectFleet, GROUP, SERVERS};
use crate::fleet::simulation::{ProcessId, Trap};
use quincehatch_core::Millis;
use quincehatch_runtime::seam;
use std::sync::Arc;

/// Lag of a lagging replica, added latency of a slowed server, and added latency of a primary that only one node
/// reaches.
const LAG: Millis = 900;
const SLOW_LATENCY: Millis = 300;
const ISOLATED_LATENCY: Millis = 150;
/// How long a replica is down that crashes together with its primary.
const SHORT_CRASH: Millis = 400;

impl DirectFleet {
    fn schedule_after(self: &Arc<Self>, time: Millis, act: impl FnOnce(&Arc<DirectFleet>) + Send + 'static) {
        let fleet = self.clone();
        self.simulation.schedule_action(self.simulation.now() + time, move |_| act(&fleet));
    }

    /// Records that a fault affects a process and its connections for the given time.
    fn mark_disturbed(&self, pid: ProcessId, time: Millis) {
        let until = self.simulation.now() + time;
        self.group.with(|state| {
            state.mark_disturbed(pid, until);
            if self.keepers.contains(&pid) {
                state.mark_keepers_disturbed(until);
            }
        });
    }

    fn mark_all_disturbed(&self, time: Millis) {
        for pid in self.faultable_processes() {
            self.mark_disturbed(pid, time);
        }
    }

    /// Applies `begin` to a server, and `end` after the given time.
    fn change_server_for(
        self: &Arc<Self>,
        server: usize,
        time: Millis,
        begin: fn(&mut Server),
        end: fn(&mut Server),
    ) {
        self.group.with(|state| begin(&mut state.servers[server]));
        self.schedule_after(time, move |fleet| fleet.group.with(|state| end(&mut state.servers[server])));
    }

    fn stop_replication_for(self: &Arc<Self>, server: usize, time: Millis) {
        self.change_server_for(
            server,
            time,
            |server| server.replication_stopped = true,
            |server| server.replication_stopped = false,
        );
    }

    fn crash_for(self: &Arc<Self>, pid: ProcessId, power_loss: bool, time: Millis) {
        self.mark_disturbed(pid, time);
        self.crash_process(pid, power_loss);
        self.schedule_after(time, move |fleet| fleet.start_process(pid));
    }

    /// Returns the index of the primary, or of the first server if there is no primary.
    fn current_primary(&self) -> usize {
        self.group.with(|state| state.primary().unwrap_or(0))
    }

    fn server_process(&self, server: usize) -> ProcessId {
        self.group.with(|state| state.servers[server].pid)
    }

    /// Crashes the primary for the given time. Returns its index.
    fn crash_primary(self: &Arc<Self>, power_loss: bool, time: Millis) -> usize {
        let primary = self.current_primary();
        self.crash_for(self.server_process(primary), power_loss, time);
        primary
    }

    fn partition_for(self: &Arc<Self>, pairs: Vec<(ProcessId, ProcessId)>, both_ways: bool, time: Millis) {
        for (from, to) in &pairs {
            self.simulation.partition(*from, *to, both_ways);
        }
        self.schedule_after(time, move |fleet| {
            for (from, to) in pairs {
                fleet.simulation.heal_partition(from, to);
            }
        });
    }

    /// Cuts the processes of `part` off from all others except those of `still_reached`.
    fn split_for(
        self: &Arc<Self>,
        part: &[ProcessId],
        still_reached: &[ProcessId],
        one_way: bool,
        time: Millis,
    ) {
        let mut rest = self.partitionable_processes();
        rest.retain(|other| !part.contains(other) && !still_reached.contains(other));
        let pairs = part.iter().flat_map(|pid| rest.iter().map(|other| (*pid, *other))).collect();
        self.mark_all_disturbed(time);
        self.partition_for(pairs, !one_way, time);
    }

    /// Injects a fault and schedules its end.
    pub(super) fn inject(self: &Arc<Self>, fault: Fault) {
        let now = self.simulation.now();
        self.simulation.log(&format!("fault {fault:?}"));
        self.group.with(|state| state.ledger.event_log.push(format!("{now} fault {fault:?}")));
        self.simulation.lock().crashes_enabled = true;
        match fault {
            Fault::Partition { .. }
            | Fault::Isolate { .. }
            | Fault::Split { .. }
            | Fault::IsolatePrimaryWithNode { .. }
            | Fault::PrimaryAndReplicaReachOneNode { .. }
            | Fault::PacketLoss { .. } => self.inject_network_fault(fault),
            Fault::ReplicationStopped { .. }
            | Fault::Lag { .. }
            | Fault::Slow { .. }
            | Fault::LoseReplies { .. }
            | Fault::Drain { .. } => self.inject_server_fault(fault),
            _ => self.inject_process_fault(fault),
        }
    }

    fn inject_network_fault(self: &Arc<Self>, fault: Fault) {
        match fault {
            Fault::Partition { from, to, both_ways, time } => {
                self.mark_disturbed(from, time);
                self.mark_disturbed(to, time);
                self.partition_for(vec![(from, to)], both_ways, time);
            }
            Fault::Isolate { pid, one_way, time } => {
                self.mark_disturbed(pid, time);
                let others = self.partitionable_processes().into_iter().filter(|other| *other != pid);
                self.partition_for(others.map(|other| (pid, other)).collect(), !one_way, time);
            }
            Fault::Split { part, one_way, time } => self.split_for(&part, &[], one_way, time),
            Fault::IsolatePrimaryWithNode { node, time } => {
                let primary = self.server_process(self.current_primary());
                self.split_for(&[self.nodes[node].pid, primary], &[], false, time);
            }
            Fault::PrimaryAndReplicaReachOneNode { node, time } => {
                let primary = self.current_primary();
                let server_after = |offset: usize| self.server_process((primary + offset) % SERVERS);
                self.change_server_for(
                    primary,
                    time,
                    |server| server.extra_latency = ISOLATED_LATENCY,
                    |server| server.extra_latency = 0,
                );
                let part = [server_after(0), server_after(1)];
                self.split_for(&part, &[self.nodes[node].pid, server_after(2)], false, time);
            }
            Fault::PacketLoss { per_mille, time } => {
                self.mark_all_disturbed(time);
                self.simulation.lock().degrade_network(per_mille);
                self.schedule_after(time, |fleet| fleet.simulation.lock().restore_network());
            }
            _ => {}
        }
    }

    fn inject_server_fault(self: &Arc<Self>, fault: Fault) {
        match fault {
            Fault::ReplicationStopped { server, time } => self.stop_replication_for(server, time),
            Fault::Lag { server, time } => self.change_server_for(
                server,
                time,
                |server| server.replication_lag = LAG,
                |server| server.replication_lag = HEALTHY_LAG,
            ),
            Fault::Slow { server, time } => self.change_server_for(
                server,
                time,
                |server| server.extra_latency = SLOW_LATENCY,
                |server| server.extra_latency = 0,
            ),
            Fault::LoseReplies { server, count } => {
                self.group.with(|state| state.servers[server].replies_to_lose = count);
            }
            Fault::Drain { server } => {
                if !self.group.with(|state| state.is_any_leaving()) {
                    let drain = drain_and_replace(self.clone(), server);
                    self.simulation.run_in(self.clients, || seam::spawn(drain));
                }
            }
            _ => {}
        }
    }

    fn inject_process_fault(self: &Arc<Self>, fault: Fault) {
        match fault {
            Fault::Crash { pid, power_loss, time } => self.crash_for(pid, power_loss, time),
            Fault::Pause { pid, time } => {
                self.mark_disturbed(pid, time);
                self.simulation.suspend(pid, time);
            }
            Fault::AllKeepersCrash { time } => {
                for keeper in self.keepers.clone() {
                    self.crash_for(keeper, false, time);
                }
            }
            Fault::PrimaryAndReplica { power_loss, replica_offset, replica_fault, time } => {
                let primary = self.crash_primary(power_loss, time);
                let replica = (primary + replica_offset) % SERVERS;
                let pid = self.server_process(replica);
                match replica_fault {
                    ReplicaFault::ReplicationStopped => self.stop_replication_for(replica, time),
                    ReplicaFault::PowerLoss => self.crash_for(pid, true, time / 2),
                    ReplicaFault::Crash => self.crash_for(pid, false, SHORT_CRASH),
                    ReplicaFault::Pause => self.simulation.suspend(pid, time / 2),
                }
            }
            Fault::TwoPrimaries { gap, time } => {
                self.crash_primary(gap % 2 == 0, time);
                self.schedule_after(gap, move |fleet| {
                    fleet.crash_primary(false, time);
                });
            }
            Fault::Trap { phase, pause } => {
                self.simulation.lock().trap = Some(Trap { trace_point: phase.into(), pause });
            }
            Fault::RequestHandover => {
                for running in self.nodes.iter().filter_map(|node| node.running()) {
                    let mut requested = running.node.promotion_state.handover_requests.lock().unwrap();
                    requested.insert(GROUP.into(), None);
                }
            }
            _ => {}
        }
    }
}
