//! The singleton duty that dismisses nodes that have left the membership without notice: it ends their enrollment in
//! the store. Without it a new tail of the store would wait for leases that no process holds.
use crate::node::Node;
use quincehatch_core::{ChangeNumber, Millis, Name};
use quincehatch_gossip::ownership::owner;
use quincehatch_runtime::{now, seam};
use quincehatch_store::Command;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Key by which the duty is assigned to one of the live nodes.
const DUTY_KEY: &str = "nodes";
/// Time that an enrolled node must be missing from the membership before it is dismissed. If it comes back, it enrolls
/// again.
const DISMISS_AFTER_MS: Millis = 30_000;
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs the duty. It dismisses nodes only while this node owns the duty and holds its lease.
pub async fn run(node: Arc<Node>) {
    let mut missing_since: BTreeMap<Name, Millis> = BTreeMap::new();
    loop {
        seam::sleep(CHECK_INTERVAL).await;
        let live = node.gossip.live_names();
        let enrolled = node.feed_state.lock().unwrap().nodes.clone();
        update_missing(&mut missing_since, &enrolled, &live);
        let owns_duty = owner(DUTY_KEY, &live) == Some(&node.gossip.local_name);
        if owns_duty && node.proxy.registry.has_lease() {
            dismiss_missing_nodes(&node, &missing_since, &enrolled).await;
        }
    }
}

fn update_missing(
    missing_since: &mut BTreeMap<Name, Millis>,
    enrolled: &BTreeMap<Name, ChangeNumber>,
    live: &[Name],
) {
    missing_since.retain(|name, _| enrolled.contains_key(name) && !live.contains(name));
    for name in enrolled.keys().filter(|name| !live.contains(*name)) {
        missing_since.entry(name.clone()).or_insert(now());
    }
}

async fn dismiss_missing_nodes(
    node: &Node,
    missing_since: &BTreeMap<Name, Millis>,
    enrolled: &BTreeMap<Name, ChangeNumber>,
) {
    let to_dismiss = missing_since.iter().filter(|(_, since)| now() >= **since + DISMISS_AFTER_MS);
    let to_dismiss: Vec<Name> = to_dismiss.map(|(name, _)| name.clone()).collect();
    for name in to_dismiss {
        let Some(number) = enrolled.get(&name).copied() else { continue };
        let key = format!("dismiss/{name}/{number}");
        let command = Command::DismissNode { node: name.clone(), enrolled: number };
        let dismissed = node.store_client.write(&key, command, WRITE_TIMEOUT).await.is_ok();
        log::info!(target: "lease", "node {name} is missing from the membership; dismissed: {dismissed}");
    }
}
