//! The singleton duty that dismisses nodes that are gone for good, so that a new tail of the store does not wait for
//! leases that nobody holds.
use crate::node::Node;
use quincehatch_core::{ChangeNumber, Millis, Name};
use quincehatch_gossip::ownership::owner;
use quincehatch_runtime::{now, seam};
use quincehatch_store::Command;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The key by which the duty is assigned to one of the live nodes.
const DUTY_KEY: &str = "nodes";
/// A node that no other has heard of for this long is gone; should it come back, it enrolls anew.
const GONE_AFTER: Millis = 30_000;
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs the duty; it acts while this node owns it and holds its lease.
pub async fn run(node: Arc<Node>) {
    let mut missing_since: BTreeMap<Name, Millis> = BTreeMap::new();
    loop {
        seam::sleep(CHECK_INTERVAL).await;
        let live = node.gossip.live_names();
        let enrolled = node.feed_state.lock().unwrap().nodes.clone();
        update_missing(&mut missing_since, &enrolled, &live);
        let owns_duty = owner(DUTY_KEY, &live) == Some(&node.gossip.local_name);
        if owns_duty && node.proxy.registry.has_lease() {
            dismiss_gone_nodes(&node, &missing_since, &enrolled).await;
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

async fn dismiss_gone_nodes(
    node: &Node,
    missing_since: &BTreeMap<Name, Millis>,
    enrolled: &BTreeMap<Name, ChangeNumber>,
) {
    let gone = missing_since.iter().filter(|(_, since)| now() >= **since + GONE_AFTER);
    let gone: Vec<Name> = gone.map(|(name, _)| name.clone()).collect();
    for name in gone {
        let Some(number) = enrolled.get(&name).copied() else { continue };
        let key = format!("dismiss/{name}/{number}");
        let command = Command::DismissNode { node: name.clone(), enrolled: number };
        let dismissed = node.store_client.write(&key, command, WRITE_TIMEOUT).await.is_ok();
        log::info!(target: "lease", "node {name} is gone and dismissed from the lease roll: {dismissed}");
    }
}
