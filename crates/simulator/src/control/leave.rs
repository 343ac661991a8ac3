//! Graceful shutdown of the old machine in a planned replacement: it leaves the chain before it is removed.
use super::cluster::Cluster;
use super::fault_effects::{record_disturbance, remove_machine, schedule_at};
use super::machine::{self, Process};
use quincehatch_core::Millis;
use std::sync::Arc;

/// Interval at which a step that has to wait is retried.
const RETRY_INTERVAL: Millis = 20;
/// Time for which a keeper that has left the chain still runs, so that its last messages are sent.
const SHUTDOWN_DELAY_AFTER_LEAVE: Millis = 100;
/// Time after the deadline of a leave at which a keeper that has not left is removed.
const STOP_MARGIN: Millis = 500;

/// Starts the graceful shutdown of the old machine as soon as the fault budget allows its loss.
pub fn stop_when_allowed(cluster: Arc<Cluster>, machine: usize, successor_start: Millis) {
    let now = cluster.simulation.now();
    let slot = cluster.slot(machine);
    let present = cluster.state.lock().unwrap().machines[machine].present;
    if !present || now >= cluster.parameters.faults_until {
        return;
    }
    let may_stop = {
        let budget = cluster.budget.lock().unwrap();
        !budget.is_lost_now(slot) && budget.allows(slot, now, cluster.parameters.shape.tolerated)
    };
    if !may_stop {
        let simulation = cluster.simulation.clone();
        return simulation.schedule_action(now + RETRY_INTERVAL, move |_| {
            stop_when_allowed(cluster, machine, successor_start)
        });
    }
    record_disturbance(&cluster);
    let process = cluster.state.lock().unwrap().machines[machine].process.clone();
    let is_up = cluster.simulation.lock().processes[cluster.pid(machine)].is_up;
    if let Some(process) = process.filter(|_| is_up) {
        let within = cluster.parameters.leave_timeout;
        cluster.simulation.run_in(cluster.pid(machine), || machine::request_leave(&process, within));
    }
    // The removed machine counts as lost until its successor has had the time to catch up.
    let until = successor_start + cluster.parameters.catch_up_time;
    cluster.budget.lock().unwrap().mark_lost_until(slot, until);
    remove_once_left(cluster.clone(), machine, now + cluster.parameters.leave_timeout + STOP_MARGIN);
}

/// Removes the machine once its keeper has left the chain, or at the deadline.
fn remove_once_left(cluster: Arc<Cluster>, machine: usize, deadline: Millis) {
    let now = cluster.simulation.now();
    let process = cluster.state.lock().unwrap().machines[machine].process.clone();
    let is_ready_to_stop = process.as_ref().is_none_or(is_ready_to_stop);
    if !is_ready_to_stop && now < deadline {
        let simulation = cluster.simulation.clone();
        return simulation
            .schedule_action(now + RETRY_INTERVAL, move |_| remove_once_left(cluster, machine, deadline));
    }
    if is_ready_to_stop && process.is_none_or(|process| !has_vote(&process)) {
        schedule_at(&cluster, now + SHUTDOWN_DELAY_AFTER_LEAVE, move |cluster| {
            remove_machine(cluster, machine)
        });
    } else {
        remove_without_notice(cluster, machine);
    }
}

/// Removes a machine that still has a vote: its process was killed during the leave and restarted without a record of
/// it, or it was partitioned and could not hand over its vote. To the other machines this is a loss like any other, so
/// the removal waits until the fault budget allows it. If it did not count, another machine could be lost at the same
/// moment, and two of four machines would have to continue without the other two, which have no majority.
fn remove_without_notice(cluster: Arc<Cluster>, machine: usize) {
    let now = cluster.simulation.now();
    let slot = cluster.slot(machine);
    let may_remove = cluster.budget.lock().unwrap().allows(slot, now, cluster.parameters.shape.tolerated);
    if !may_remove {
        let simulation = cluster.simulation.clone();
        return simulation
            .schedule_action(now + RETRY_INTERVAL, move |_| remove_without_notice(cluster, machine));
    }
    remove_machine(&cluster, machine);
    let until = now + cluster.parameters.catch_up_time;
    cluster.budget.lock().unwrap().mark_lost_until(slot, until);
}

fn is_ready_to_stop(process: &Process) -> bool {
    process.lock().unwrap().host.is_ready_to_stop()
}

/// Whether the keeper is a voter in its own view; a suspended one counts as a voter.
fn has_vote(process: &Process) -> bool {
    let process = process.lock().unwrap();
    process.host.keeper().is_none_or(|keeper| keeper.view.is_voter(process.host.name()))
}
