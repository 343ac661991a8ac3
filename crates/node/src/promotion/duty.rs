//! The loop over the groups: each group is supervised by the live node that owns its promotion duty.
use super::evidence::report_stall;
use super::group_state::GroupState;
use super::{direct, pooled};
use crate::node::Node;
use quincehatch_core::Name;
use quincehatch_gossip::OwnerTable;
use quincehatch_runtime::seam;
use quincehatch_store::store::promotion_role_key;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The interval between two passes over the groups.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(100);
/// The interval of a node with direct servers that owns no group's duty.
const IDLE_SUPERVISION_INTERVAL: Duration = Duration::from_millis(250);

/// Supervises the groups whose promotion duty this node owns, while the node holds its lease.
pub async fn run(node: Arc<Node>) {
    let mut groups: BTreeMap<Name, GroupState> = BTreeMap::new();
    let mut owners = OwnerTable::default();
    let mut owns_any = true;
    loop {
        let is_idle = !owns_any && node.has_direct_servers();
        seam::sleep(if is_idle { IDLE_SUPERVISION_INTERVAL } else { SUPERVISION_INTERVAL }).await;
        if node.has_direct_servers() {
            direct::probe_ejected_servers(&node);
        }
        if !node.proxy.registry.has_lease() || node.proxy.registry.is_stopping() {
            continue;
        }
        owners.set_live(node.gossip.live_names());
        owns_any = false;
        for group in known_groups(&node) {
            let state = groups.entry(group.clone()).or_default();
            let duty_owner = owners.owner(&promotion_role_key(&group));
            owns_any |= duty_owner == Some(&node.gossip.local_name);
            supervise_group(&node, &group, state, duty_owner).await;
        }
    }
}

fn known_groups(node: &Node) -> BTreeSet<Name> {
    let servers = node.proxy.registry.servers();
    servers.iter().map(|server| server.group()).filter(|group| !group.is_empty()).collect()
}

async fn supervise_group(node: &Arc<Node>, group: &Name, state: &mut GroupState, duty_owner: Option<&Name>) {
    let stored = node.feed_state.lock().unwrap().primary_state(group);
    state.update(stored, node.promotion_state.own_fence(group));
    let owns_duty = duty_owner == Some(&node.gossip.local_name);
    let primary = state.primary.as_ref().filter(|_| owns_duty);
    node.promotion_state.retain_acknowledged_bound(group, primary);
    if !owns_duty {
        if let Some(duty_owner) = duty_owner {
            report_stall(node, group, duty_owner, state);
        }
        return;
    }
    if state.is_promoting() {
        return;
    }
    state.start_pause_after_promotion(node.promotion_state.own_fence(group), node.has_direct_servers());
    if node.has_direct_servers() {
        direct::supervise_group(node, group, state).await;
    } else {
        pooled::supervise_group(node, group, state).await;
    }
}
