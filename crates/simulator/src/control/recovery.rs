//! A keeper from what its disk holds, set up as the platform does.
use super::cluster::Cluster;
use super::disk::Disk;
use quincehatch_core::Name;
use quincehatch_runtime::{now, seam};
use quincehatch_store::host::KeeperHost;
use quincehatch_store::record::RecoveredState;
use quincehatch_store::{DiscoverySettings, Keeper, View, timing};
use std::sync::Mutex;

/// Two deliberate bugs are here: a start from an older snapshot, and one with an empty disk under a voter's old name.
pub fn recover(cluster: &Cluster, address: &Name, disk: &Mutex<Disk>, seeds: &[Name]) -> KeeperHost {
    let shape = cluster.parameters.shape;
    let disk = disk.lock().unwrap();
    let forgotten = seam::injected_bug("forgotten-votes") && !cluster.state.lock().unwrap().first_start;
    let found = match (seam::injected_bug("stale-snapshot"), forgotten) {
        (true, _) => disk.recover_stale(),
        (_, true) => RecoveredState { view: View::initial(seeds), ..Default::default() },
        _ => disk.recover(),
    };
    let name = if forgotten { address.clone() } else { Name::from(disk.name.as_str()) };
    let settings = DiscoverySettings {
        own_addr: address.clone(),
        seeds: seeds.to_vec(),
        voter_replacement_delay: timing::voter_replacement_delay(cluster.parameters.catch_up_time),
        voter_count: shape.voters,
    };
    let disks = (shape.tolerated + 1).min(seeds.len());
    let make = move |state, now| {
        Keeper::new(name.clone(), now, state).with_discovery(settings.clone()).with_min_replicas(disks)
    };
    KeeperHost::new(found, now(), Box::new(make))
}
