//! The effects of faults on machines, links and disks, and the end of these effects.
use super::cluster::{Cluster, Machine};
use super::machine;
use crate::fleet::simulation::ProcessId;
use quincehatch_core::{Millis, Name};
use std::sync::Arc;

/// Schedules an action on the cluster.
pub fn schedule_at(cluster: &Arc<Cluster>, at: Millis, action: impl FnOnce(&Arc<Cluster>) + Send + 'static) {
    let shared = cluster.clone();
    cluster.simulation.schedule_action(at, move |_| action(&shared));
}

/// Records a disturbance at the present time.
pub fn record_disturbance(cluster: &Cluster) {
    let now = cluster.simulation.now();
    cluster.budget.lock().unwrap().record_disturbance(now, now);
}

/// Records that the machine's fault is over; the machine counts as lost until it had the time to catch up.
pub fn mark_recovered(cluster: &Cluster, machine: usize) {
    record_disturbance(cluster);
    let until = cluster.simulation.now() + cluster.parameters.catch_up_time;
    cluster.budget.lock().unwrap().mark_lost_until(cluster.slot(machine), until);
}

/// Kills the machine's process. Records that are not synced yet are lost if the power is lost, otherwise in half of
/// the kills.
pub fn kill_machine(cluster: &Arc<Cluster>, machine: usize, power_loss: bool) {
    record_disturbance(cluster);
    cluster.simulation.crash(cluster.pid(machine), power_loss);
    let completes_sync = !power_loss && cluster.chance(500);
    let disk = cluster.disk(machine);
    let mut disk = disk.lock().unwrap();
    if completes_sync {
        disk.sync_pending();
    } else {
        disk.lose_pending();
    }
}

pub fn restart_machine(cluster: &Arc<Cluster>, machine: usize) {
    cluster.simulation.restart(cluster.pid(machine));
    mark_recovered(cluster, machine);
}

pub fn remove_machine(cluster: &Arc<Cluster>, machine: usize) {
    kill_machine(cluster, machine, true);
    let mut state = cluster.state.lock().unwrap();
    let Machine { present, address, .. } = &mut state.machines[machine];
    *present = false;
    let address = address.clone();
    drop(state);
    cluster.simulation.lock().network.addresses.remove(address.as_str());
}

pub fn add_successor(cluster: &Arc<Cluster>, slot: usize) {
    record_disturbance(cluster);
    let address = cluster.fresh_address();
    cluster.add_machine(slot, address);
    let at = cluster.simulation.now() + cluster.parameters.seed_lag;
    schedule_at(cluster, at, |cluster| replace_absent_seeds(cluster));
}

/// Replaces seeds that are no machine's address any more by the newest machines.
fn replace_absent_seeds(cluster: &Cluster) {
    let present = cluster.addresses();
    let mut state = cluster.state.lock().unwrap();
    let mut seeds: Vec<Name> = state.seeds.iter().filter(|seed| present.contains(seed)).cloned().collect();
    let fresh = present.iter().rev().filter(|address| !state.seeds.contains(address));
    seeds.extend(fresh.take(state.seeds.len() - seeds.len()).cloned());
    state.seeds = seeds;
}

pub fn isolate(cluster: &Arc<Cluster>, machine: usize, all: bool, one_way: bool, until: Millis) {
    record_disturbance(cluster);
    let pid = cluster.pid(machine);
    let mut peers: Vec<ProcessId> = cluster.present().into_iter().map(|index| cluster.pid(index)).collect();
    if all {
        peers.extend(cluster.non_machine_processes());
    }
    peers.retain(|peer| *peer != pid);
    peers.iter().for_each(|peer| cluster.simulation.partition(pid, *peer, !one_way));
    schedule_at(cluster, until, move |cluster| {
        peers.iter().for_each(|peer| cluster.simulation.heal_partition(pid, *peer));
        mark_recovered(cluster, machine);
    });
}

pub fn split_core(cluster: &Arc<Cluster>, time: Millis) {
    let now = cluster.simulation.now();
    let (left, right): (Vec<usize>, Vec<usize>) =
        cluster.present().into_iter().partition(|_| cluster.chance(500));
    {
        let mut budget = cluster.budget.lock().unwrap();
        budget.record_disturbance(now, now + time + cluster.parameters.settle_time);
        cluster.present().into_iter().for_each(|machine| budget.mark_lost(cluster.slot(machine)));
    }
    let pairs = left.iter().flat_map(|a| right.iter().map(|b| (cluster.pid(*a), cluster.pid(*b))));
    let pairs: Vec<(ProcessId, ProcessId)> = pairs.collect();
    pairs.iter().for_each(|(a, b)| cluster.simulation.partition(*a, *b, true));
    schedule_at(cluster, now + time, move |cluster| {
        pairs.iter().for_each(|(a, b)| cluster.simulation.heal_partition(*a, *b));
        left.iter().chain(&right).for_each(|machine| mark_recovered(cluster, *machine));
    });
}

pub fn move_to_new_address(cluster: &Arc<Cluster>, machine: usize) {
    let fresh = cluster.fresh_address();
    let old = {
        let mut state = cluster.state.lock().unwrap();
        std::mem::replace(&mut state.machines[machine].address, fresh)
    };
    cluster.simulation.lock().network.addresses.remove(old.as_str());
    let at = cluster.simulation.now() + cluster.parameters.seed_lag;
    schedule_at(cluster, at, |cluster| replace_absent_seeds(cluster));
}

pub fn slow_disk(cluster: &Arc<Cluster>, machine: usize, sync: Millis, until: Millis) {
    let disk = cluster.disk(machine);
    let usual_sync_ms = std::mem::replace(&mut disk.lock().unwrap().sync_ms, sync);
    schedule_at(cluster, until, move |cluster| {
        disk.lock().unwrap().sync_ms = usual_sync_ms;
        mark_recovered(cluster, machine);
    });
}

/// Draws new seeds, and sends the list to every running process.
pub fn change_seeds(cluster: &Arc<Cluster>) {
    let mut seeds = cluster.addresses();
    cluster.simulation.lock().rng.shuffle(&mut seeds);
    let processes = {
        let mut state = cluster.state.lock().unwrap();
        seeds.truncate(state.seeds.len());
        state.seeds = seeds.clone();
        let present = state.machines.iter().filter(|machine| machine.present);
        present.filter_map(|machine| Some((machine.pid, machine.process.clone()?))).collect::<Vec<_>>()
    };
    for (pid, process) in processes {
        let is_up = cluster.simulation.lock().processes[pid].is_up;
        if is_up {
            cluster.simulation.run_in(pid, || machine::update_seeds(&process, seeds.clone()));
        }
    }
}

pub fn kill_all_machines(cluster: &Arc<Cluster>, power_loss: bool, downtime: Millis) {
    let now = cluster.simulation.now();
    // A core that was down as a whole has twice the time to settle.
    let extra_settle_time = cluster.parameters.settle_time;
    cluster.budget.lock().unwrap().record_disturbance(now, now + downtime + extra_settle_time);
    for machine in cluster.present() {
        cluster.budget.lock().unwrap().mark_lost(cluster.slot(machine));
        kill_machine(cluster, machine, power_loss);
        schedule_at(cluster, now + downtime, move |cluster| restart_machine(cluster, machine));
    }
}
