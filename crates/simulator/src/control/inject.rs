//! Injects drawn faults one after the other, each as soon as the fault budget allows it.
use super::cluster::Cluster;
use super::fault_effects::{
    add_successor, change_seeds, isolate, kill_all_machines, kill_machine, mark_recovered,
    move_to_new_address, record_disturbance, remove_machine, restart_machine, schedule_at, slow_disk,
    split_core,
};
use super::faults::{self, Fault, FaultCost};
use super::leave::stop_when_allowed;
use super::overlaps;
use crate::fleet::simulation::Simulation;
use quincehatch_core::Millis;
use std::sync::Arc;

/// Interval at which a fault that has to wait is retried.
const RETRY_INTERVAL: Millis = 20;

/// Schedules the next fault; each injected fault schedules its successor until the fault period ends.
pub fn schedule_next(cluster: Arc<Cluster>) {
    let at = cluster.simulation.now() + faults::draw_gap(&cluster);
    let simulation = cluster.simulation.clone();
    simulation.schedule_action(at, move |_| {
        let fault = faults::draw_fault(&cluster);
        let present = cluster.present();
        let drawn = present[cluster.below(present.len() as u64) as usize];
        let oldest = match fault {
            Fault::LoseOldestDisk { .. } => overlaps::oldest_disk(&cluster),
            _ => None,
        };
        let machine = oldest.unwrap_or(drawn);
        inject_when_allowed(cluster, fault, machine);
    });
}

/// Injects the fault as soon as the fault budget allows it, then schedules the next one.
fn inject_when_allowed(cluster: Arc<Cluster>, fault: Fault, machine: usize) {
    let now = cluster.simulation.now();
    if now >= cluster.parameters.faults_until {
        return;
    }
    if !is_allowed(&cluster, fault, machine, now) {
        let simulation = cluster.simulation.clone();
        return simulation
            .schedule_action(now + RETRY_INTERVAL, move |_| inject_when_allowed(cluster, fault, machine));
    }
    cluster.simulation.log(&format!("FAULT {fault:?} at machine {machine}"));
    inject(&cluster, fault, machine);
    schedule_next(cluster);
}

fn is_allowed(cluster: &Cluster, fault: Fault, machine: usize, now: Millis) -> bool {
    let slot = cluster.slot(machine);
    let is_up = cluster.simulation.lock().processes[cluster.pid(machine)].is_up;
    let budget = cluster.budget.lock().unwrap();
    match fault.cost() {
        FaultCost::None => true,
        FaultCost::Planned => is_up && cluster.state.lock().unwrap().machines[machine].present,
        FaultCost::All => budget.none_lost(now),
        FaultCost::Machine => {
            is_up
                && cluster.state.lock().unwrap().machines[machine].present
                && !budget.is_lost_now(slot)
                && budget.allows(slot, now, cluster.parameters.shape.tolerated)
        }
    }
}

