//! Brings drawn faults about, one after the other, each as soon as the machines that are lost allow it.
use super::cluster::Cluster;
use super::effects::{
    add_successor, after, change_seeds, cut, kill_all_machines, kill_machine, move_to_new_address, recovered,
    remove_machine, restart_machine, slow_disk, split, stop_when_allowed, trouble,
};
use super::faults::{self, Fault, FaultCost};
use crate::fleet::core::Simulation;
use quincehatch_core::Millis;
use std::sync::Arc;

/// How often a fault that has to wait is tried again.
const RETRY: Millis = 20;

/// Draws and brings about faults until the time for them is over.
pub fn next(cluster: Arc<Cluster>) {
    let at = cluster.core.now() + faults::gap(&cluster);
    let core = cluster.core.clone();
    core.schedule_action(at, move |_| {
        let fault = faults::draw(&cluster);
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
    if !allowed(&cluster, fault, machine, now) {
        let core = cluster.core.clone();
        return core.schedule_action(now + RETRY, move |_| inject_when_allowed(cluster, fault, machine));
    }
    cluster.core.log(&format!("FAULT {fault:?} at machine {machine}"));
    strike(&cluster, fault, machine);
    next(cluster);
}

fn allowed(cluster: &Cluster, fault: Fault, machine: usize, now: Millis) -> bool {
    let slot = cluster.slot(machine);
    let up = cluster.core.lock().processes[cluster.pid(machine)].up;
    let budget = cluster.budget.lock().unwrap();
    match fault.cost() {
        FaultCost::Free => true,
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
pub fn strike(cluster: &Arc<Cluster>, fault: Fault, machine: usize) {
    let now = cluster.core.now();
    if fault.cost() == FaultCost::Machine {
        cluster.budget.lock().unwrap().lose(cluster.slot(machine));
    }
    match fault {
        Fault::Replace => {
            remove_machine(cluster, machine);
            let start = now + cluster.parameters.successor_delay;
            after(cluster, start, move |c| {
                add_successor(c, c.slot(machine));
                recovered(c, machine);
            });
        }
        Fault::PlannedReplace { after: wait } => {
            add_successor(cluster, cluster.fresh_slot());
            after(cluster, now + wait, move |c| stop_when_allowed(c.clone(), machine, now));
        }
        Fault::Wipe { down } => {
            kill_machine(cluster, machine, false);
            let address = cluster.state.lock().unwrap().machines[machine].address.clone();
            *cluster.disk(machine).lock().unwrap() = cluster.empty_disk(&address);
            after(cluster, now + down, move |c| restart_machine(c, machine));
        }
        Fault::Cut { all, one_way, time } => cut(cluster, machine, all, one_way, now + time),
        Fault::Split { time } => split(cluster, time),
        Fault::Suspend { time } => {
            trouble(cluster);
            cluster.core.pause(cluster.pid(machine), time);
            after(cluster, now + time, move |c| recovered(c, machine));
        }
        Fault::Kill { down } => {
            kill_machine(cluster, machine, false);
            after(cluster, now + down, move |c| restart_machine(c, machine));
        }
        Fault::PowerLoss { down } => {
            kill_machine(cluster, machine, true);
            after(cluster, now + down, move |c| restart_machine(c, machine));
        }
        Fault::ChangeAddress { down } => {
            kill_machine(cluster, machine, false);
            move_to_new_address(cluster, machine);
            after(cluster, now + down, move |c| restart_machine(c, machine));
        }
        Fault::SlowSteps { step, time } => {
            cluster.budget.lock().unwrap().trouble(now, now + time);
            cluster.state.lock().unwrap().machines[machine].step_delay = step;
            after(cluster, now + time, move |c| {
                c.state.lock().unwrap().machines[machine].step_delay = 0;
                recovered(c, machine);
            });
        }
        Fault::SlowDisk { sync, time } => slow_disk(cluster, machine, sync, now + time),
        Fault::StalledDisk { time } => {
            cluster.disk(machine).lock().unwrap().stalled_until = now + time;
            after(cluster, now + time, move |c| recovered(c, machine));
        }
        Fault::FullDisk { time } => {
            cluster.disk(machine).lock().unwrap().full_until = now + time;
            after(cluster, now + time, move |c| recovered(c, machine));
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
        core.pause(cluster.pid(machine), 0);
        core.restart(cluster.pid(machine));
        let disk = cluster.disk(machine);
        let mut disk = disk.lock().unwrap();
        (disk.stalled_until, disk.full_until) = (0, 0);
        cluster.state.lock().unwrap().machines[machine].step_delay = 0;
    }
    trouble(cluster);
}
