//! A keeper from what its disk holds, set up as the platform does.
use super::cluster::Cluster;
use super::disk::Disk;
use qh_core::{Name, now, rt};
use qh_state::keeper::RecoveredState;
use qh_state::{DiscoverySettings, Keeper, View};
use std::sync::Mutex;

/// Two deliberate bugs are here: a start from an older snapshot, and one with an empty disk under a voter's old name.
pub fn recover(cluster: &Cluster, address: &Name, disk: &Mutex<Disk>, seeds: &[Name]) -> Keeper {
    let shape = cluster.parameters.shape;
    let mut disk = disk.lock().unwrap();
    let stale = rt::broken("stale-snapshot");
    let forgotten = rt::broken("forgotten-votes") && !cluster.state.lock().unwrap().first_start;
    let found = match (stale, forgotten) {
        (true, _) => disk.stale(),
        (_, true) => RecoveredState { view: View::first(seeds), ..Default::default() },
        _ => disk.recover(),
    };
    let name = if forgotten { address.clone() } else { Name::from(disk.name.as_str()) };
    let way = DiscoverySettings {
        at: address.clone(),
        seeds: seeds.to_vec(),
        give_up: cluster.parameters.give_up,
        machines: shape.voters,
    };
    let disks = (shape.tolerated + 1).min(seeds.len());
    Keeper::new(name, now(), found).seeking(way).committing_on(disks)
}
