//! Partitions, suspensions, crashes and restarts of simulated processes.
use super::simulation::{Event, HEALTHY_DELAY, MAX_CLOCK_OFFSET, ProcessId, Simulation, SimulationState};
use quincehatch_core::Millis;
use std::sync::Arc;

/// Downtime of a process that crashed at a trace point.
const TRAP_DOWNTIME: Millis = 4_000;
/// Shortest downtime of a process that crashed within a step.
const MIN_DOWNTIME: Millis = 300;
/// Range of the random time that is added to [`MIN_DOWNTIME`].
const DOWNTIME_SPREAD: Millis = 3_000;
/// Delay of a message one way while the network loses packets, least and most.
const DEGRADED_DELAY: (Millis, Millis) = (1, 80);

impl SimulationState {
    /// Makes the network lose and delay packets.
    pub fn degrade_network(&mut self, loss_per_mille: u64) {
        self.loss_per_mille = loss_per_mille;
        self.delay_range = DEGRADED_DELAY;
    }

    /// Ends the loss and delay of packets.
    pub fn restore_network(&mut self) {
        self.loss_per_mille = 0;
        self.delay_range = HEALTHY_DELAY;
    }

    /// Ends all faults of the network, random crashes, and a trap that is set.
    pub fn clear_faults(&mut self) {
        self.crashes_enabled = false;
        self.restore_network();
        self.partitions.clear();
        self.trap = None;
    }
}

impl Simulation {
    /// Drops all messages from one process to another, or in both directions.
    pub fn partition(&self, from: ProcessId, to: ProcessId, both_ways: bool) {
        let mut state = self.lock();
        state.partitions.insert((from, to));
        if both_ways {
            state.partitions.insert((to, from));
        }
    }

    /// Ends the partition between two processes in both directions.
    pub fn heal_partition(&self, from: ProcessId, to: ProcessId) {
        let mut state = self.lock();
        state.partitions.remove(&(from, to));
        state.partitions.remove(&(to, from));
    }

    /// Suspends a process for `time`; 0 ends its suspension immediately.
    pub fn suspend(&self, pid: ProcessId, time: Millis) {
        let mut state = self.lock();
        let until = state.now + time;
        let process = &mut state.processes[pid];
        process.paused_until = if time == 0 { 0 } else { process.paused_until.max(until) };
        state.schedule(until, Event::Resume(pid));
    }

    /// Crashes a process. With `power_loss` its machine loses power, so that the peers of its connections are not
    /// notified.
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

    /// Restarts a process if it is down.
    pub fn restart(self: &Arc<Self>, pid: ProcessId) {
        let start = {
            let mut state = self.lock();
            if state.processes[pid].is_up {
                return;
            }
            // A monotonic clock restarts with its machine.
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

    /// Triggers the trap if it is set for this trace point: the process is suspended, or crashes and is restarted.
    pub fn reach_trace_point(self: &Arc<Self>, pid: ProcessId, what: &str) {
        let mut state = self.lock();
        let Some(trap) = state.trap.take_if(|trap| what.contains(&trap.trace_point)) else { return };
        let now = state.now;
        state.trap_sprung_at = now;
        drop(state);
        self.log(&format!("{trap:?}"));
        // The action is scheduled, since the process is in the middle of a poll.
        self.schedule_action(now, move |simulation| match trap.pause {
            Some(pause) => simulation.suspend(pid, pause),
            None => {
                simulation.crash(pid, false);
                let restart_at = simulation.now() + TRAP_DOWNTIME;
                simulation.schedule_action(restart_at, move |simulation| simulation.restart(pid));
            }
        });
    }

    /// Crashes a process within its own step, and restarts it after a random downtime.
    pub fn crash_and_restart(self: &Arc<Self>, pid: ProcessId) {
        self.crash(pid, false);
        let restart_at = {
            let mut state = self.lock();
            state.now + MIN_DOWNTIME + state.rng.below(DOWNTIME_SPREAD)
        };
        self.schedule_action(restart_at, move |simulation| simulation.restart(pid));
    }
}
