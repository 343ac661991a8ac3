//! Costs of determining the owner of each group's promotion duty.
use crate::cpu::timed;
use crate::samples::{group_name, node_names};
use quincehatch_core::Name;
use quincehatch_gossip::ownership;
use quincehatch_store::store::promotion_role_key;

/// Returns the processor time in milliseconds of determining the owner of each group's promotion duty once.
pub fn find_owners_ms(nodes: usize, groups: usize) -> f64 {
    let live = node_names(nodes);
    let keys: Vec<Name> = (0..groups).map(|group| promotion_role_key(&group_name(group))).collect();
    let own_duties = || keys.iter().filter(|key| ownership::owner(key, &live) == live.first()).count();
    timed(own_duties).cpu_ms
}
