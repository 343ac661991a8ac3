//! Starts a keeper from the state on its disk, set up as the platform does it.
use super::cluster::Cluster;
use super::disk::Disk;
use quincehatch_core::Name;
use quincehatch_runtime::{now, seam};
use quincehatch_store::host::KeeperHost;
use quincehatch_store::record::RecoveredState;
use quincehatch_store::{DiscoverySettings, Keeper, View, timing};
use std::sync::Mutex;

/// Returns a keeper host over the state that the disk holds. Two injected bugs start from something else: an older
/// snapshot, or an empty disk under the voter's old name.
pub fn recover(cluster: &Cluster, address: &Name, disk: &Mutex<Disk>, seeds: &[Name]) -> KeeperHost {
    let shape = cluster.parameters.shape;
    let disk = disk.lock().unwrap();
    let loses_votes = seam::injected_bug("forgotten-votes") && !cluster.state.lock().unwrap().first_start;
    let recovered_state = match (seam::injected_bug("stale-snapshot"), loses_votes) {
        (true, _) => disk.recover_stale(),
        (_, true) => RecoveredState { view: View::initial(seeds), ..Default::default() },
        _ => disk.recover(),
    };
    let name = if loses_votes { address.clone() } else { Name::from(disk.name.as_str()) };
    let settings = DiscoverySettings {
        own_addr: address.clone(),
        seeds: seeds.to_vec(),
        voter_replacement_delay: timing::voter_replacement_delay(cluster.parameters.catch_up_time),
        voter_count: shape.voters,
    };
    let min_replicas = (shape.tolerated + 1).min(seeds.len());
    let create_keeper = move |state, now| {
        Keeper::new(name.clone(), now, state).with_discovery(settings.clone()).with_min_replicas(min_replicas)
    };
    KeeperHost::new(recovered_state, now(), Box::new(create_keeper))
}
