//! Partitions, suspends, crashes and restarts simulated processes.
use super::simulation::{Event, HEALTHY_DELAY, MAX_CLOCK_OFFSET, ProcessId, Simulation, SimulationState};
use quincehatch_core::Millis;
use std::sync::Arc;

/// A process that crashed at a trace point is restarted after so long.
const TRAP_DOWNTIME: Millis = 4_000;
/// A process that crashed within a step is down for at least so long, and for less than so much more.
const MIN_DOWNTIME: Millis = 300;
const DOWNTIME_SPREAD: Millis = 3_000;
/// Delay of a message one way while the network loses packets, least and most.
const DEGRADED_DELAY: (Millis, Millis) = (1, 80);

impl SimulationState {
    /// The network loses and delays packets from now on.
    pub fn degrade_network(&mut self, loss_per_mille: u64) {
        self.loss_per_mille = loss_per_mille;
        self.delay_range = DEGRADED_DELAY;
    }

    /// The network is healthy again.
    pub fn restore_network(&mut self) {
        self.loss_per_mille = 0;
        self.delay_range = HEALTHY_DELAY;
    }

    /// Ends all faults of the network, and those that wait for a process.
    pub fn clear_faults(&mut self) {
        self.crashes_enabled = false;
        self.restore_network();
        self.partitions.clear();
        self.trap = None;
    }
}

impl Simulation {
    /// Cuts the way from one process to another, or both ways.
    pub fn partition(&self, from: ProcessId, to: ProcessId, both_ways: bool) {
        let mut state = self.lock();
        state.partitions.insert((from, to));
        if both_ways {
            state.partitions.insert((to, from));
        }
    }

    /// Opens both ways between two processes.
    pub fn heal_partition(&self, from: ProcessId, to: ProcessId) {
        let mut state = self.lock();
        state.partitions.remove(&(from, to));
        state.partitions.remove(&(to, from));
    }

    /// Suspends a process for so long; 0 ends its suspension at once.
    pub fn suspend(&self, pid: ProcessId, time: Millis) {
        let mut state = self.lock();
        let until = state.now + time;
        let process = &mut state.processes[pid];
        process.paused_until = if time == 0 { 0 } else { process.paused_until.max(until) };
        state.schedule(until, Event::Resume(pid));
    }

    /// Crashes a process; with `power_loss` its machine goes off, so that the other ends of its connections learn
    /// nothing.
    pub fn crash(&self, pid: ProcessId, power_loss: bool) {
        let mut state = self.lock();
        if !state.processes[pid].is_up {
            return;
        }
        state.processes[pid].is_up = false;
        state.processes[pid].powered_off = power_loss;
        state.kill_tasks(pid);
        state.drop_connections(pid, power_loss);
    }

    /// Starts a process again if it is down.
    pub fn restart(self: &Arc<Self>, pid: ProcessId) {
        let start = {
            let mut state = self.lock();
            if state.processes[pid].is_up {
                return;
            }
            // A monotonic clock starts anew with its machine.
            let clock_offset = state.rng.below(MAX_CLOCK_OFFSET);
            let process = &mut state.processes[pid];
            process.is_up = true;
            process.powered_off = false;
            process.paused_until = 0;
            process.clock_offset = clock_offset;
            process.incarnation += 1;
            process.start.clone()
        };
        self.run_in(pid, || start(self, pid));
    }

    /// Springs the trap if it is set for this trace point: the process is suspended, or crashes and is restarted.
    pub fn reach_trace_point(self: &Arc<Self>, pid: ProcessId, what: &str) {
        let mut state = self.lock();
        let Some(trap) = state.trap.take_if(|trap| what.contains(&trap.trace_point)) else { return };
        let now = state.now;
        state.trap_sprung_at = now;
        drop(state);
        self.log(&format!("{trap:?}"));
        // Not at once: the process is in the middle of a poll.
        self.schedule_action(now, move |simulation| match trap.pause {
            Some(pause) => simulation.suspend(pid, pause),
            None => {
                simulation.crash(pid, false);
                let restart_at = simulation.now() + TRAP_DOWNTIME;
                simulation.schedule_action(restart_at, move |simulation| simulation.restart(pid));
            }
        });
    }

    /// Crashes a process within its own step; it is restarted a little later.
    pub fn crash_and_restart(self: &Arc<Self>, pid: ProcessId) {
        self.crash(pid, false);
        let restart_at = {
            let mut state = self.lock();
            state.now + MIN_DOWNTIME + state.rng.below(DOWNTIME_SPREAD)
        };
        self.schedule_action(restart_at, move |simulation| simulation.restart(pid));
    }
}
