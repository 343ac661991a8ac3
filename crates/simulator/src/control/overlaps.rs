//! Faults that overlap beyond what the deployment tolerates, though no more disks are lost at once than it allows.
//! Service may rest meanwhile; nothing that was acknowledged may be lost, or shown in an older state.
use super::cluster::Cluster;
use super::fault_effects::{kill_machine, mark_recovered, record_disturbance, restart_machine, schedule_at};
use crate::fleet::simulation::ProcessId;
use quincehatch_core::Millis;
use std::sync::Arc;

/// An emptied machine is started so long after the others lost power.
const WIPED_START: Millis = 300;

/// Which machines an overlap strikes.
struct Sides {
    few: Vec<usize>,
    others: Vec<usize>,
}

/// As many of the present machines as may be lost, drawn, and all others.
fn draw_sides(cluster: &Cluster) -> Sides {
    let mut present = cluster.present();
    cluster.core.lock().rng.shuffle(&mut present);
    let others = present.split_off(cluster.parameters.shape.tolerated.min(present.len()));
    Sides { few: present, others }
}

/// Cuts each machine of one side from each of the other; who is no core machine reaches both. Returns the pairs.
fn cut(cluster: &Cluster, left: &[usize], right: &[usize]) -> Vec<(ProcessId, ProcessId)> {
    let pairs = left.iter().flat_map(|a| right.iter().map(|b| (cluster.pid(*a), cluster.pid(*b))));
    let pairs: Vec<(ProcessId, ProcessId)> = pairs.collect();
    pairs.iter().for_each(|(a, b)| cluster.core.partition(*a, *b, true));
    pairs
}

fn heal(cluster: &Cluster, pairs: &[(ProcessId, ProcessId)]) {
    pairs.iter().for_each(|(a, b)| cluster.core.heal_partition(*a, *b));
}

/// The core is cut into halves, whatever is lost already.
pub fn cut_in_halves(cluster: &Arc<Cluster>, time: Millis) {
    let now = cluster.core.now();
    let mut present = cluster.present();
    cluster.core.lock().rng.shuffle(&mut present);
    let right = present.split_off(present.len() / 2);
    let pairs = cut(cluster, &present, &right);
    {
        let mut budget = cluster.budget.lock().unwrap();
        budget.record_disturbance(now, now + time + cluster.parameters.settle_time);
        budget.record_halves(now, now + time + cluster.parameters.catch_up_time);
    }
    schedule_at(cluster, now + time, move |cluster| {
        heal(cluster, &pairs);
        record_disturbance(cluster);
    });
}

/// A minority misses changes; then as many of the others lose their disks, the rest lose power, and the cut heals.
pub fn leave_behind(cluster: &Arc<Cluster>, missed: Millis, dark: Millis) {
    let now = cluster.core.now();
    let Sides { few: behind, others } = draw_sides(cluster);
    mark_all_lost(cluster, now, missed + dark);
    let pairs = cut(cluster, &behind, &others);
    schedule_at(cluster, now + missed, move |cluster| {
        let wiped: Vec<usize> = others.iter().copied().take(cluster.parameters.shape.tolerated).collect();
        lose_disks_and_power(cluster, &wiped, &others, dark);
        heal(cluster, &pairs);
        schedule_at(cluster, now + missed + dark, move |cluster| {
            behind.iter().for_each(|machine| mark_recovered(cluster, *machine));
        });
    });
}

/// As many machines as may lose their disks do, and every other one loses power in the same moment.
pub fn wipe_some_power_off_rest(cluster: &Arc<Cluster>, dark: Millis) {
    let now = cluster.core.now();
    let Sides { few: wiped, others } = draw_sides(cluster);
    mark_all_lost(cluster, now, dark);
    let all: Vec<usize> = wiped.iter().chain(&others).copied().collect();
    lose_disks_and_power(cluster, &wiped, &all, dark);
}

fn mark_all_lost(cluster: &Cluster, now: Millis, time: Millis) {
    let mut budget = cluster.budget.lock().unwrap();
    budget.record_disturbance(now, now + time + cluster.parameters.settle_time);
    cluster.present().into_iter().for_each(|machine| budget.mark_lost(cluster.slot(machine)));
}

/// Those of `struck` that are `wiped` come back empty and soon, the others with what they had synced.
fn lose_disks_and_power(cluster: &Arc<Cluster>, wiped: &[usize], struck: &[usize], dark: Millis) {
    let now = cluster.core.now();
    for machine in struck.iter().copied() {
        kill_machine(cluster, machine, true);
        let is_wiped = wiped.contains(&machine);
        if is_wiped {
            let address = cluster.state.lock().unwrap().machines[machine].address.clone();
            *cluster.disk(machine).lock().unwrap() = cluster.empty_disk(&address);
        }
        let start = if is_wiped { WIPED_START.min(dark) } else { dark };
        schedule_at(cluster, now + start, move |cluster| restart_machine(cluster, machine));
    }
    // Most of the core was gone: as with its being in touch, the time to catch up is twice as long.
    let caught_up_at = now + dark + 2 * cluster.parameters.catch_up_time;
    let struck = struck.to_vec();
    schedule_at(cluster, now + dark + 1, move |cluster| {
        let mut budget = cluster.budget.lock().unwrap();
        struck.iter().for_each(|machine| budget.mark_lost_until(cluster.slot(*machine), caught_up_at));
    });
}

/// The machine whose disk has lasted longest.
pub fn oldest_disk(cluster: &Cluster) -> Option<usize> {
    let born_at = |machine: &usize| cluster.disk(*machine).lock().unwrap().born_at;
    cluster.present().into_iter().min_by_key(born_at)
}
