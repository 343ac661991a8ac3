//! The check of the configuration version that each node has in force.
use super::ledger::AcknowledgedVersion;
use super::setup::{DirectFleet, RunningNode, SimulatedNode};
use quincehatch_core::Millis;
use quincehatch_proxy::tenants::ClientKey;
use quincehatch_runtime::seam;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// An undisturbed node must have a configuration in force this long after the acknowledgement.
const CONFIG_APPLY_TIME: Millis = 3_000;
/// How often the nodes' versions are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How many of the newest acknowledged versions are looked up at a node, and how many numbers above the newest one.
const VERSIONS_CHECKED: usize = 6;
const NUMBERS_AHEAD: u64 = 4;

/// The version that a node's incarnation had in force at the previous check.
#[derive(Clone, Copy)]
struct ObservedVersion {
    incarnation: u64,
    number: u64,
}

/// Checks periodically that no node's version decreases within an incarnation, and that each undisturbed node applies
/// acknowledged versions within [`CONFIG_APPLY_TIME`].
pub async fn check_config_versions(fleet: Arc<DirectFleet>) {
    let mut observed: BTreeMap<usize, ObservedVersion> = BTreeMap::new();
    loop {
        seam::sleep(CHECK_INTERVAL).await;
        let now = fleet.simulation.now();
        let acknowledged = fleet.group.with(|state| state.ledger.config_versions.clone());
        // A keeper can also crash in the middle of a step, outside the scheduled faults, which disturbs all keepers.
        let keeper_down = fleet.keepers.iter().any(|pid| !fleet.simulation.lock().processes[*pid].is_up);
        if keeper_down {
            fleet.group.with(|state| state.mark_keepers_disturbed(now));
        }
        for node in &fleet.nodes {
            check_node_version(&fleet, node, &acknowledged, &mut observed);
        }
    }
}

fn check_node_version(
    fleet: &DirectFleet,
    node: &SimulatedNode,
    acknowledged: &[AcknowledgedVersion],
    observed: &mut BTreeMap<usize, ObservedVersion>,
) {
    let now = fleet.simulation.now();
    let (is_running, incarnation) = {
        let state = fleet.simulation.lock();
        (state.is_running(node.pid), state.processes[node.pid].incarnation)
    };
    if !is_running {
        fleet.group.with(|state| state.mark_disturbed(node.pid, now));
        return;
    }
    let Some(running) = node.running() else { return };
    let number = fleet.simulation.run_in(node.pid, || version_in_force(&running, acknowledged));
    let previous = observed.insert(node.pid, ObservedVersion { incarnation, number });
    let previous = previous.filter(|before| before.incarnation == incarnation);
    let before = previous.map_or(0, |before| before.number);
    let overdue = acknowledged.iter().filter(|version| now > version.at + CONFIG_APPLY_TIME);
    let due = overdue.map(|version| version.number).max().unwrap_or(0);
    let name = &node.name;
    fleet.group.with(|state| {
        if number < before {
            let violation = format!("CONFIG at {now}: {name} has {number} in force after {before}");
            state.ledger.record_violation(violation);
        } else if number < due && state.is_undisturbed(node.pid, now) {
            let violation =
                format!("CONFIG at {now}: {name} has {number} in force and {due} was acknowledged before");
            state.ledger.record_violation(violation);
        }
    });
}

/// Returns the highest version number for which the node has a route.
fn version_in_force(running: &RunningNode, acknowledged: &[AcknowledgedVersion]) -> u64 {
    let newest = acknowledged.last().map_or(1, |version| version.number) + NUMBERS_AHEAD;
    let oldest = acknowledged.iter().rev().nth(VERSIONS_CHECKED).map_or(1, |version| version.number);
    let has_route =
        |number: &u64| running.direct_proxy.resolve_route(&format!("v{number}"), ClientKey::NONE).is_ok();
    (oldest..=newest).rev().find(has_route).unwrap_or(0)
}
