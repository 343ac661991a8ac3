//! Brings drawn faults about, one after the other, each as soon as the machines that are lost allow it.
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

/// How often a fault that has to wait is tried again.
const RETRY_INTERVAL: Millis = 20;

/// Draws and brings about faults until the time for them is over.
pub fn schedule_next(cluster: Arc<Cluster>) {
    let at = cluster.core.now() + faults::draw_gap(&cluster);
    let core = cluster.core.clone();
    core.schedule_action(at, move |_| {
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

fn inject_when_allowed(cluster: Arc<Cluster>, fault: Fault, machine: usize) {
    let now = cluster.core.now();
    if now >= cluster.parameters.faults_until {
        return;
    }
    if !is_allowed(&cluster, fault, machine, now) {
        let core = cluster.core.clone();
        return core
            .schedule_action(now + RETRY_INTERVAL, move |_| inject_when_allowed(cluster, fault, machine));
    }
    cluster.core.log(&format!("FAULT {fault:?} at machine {machine}"));
    inject(&cluster, fault, machine);
    schedule_next(cluster);
}

fn is_allowed(cluster: &Cluster, fault: Fault, machine: usize, now: Millis) -> bool {
    let slot = cluster.slot(machine);
    let is_up = cluster.core.lock().processes[cluster.pid(machine)].is_up;
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

/// Brings one fault about at once.
pub fn inject(cluster: &Arc<Cluster>, fault: Fault, machine: usize) {
    let now = cluster.core.now();
    if fault.cost() == FaultCost::Machine {
        cluster.budget.lock().unwrap().mark_lost(cluster.slot(machine));
    }
    match fault {
        Fault::Replace => replace(cluster, machine),
        Fault::PlannedReplace { after } => {
            add_successor(cluster, cluster.fresh_slot());
            let act = move |cluster: &Arc<Cluster>| stop_when_allowed(cluster.clone(), machine, now);
            schedule_at(cluster, now + after, act);
        }
        Fault::LoseOldestDisk { replaced: true, .. } => replace(cluster, machine),
        Fault::WipeDisk { down } | Fault::LoseOldestDisk { down, .. } => wipe_disk(cluster, machine, down),
        Fault::Isolate { all, one_way, time } => isolate(cluster, machine, all, one_way, now + time),
        Fault::Split { time } => split_core(cluster, time),
        Fault::Halves { time } => overlaps::cut_in_halves(cluster, time),
        Fault::LeaveBehind { missed, dark } => overlaps::leave_behind(cluster, missed, dark),
        Fault::WipeAndPowerOff { dark } => overlaps::wipe_some_power_off_rest(cluster, dark),
        Fault::Suspend { time } => {
            record_disturbance(cluster);
            cluster.core.suspend(cluster.pid(machine), time);
            recover_after(cluster, machine, time);
        }
        Fault::Kill { down } => kill_for(cluster, machine, false, down),
        Fault::PowerLoss { down } => kill_for(cluster, machine, true, down),
        Fault::ChangeAddress { down } => {
            kill_machine(cluster, machine, false);
            move_to_new_address(cluster, machine);
            schedule_at(cluster, now + down, move |cluster| restart_machine(cluster, machine));
        }
        Fault::SlowSteps { step, time } => slow_steps(cluster, machine, step, time),
        Fault::SlowDisk { sync, time } => slow_disk(cluster, machine, sync, now + time),
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
        Fault::KillAll { power, down } => kill_all_machines(cluster, power, down),
    }
}

/// The machine goes for good; an empty one comes at another address.
fn replace(cluster: &Arc<Cluster>, machine: usize) {
    remove_machine(cluster, machine);
    let start = cluster.core.now() + cluster.parameters.successor_delay;
    schedule_at(cluster, start, move |cluster| {
        add_successor(cluster, cluster.slot(machine));
        mark_recovered(cluster, machine);
    });
}

/// The disk is lost; an empty machine comes back at the same address.
fn wipe_disk(cluster: &Arc<Cluster>, machine: usize, down: Millis) {
    kill_for(cluster, machine, false, down);
    let address = cluster.state.lock().unwrap().machines[machine].address.clone();
    *cluster.disk(machine).lock().unwrap() = cluster.empty_disk(&address);
}

/// Kills a machine and restarts it later.
fn kill_for(cluster: &Arc<Cluster>, machine: usize, power_loss: bool, down: Millis) {
    kill_machine(cluster, machine, power_loss);
    let restart_at = cluster.core.now() + down;
    schedule_at(cluster, restart_at, move |cluster| restart_machine(cluster, machine));
}

/// The machine's fault is over at the end of that time.
fn recover_after(cluster: &Arc<Cluster>, machine: usize, time: Millis) {
    schedule_at(cluster, cluster.core.now() + time, move |cluster| mark_recovered(cluster, machine));
}

fn slow_steps(cluster: &Arc<Cluster>, machine: usize, step: Millis, time: Millis) {
    let now = cluster.core.now();
    cluster.budget.lock().unwrap().record_disturbance(now, now + time);
    cluster.state.lock().unwrap().machines[machine].step_delay = step;
    schedule_at(cluster, now + time, move |cluster| {
        cluster.state.lock().unwrap().machines[machine].step_delay = 0;
        mark_recovered(cluster, machine);
    });
}

/// Ends what is under way, so that all machines run and are connected.
pub fn heal_all(cluster: &Arc<Cluster>) {
    let core: &Arc<Simulation> = &cluster.core;
    core.lock().partitions.clear();
    for machine in cluster.present() {
        core.suspend(cluster.pid(machine), 0);
        core.restart(cluster.pid(machine));
        let disk = cluster.disk(machine);
        let mut disk = disk.lock().unwrap();
        (disk.stalled_until, disk.full_until) = (0, 0);
        cluster.state.lock().unwrap().machines[machine].step_delay = 0;
    }
    record_disturbance(cluster);
}
