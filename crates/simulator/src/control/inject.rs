//! Brings drawn faults about, one after the other, each as soon as the machines that are lost allow it.
use super::cluster::Cluster;
use super::fault_effects::{
    add_successor, change_seeds, isolate, kill_all_machines, kill_machine, mark_recovered,
    move_to_new_address, record_disturbance, remove_machine, restart_machine, schedule_at, slow_disk,
    split_core, stop_when_allowed,
};
use super::faults::{self, Fault, FaultCost};
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
        let machine = present[cluster.below(present.len() as u64) as usize];
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
    let up = cluster.core.lock().processes[cluster.pid(machine)].up;
    let budget = cluster.budget.lock().unwrap();
    match fault.cost() {
        FaultCost::None => true,
        FaultCost::Planned => up && cluster.state.lock().unwrap().machines[machine].present,
        FaultCost::All => budget.none_lost(now),
        FaultCost::Machine => {
            up && cluster.state.lock().unwrap().machines[machine].present
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
        Fault::Replace => {
            remove_machine(cluster, machine);
            let start = now + cluster.parameters.successor_delay;
            schedule_at(cluster, start, move |c| {
                add_successor(c, c.slot(machine));
                mark_recovered(c, machine);
            });
        }
        Fault::PlannedReplace { after: wait } => {
            add_successor(cluster, cluster.fresh_slot());
            schedule_at(cluster, now + wait, move |c| stop_when_allowed(c.clone(), machine, now));
        }
        Fault::WipeDisk { down } => {
            kill_machine(cluster, machine, false);
            let address = cluster.state.lock().unwrap().machines[machine].address.clone();
            *cluster.disk(machine).lock().unwrap() = cluster.empty_disk(&address);
            schedule_at(cluster, now + down, move |c| restart_machine(c, machine));
        }
        Fault::Isolate { all, one_way, time } => isolate(cluster, machine, all, one_way, now + time),
        Fault::Split { time } => split_core(cluster, time),
        Fault::Suspend { time } => {
            record_disturbance(cluster);
            cluster.core.suspend(cluster.pid(machine), time);
            schedule_at(cluster, now + time, move |c| mark_recovered(c, machine));
        }
        Fault::Kill { down } => {
            kill_machine(cluster, machine, false);
            schedule_at(cluster, now + down, move |c| restart_machine(c, machine));
        }
        Fault::PowerLoss { down } => {
            kill_machine(cluster, machine, true);
            schedule_at(cluster, now + down, move |c| restart_machine(c, machine));
        }
        Fault::ChangeAddress { down } => {
            kill_machine(cluster, machine, false);
            move_to_new_address(cluster, machine);
            schedule_at(cluster, now + down, move |c| restart_machine(c, machine));
        }
        Fault::SlowSteps { step, time } => {
            cluster.budget.lock().unwrap().record_disturbance(now, now + time);
            cluster.state.lock().unwrap().machines[machine].step_delay = step;
            schedule_at(cluster, now + time, move |c| {
                c.state.lock().unwrap().machines[machine].step_delay = 0;
                mark_recovered(c, machine);
            });
        }
        Fault::SlowDisk { sync, time } => slow_disk(cluster, machine, sync, now + time),
        Fault::StalledDisk { time } => {
            cluster.disk(machine).lock().unwrap().stalled_until = now + time;
            schedule_at(cluster, now + time, move |c| mark_recovered(c, machine));
        }
        Fault::FullDisk { time } => {
            cluster.disk(machine).lock().unwrap().full_until = now + time;
            schedule_at(cluster, now + time, move |c| mark_recovered(c, machine));
        }
        Fault::LoseReplies { time } => {
            cluster.state.lock().unwrap().replies_lost_until = now + time;
        }
        Fault::ChangeSeeds => change_seeds(cluster),
        Fault::KillAll { power, down } => kill_all_machines(cluster, power, down),
    }
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
