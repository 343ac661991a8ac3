//! Brings drawn faults about, one after the other, each as soon as the machines that are lost allow it.
use super::cluster::Cluster;
use super::effects::{
    add_successor, after, cut, kill, kill_all, move_away, recovered, remove, restart, slow_disk, split,
    stop_when_allowed, trouble, turn_seeds,
};
use super::faults::{self, Cost, Fault};
use crate::fleet::core::Core;
use quincehatch_core::Millis;
use std::sync::Arc;

/// How often a fault that has to wait is tried again.
const RETRY: Millis = 20;

/// Draws and brings about faults until the time for them is over.
pub fn next(cluster: Arc<Cluster>) {
    let at = cluster.core.now() + faults::gap(&cluster);
    let core = cluster.core.clone();
    core.later(at, move |_| {
        let fault = faults::draw(&cluster);
        let present = cluster.present();
        let machine = present[cluster.below(present.len() as u64) as usize];
        strike_when_allowed(cluster, fault, machine);
    });
}

fn strike_when_allowed(cluster: Arc<Cluster>, fault: Fault, machine: usize) {
    let now = cluster.core.now();
    if now >= cluster.parameters.faults_until {
        return;
    }
    if !allowed(&cluster, fault, machine, now) {
        let core = cluster.core.clone();
        return core.later(now + RETRY, move |_| strike_when_allowed(cluster, fault, machine));
    }
    cluster.core.say(&format!("FAULT {fault:?} at machine {machine}"));
    strike(&cluster, fault, machine);
    next(cluster);
}

fn allowed(cluster: &Cluster, fault: Fault, machine: usize, now: Millis) -> bool {
    let slot = cluster.slot(machine);
    let up = cluster.core.lock().hosts[cluster.pid(machine)].up;
    let budget = cluster.budget.lock().unwrap();
    match fault.cost() {
        Cost::Free => true,
        Cost::Planned => up && cluster.state.lock().unwrap().machines[machine].present,
        Cost::All => budget.is_whole(now),
        Cost::Machine => {
            up && cluster.state.lock().unwrap().machines[machine].present
                && !budget.is_lost_now(slot)
                && budget.allows(slot, now, cluster.parameters.shape.tolerated)
        }
    }
}

/// Brings one fault about at once.
pub fn strike(cluster: &Arc<Cluster>, fault: Fault, machine: usize) {
    let now = cluster.core.now();
    if fault.cost() == Cost::Machine {
        cluster.budget.lock().unwrap().lose(cluster.slot(machine));
    }
    match fault {
        Fault::Replace => {
            remove(cluster, machine);
            let start = now + cluster.parameters.successor_after;
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
            kill(cluster, machine, false);
            let address = cluster.state.lock().unwrap().machines[machine].address.clone();
            *cluster.disk(machine).lock().unwrap() = cluster.empty_disk(&address);
            after(cluster, now + down, move |c| restart(c, machine));
        }
        Fault::Cut { all, one_way, time } => cut(cluster, machine, all, one_way, now + time),
        Fault::Split { time } => split(cluster, time),
        Fault::Freeze { time } => {
            trouble(cluster);
            cluster.core.pause(cluster.pid(machine), time);
            after(cluster, now + time, move |c| recovered(c, machine));
        }
        Fault::Kill { down } => {
            kill(cluster, machine, false);
            after(cluster, now + down, move |c| restart(c, machine));
        }
        Fault::PowerLoss { down } => {
            kill(cluster, machine, true);
            after(cluster, now + down, move |c| restart(c, machine));
        }
        Fault::Move { down } => {
            kill(cluster, machine, false);
            move_away(cluster, machine);
            after(cluster, now + down, move |c| restart(c, machine));
        }
        Fault::Slow { step, time } => {
            cluster.budget.lock().unwrap().trouble(now, now + time);
            cluster.state.lock().unwrap().machines[machine].slow_ms = step;
            after(cluster, now + time, move |c| {
                c.state.lock().unwrap().machines[machine].slow_ms = 0;
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
        Fault::LostAnswers { time } => {
            cluster.state.lock().unwrap().lost_answers_until = now + time;
        }
        Fault::TurnSeeds => turn_seeds(cluster),
        Fault::KillAll { power, down } => kill_all(cluster, power, down),
    }
}

/// Ends what is under way, so that all machines run and are connected.
pub fn heal(cluster: &Arc<Cluster>) {
    let core: &Arc<Core> = &cluster.core;
    core.lock().cuts.clear();
    for machine in cluster.present() {
        core.pause(cluster.pid(machine), 0);
        core.restart(cluster.pid(machine));
        let disk = cluster.disk(machine);
        let mut disk = disk.lock().unwrap();
        (disk.stalled_until, disk.full_until) = (0, 0);
        cluster.state.lock().unwrap().machines[machine].slow_ms = 0;
    }
    trouble(cluster);
}