/// Injects a fault immediately.
pub fn inject(cluster: &Arc<Cluster>, fault: Fault, machine: usize) {
    let now = cluster.simulation.now();
    if fault.cost() == FaultCost::Machine {
        cluster.budget.lock().unwrap().mark_lost(cluster.slot(machine));
    }
    match fault {
        Fault::Replace => replace(cluster, machine),
        Fault::PlannedReplace { after } => {
            add_successor(cluster, cluster.fresh_slot());
            let stop = move |cluster: &Arc<Cluster>| stop_when_allowed(cluster.clone(), machine, now);
            schedule_at(cluster, now + after, stop);
        }
        Fault::LoseOldestDisk { replaced: true, .. } => replace(cluster, machine),
        Fault::WipeDisk { downtime } | Fault::LoseOldestDisk { downtime, .. } => {
            wipe_disk(cluster, machine, downtime)
        }
        Fault::Isolate { all, one_way, time } => isolate(cluster, machine, all, one_way, now + time),
        Fault::Split { time } => split_core(cluster, time),
        Fault::Bisect { time } => overlaps::bisect_core(cluster, time),
        Fault::WipeWhileMinorityIsStale { stale_time, downtime } => {
            overlaps::wipe_while_minority_is_stale(cluster, stale_time, downtime)
        }
        Fault::WipeAndPowerOff { downtime } => overlaps::wipe_minority_power_off_rest(cluster, downtime),
        Fault::Suspend { time } => {
            record_disturbance(cluster);
            cluster.simulation.suspend(cluster.pid(machine), time);
            recover_after(cluster, machine, time);
        }
        Fault::Kill { downtime } => kill_for(cluster, machine, false, downtime),
        Fault::PowerLoss { downtime } => kill_for(cluster, machine, true, downtime),
        Fault::ChangeAddress { downtime } => {
            kill_machine(cluster, machine, false);
            move_to_new_address(cluster, machine);
            schedule_at(cluster, now + downtime, move |cluster| restart_machine(cluster, machine));
        }
        Fault::SlowSteps { step, time } => slow_steps(cluster, machine, step, time),
        Fault::SlowDisk { sync_ms, time } => slow_disk(cluster, machine, sync_ms, now + time),
        Fault::StalledDisk { time } => {
            cluster.disk(machine).lock().unwrap().stalled_until = now + time;
            recover_after(cluster, machine, time);
        }
        Fault::FullDisk { time } => {
            cluster.disk(machine).lock().unwrap().full_until = now + time;
            recover_after(cluster, machine, time);
        }
        Fault::LoseReplies { time } => cluster.state.lock().unwrap().replies_lost_until = now + time,
        Fault::ChangeSeeds => change_seeds(cluster),
        Fault::KillAll { power_loss, downtime } => kill_all_machines(cluster, power_loss, downtime),
    }
}

/// Removes the machine for good; an empty successor starts at another address.
fn replace(cluster: &Arc<Cluster>, machine: usize) {
    remove_machine(cluster, machine);
    let start = cluster.simulation.now() + cluster.parameters.successor_delay;
    schedule_at(cluster, start, move |cluster| {
        add_successor(cluster, cluster.slot(machine));
        mark_recovered(cluster, machine);
    });
}

/// Wipes the machine's disk; it restarts empty at the same address.
fn wipe_disk(cluster: &Arc<Cluster>, machine: usize, downtime: Millis) {
    kill_for(cluster, machine, false, downtime);
    let address = cluster.state.lock().unwrap().machines[machine].address.clone();
    *cluster.disk(machine).lock().unwrap() = cluster.empty_disk(&address);
}

/// Kills a machine and restarts it later.
fn kill_for(cluster: &Arc<Cluster>, machine: usize, power_loss: bool, downtime: Millis) {
    kill_machine(cluster, machine, power_loss);
    let restart_at = cluster.simulation.now() + downtime;
    schedule_at(cluster, restart_at, move |cluster| restart_machine(cluster, machine));
}

/// Marks the machine as recovered after `time`.
fn recover_after(cluster: &Arc<Cluster>, machine: usize, time: Millis) {
    schedule_at(cluster, cluster.simulation.now() + time, move |cluster| mark_recovered(cluster, machine));
}

fn slow_steps(cluster: &Arc<Cluster>, machine: usize, step: Millis, time: Millis) {
    let now = cluster.simulation.now();
    cluster.budget.lock().unwrap().record_disturbance(now, now + time);
    cluster.state.lock().unwrap().machines[machine].step_delay = step;
    schedule_at(cluster, now + time, move |cluster| {
        cluster.state.lock().unwrap().machines[machine].step_delay = 0;
        mark_recovered(cluster, machine);
    });
}

/// Ends all faults in effect, so that all machines run and are connected.
pub fn heal_all(cluster: &Arc<Cluster>) {
    let simulation: &Arc<Simulation> = &cluster.simulation;
    simulation.lock().partitions.clear();
    for machine in cluster.present() {
        simulation.suspend(cluster.pid(machine), 0);
        simulation.restart(cluster.pid(machine));
        let disk = cluster.disk(machine);
        let mut disk = disk.lock().unwrap();
        (disk.stalled_until, disk.full_until) = (0, 0);
        cluster.state.lock().unwrap().machines[machine].step_delay = 0;
    }
    record_disturbance(cluster);
}
