//! Orderly stops: the old machine of a planned replacement leaves, and what it takes until it may go.
use super::cluster::Cluster;
use super::fault_effects::{record_disturbance, remove_machine, schedule_at};
use super::machine::{self, Process};
use quincehatch_core::Millis;
use std::sync::Arc;

/// How often an orderly stop that has to wait is tried again.
const RETRY: Millis = 20;
/// A keeper that has left the chain stays so long, for its last messages to go out.
const SHUTDOWN_DELAY_AFTER_LEAVE: Millis = 100;
/// Time after the end of a leave in which a keeper that hangs is stopped all the same.
const STOP_MARGIN: Millis = 500;

/// The old machine of a planned replacement ends in order, once no other loss forbids it.
pub fn stop_when_allowed(cluster: Arc<Cluster>, machine: usize, successor_start: Millis) {
    let now = cluster.core.now();
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
        let core = cluster.core.clone();
        return core
            .schedule_action(now + RETRY, move |_| stop_when_allowed(cluster, machine, successor_start));
    }
    record_disturbance(&cluster);
    let process = cluster.state.lock().unwrap().machines[machine].process.clone();
    let is_up = cluster.core.lock().processes[cluster.pid(machine)].is_up;
    if let Some(process) = process.filter(|_| is_up) {
        let within = cluster.parameters.leave_timeout;
        cluster.core.run_in(cluster.pid(machine), || machine::request_leave(&process, within));
    }
    // A removed machine stops counting once its successor has had its time.
    let until = successor_start + cluster.parameters.catch_up_time;
    cluster.budget.lock().unwrap().mark_lost_until(slot, until);
    end_once_left(cluster.clone(), machine, now + cluster.parameters.leave_timeout + STOP_MARGIN);
}

/// The process ends when its keeper has left the chain, or when its time is over.
fn end_once_left(cluster: Arc<Cluster>, machine: usize, latest: Millis) {
    let now = cluster.core.now();
    let process = cluster.state.lock().unwrap().machines[machine].process.clone();
    let is_ready_to_stop = process.as_ref().is_none_or(is_ready_to_stop);
    if !is_ready_to_stop && now < latest {
        let core = cluster.core.clone();
        return core.schedule_action(now + RETRY, move |_| end_once_left(cluster, machine, latest));
    }
    if is_ready_to_stop && process.is_none_or(|process| !has_vote(&process)) {
        schedule_at(&cluster, now + SHUTDOWN_DELAY_AFTER_LEAVE, move |cluster| {
            remove_machine(cluster, machine)
        });
    } else {
        remove_without_notice(cluster, machine);
    }
}

/// A machine whose process was killed while it left began anew without knowing that it leaves, and one that was cut off
/// while it left could not hand its vote over. Its removal is a loss as any other, and waits until it may come: the
/// others cannot tell it from a cut. Were it none, another machine could be
/// lost in the same moment, and of four machines two would have to go on without two, which no agreement allows.
fn remove_without_notice(cluster: Arc<Cluster>, machine: usize) {
    let now = cluster.core.now();
    let slot = cluster.slot(machine);
    let may_go = cluster.budget.lock().unwrap().allows(slot, now, cluster.parameters.shape.tolerated);
    if !may_go {
        let core = cluster.core.clone();
        return core.schedule_action(now + RETRY, move |_| remove_without_notice(cluster, machine));
    }
    remove_machine(&cluster, machine);
    let until = now + cluster.parameters.catch_up_time;
    cluster.budget.lock().unwrap().mark_lost_until(slot, until);
}

fn is_ready_to_stop(process: &Process) -> bool {
    process.lock().unwrap().host.is_ready_to_stop()
}

/// Whether the keeper still votes, as far as it knows; one that is suspended may.
fn has_vote(process: &Process) -> bool {
    let process = process.lock().unwrap();
    process.host.keeper().is_none_or(|keeper| keeper.view.is_voter(process.host.name()))
}
