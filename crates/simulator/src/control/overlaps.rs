//! Faults that overlap beyond what the deployment tolerates, though no more disks are lost at once than it tolerates.
//! Service may be unavailable meanwhile; no acknowledged document may be lost, and no read may return an older one.
use super::cluster::Cluster;
use super::fault_effects::{kill_machine, mark_recovered, record_disturbance, restart_machine, schedule_at};
use crate::fleet::simulation::ProcessId;
use quincehatch_core::Millis;
use std::sync::Arc;

/// Downtime of a machine with a wiped disk, unless the downtime of the fault is shorter.
const WIPED_RESTART_DELAY: Millis = 300;

/// The two parts of the core that an overlapping fault treats differently.
struct CoreParts {
    /// As many machines as may be lost at once.
    minority: Vec<usize>,
    rest: Vec<usize>,
}

/// Draws as many machines as may be lost at once, and returns them and the rest.
fn draw_core_parts(cluster: &Cluster) -> CoreParts {
    let mut present = cluster.present();
    cluster.simulation.lock().rng.shuffle(&mut present);
    let rest = present.split_off(cluster.parameters.shape.tolerated.min(present.len()));
    CoreParts { minority: present, rest }
}

/// Partitions each machine of one side from each of the other; processes outside the core reach both sides. Returns the
/// partitioned pairs.
fn partition_sides(cluster: &Cluster, left: &[usize], right: &[usize]) -> Vec<(ProcessId, ProcessId)> {
    let pairs = left.iter().flat_map(|a| right.iter().map(|b| (cluster.pid(*a), cluster.pid(*b))));
    let pairs: Vec<(ProcessId, ProcessId)> = pairs.collect();
    pairs.iter().for_each(|(a, b)| cluster.simulation.partition(*a, *b, true));
    pairs
}

fn heal(cluster: &Cluster, pairs: &[(ProcessId, ProcessId)]) {
    pairs.iter().for_each(|(a, b)| cluster.simulation.heal_partition(*a, *b));
}

/// Partitions the core into two halves, whichever machines are lost already.
pub fn bisect_core(cluster: &Arc<Cluster>, time: Millis) {
    let now = cluster.simulation.now();
    let mut present = cluster.present();
    cluster.simulation.lock().rng.shuffle(&mut present);
    let right = present.split_off(present.len() / 2);
    let pairs = partition_sides(cluster, &present, &right);
    {
        let mut budget = cluster.budget.lock().unwrap();
        budget.record_disturbance(now, now + time + cluster.parameters.settle_time);
        budget.record_bisection(now, now + time + cluster.parameters.catch_up_time);
    }
    schedule_at(cluster, now + time, move |cluster| {
        heal(cluster, &pairs);
        record_disturbance(cluster);
    });
}

/// Partitions a minority, so that it becomes stale; then as many of the others lose their disks, the rest lose power,
/// and the partition heals.
pub fn wipe_while_minority_is_stale(cluster: &Arc<Cluster>, stale_time: Millis, downtime: Millis) {
    let now = cluster.simulation.now();
    let CoreParts { minority: stale, rest } = draw_core_parts(cluster);
    mark_all_lost(cluster, now, stale_time + downtime);
    let pairs = partition_sides(cluster, &stale, &rest);
    schedule_at(cluster, now + stale_time, move |cluster| {
        let wiped: Vec<usize> = rest.iter().copied().take(cluster.parameters.shape.tolerated).collect();
        lose_disks_and_power(cluster, &wiped, &rest, downtime);
        heal(cluster, &pairs);
        schedule_at(cluster, now + stale_time + downtime, move |cluster| {
            stale.iter().for_each(|machine| mark_recovered(cluster, *machine));
        });
    });
}

/// Wipes the disks of as many machines as may be lost at once; all others lose power at the same moment.
pub fn wipe_minority_power_off_rest(cluster: &Arc<Cluster>, downtime: Millis) {
    let now = cluster.simulation.now();
    let CoreParts { minority: wiped, rest } = draw_core_parts(cluster);
    mark_all_lost(cluster, now, downtime);
    let all: Vec<usize> = wiped.iter().chain(&rest).copied().collect();
    lose_disks_and_power(cluster, &wiped, &all, downtime);
}

/// Counts all machines as lost, and the core as disturbed until `time` and the time to settle have passed.
fn mark_all_lost(cluster: &Cluster, now: Millis, time: Millis) {
    let mut budget = cluster.budget.lock().unwrap();
    budget.record_disturbance(now, now + time + cluster.parameters.settle_time);
    cluster.present().into_iter().for_each(|machine| budget.mark_lost(cluster.slot(machine)));
}

/// Powers off the machines of `targets`. Those that are also in `wiped` restart soon with an empty disk, the others
/// after `downtime` with what they had synced.
fn lose_disks_and_power(cluster: &Arc<Cluster>, wiped: &[usize], targets: &[usize], downtime: Millis) {
    let now = cluster.simulation.now();
    for machine in targets.iter().copied() {
        kill_machine(cluster, machine, true);
        let is_wiped = wiped.contains(&machine);
        if is_wiped {
            let address = cluster.state.lock().unwrap().machines[machine].address.clone();
            *cluster.disk(machine).lock().unwrap() = cluster.empty_disk(&address);
        }
        let restart_delay = if is_wiped { WIPED_RESTART_DELAY.min(downtime) } else { downtime };
        schedule_at(cluster, now + restart_delay, move |cluster| restart_machine(cluster, machine));
    }
    // Most of the core was down: like the time to settle, the time to catch up is twice as long.
    let caught_up_at = now + downtime + 2 * cluster.parameters.catch_up_time;
    let targets = targets.to_vec();
    schedule_at(cluster, now + downtime + 1, move |cluster| {
        let mut budget = cluster.budget.lock().unwrap();
        targets.iter().for_each(|machine| budget.mark_lost_until(cluster.slot(*machine), caught_up_at));
    });
}

/// Returns the machine with the oldest disk.
pub fn oldest_disk(cluster: &Cluster) -> Option<usize> {
    let created_at = |machine: &usize| cluster.disk(*machine).lock().unwrap().created_at;
    cluster.present().into_iter().min_by_key(created_at)
}
