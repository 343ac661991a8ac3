//! Begins drawn faults, schedules their ends, and ends all faults of a fleet.
use super::faults::Fault;
use super::setup::SimulatedFleet;
use super::simulation::ProcessId;
use quincehatch_core::{Millis, ServerState};
use quincehatch_runtime::now;
use quincehatch_testbed::stand_in::faults::FaultSettings;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Time for which a draining server continues to run, as the server contract requires.
const DRAIN_TIME: Millis = 8_000;

fn schedule_after(
    fleet: &Arc<SimulatedFleet>,
    time: Millis,
    action: impl FnOnce(&Arc<SimulatedFleet>) + Send + 'static,
) {
    let shared = fleet.clone();
    let at = fleet.simulation.now() + time;
    fleet.simulation.schedule_action(at, move |_| action(&shared));
}

/// Begins a fault and schedules its end.
pub fn inject(fleet: &Arc<SimulatedFleet>, fault: Fault) {
    let simulation = &fleet.simulation;
    simulation.log(&format!("fault {fault:?}"));
    simulation.lock().crashes_enabled = true;
    match fault {
        Fault::Crash(pid, time) => fleet.crash_for(pid, false, time),
        Fault::PowerOff(pid, time) => fleet.crash_for(pid, true, time),
        Fault::Pause(pid, time) => simulation.suspend(pid, time),
        Fault::Partition { from, to, both_ways, time } => {
            fleet.partition_for(vec![(from, to)], both_ways, time);
        }
        Fault::Isolate { pid, one_way, time } => {
            let count = simulation.lock().processes.len();
            let pairs = (0..count).filter(|other| *other != pid).map(|other| (pid, other)).collect();
            fleet.partition_for(pairs, !one_way, time);
        }
        Fault::Split { part, one_way, time } => {
            let rest: Vec<ProcessId> =
                (0..fleet.platform_process).filter(|other| !part.contains(other)).collect();
            let pairs = part.iter().flat_map(|pid| rest.iter().map(|other| (*pid, *other))).collect();
            fleet.partition_for(pairs, !one_way, time);
        }
        Fault::PacketLoss { per_mille, time } => {
            simulation.lock().degrade_network(per_mille);
            schedule_after(fleet, time, |fleet| fleet.simulation.lock().restore_network());
        }
        Fault::Server { server, begin, end, time } => {
            fleet.set_server_fault(server, &begin);
            schedule_after(fleet, time, move |fleet| fleet.set_server_fault(server, &end));
        }
        Fault::Trap(trap) => simulation.lock().trap = Some(trap),
        Fault::Drain { server, time } => fleet.drain_and_replace(server, time),
    }
}

impl SimulatedFleet {
    /// Returns the processes that faults may strike: keepers, nodes and servers, without spares.
    pub(super) fn faultable_processes(&self) -> Vec<ProcessId> {
        let servers = self.servers.iter().map(|server| server.pid);
        self.keepers.iter().chain(&self.nodes).copied().chain(servers).collect()
    }

    fn crash_for(self: &Arc<Self>, pid: ProcessId, power_loss: bool, time: Millis) {
        self.simulation.crash(pid, power_loss);
        schedule_after(self, time, move |fleet| fleet.simulation.restart(pid));
    }

    fn partition_for(self: &Arc<Self>, pairs: Vec<(ProcessId, ProcessId)>, both_ways: bool, time: Millis) {
        for (from, to) in &pairs {
            self.simulation.partition(*from, *to, both_ways);
        }
        schedule_after(self, time, move |fleet| {
            for (from, to) in pairs {
                fleet.simulation.heal_partition(from, to);
            }
        });
    }

    /// Drains and stops a server, while its group's spare replaces it under a name of its own. The old server restarts
    /// after `time`, too.
    fn drain_and_replace(self: &Arc<Self>, server: usize, time: Millis) {
        self.set_draining(server, true);
        let pid = self.servers[server].pid;
        self.simulation.restart(self.spares[server / self.shape.replicas].pid);
        schedule_after(self, DRAIN_TIME, move |fleet| {
            // Healing has withdrawn the announcement, so that stopping the server would be a new fault.
            if !fleet.healed.load(Ordering::SeqCst) {
                fleet.simulation.crash(pid, false);
            }
        });
        schedule_after(self, DRAIN_TIME + time, move |fleet| {
            fleet.simulation.restart(pid);
            fleet.set_draining(server, false);
        });
    }

    /// Applies fault settings to a server, if it is up.
    pub fn set_server_fault(&self, server: usize, settings: &FaultSettings) {
        let server = &self.servers[server];
        if settings.reset == Some(true) {
            self.simulation.lock().reset_connections(server.pid);
        }
        let running = server.running();
        let is_up = self.simulation.lock().processes[server.pid].is_up;
        if let Some(stand_in) = running.filter(|_| is_up) {
            self.simulation.run_in(server.pid, || stand_in.faults.apply(settings));
        }
    }

    /// Makes a server announce that it is draining, or that it is up.
    pub fn set_draining(&self, server: usize, draining: bool) {
        let server = &self.servers[server];
        let Some(stand_in) = server.running() else { return };
        let announced = if draining { ServerState::Draining } else { ServerState::Up };
        self.simulation.run_in(server.pid, || *stand_in.state.lock().unwrap() = (announced, now()));
    }

    /// Ends all faults; the time limit for recovery begins here.
    pub fn heal_all(&self) {
        self.simulation.log("all is healed");
        self.healed.store(true, Ordering::SeqCst);
        self.simulation.lock().clear_faults();
        let count = self.simulation.lock().processes.len();
        for pid in 0..count {
            self.simulation.suspend(pid, 0);
            self.simulation.restart(pid);
        }
        let no_fault = FaultSettings {
            stall: Some(false),
            slow_ms: Some(0),
            lag_ms: Some(0),
            deaf: Some(false),
            lose_answers: Some(0),
            ..Default::default()
        };
        for server in 0..self.servers.len() {
            self.set_server_fault(server, &no_fault);
            self.set_draining(server, false);
        }
    }
}
