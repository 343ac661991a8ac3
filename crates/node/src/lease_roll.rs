//! The roll of nodes that may hold leases (§5.6): whoever is gone for good is struck off it, so that no new tail waits
//! for a lease that nobody holds.
use crate::ClusterNode;
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::{now, seam};
use quincehatch_store::Command;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A node that no other has heard of for so long is gone; should it come back, it enrolls anew.
const GONE: Millis = 30_000;
const LOOK: Duration = Duration::from_secs(5);
const WRITE: Duration = Duration::from_secs(3);

pub async fn run(f: Arc<ClusterNode>) {
    let mut missed: BTreeMap<Name, Millis> = BTreeMap::new();
    loop {
        seam::sleep(LOOK).await;
        let live: Vec<Name> = f.gossip.live_nodes().into_iter().map(|member| member.name).collect();
        let nodes = f.feed_state.lock().unwrap().nodes.clone();
        missed.retain(|n, _| nodes.contains_key(n) && !live.contains(n));
        for n in nodes.keys().filter(|n| !live.contains(*n)) {
            missed.entry(n.clone()).or_insert(now());
        }
        let mine = quincehatch_gossip::ownership::owner("nodes", &live) == Some(&f.gossip.local_name);
        if !mine || !f.proxy.registry.has_lease() {
            continue;
        }
        let gone = missed.iter().filter(|(_, at)| now() >= **at + GONE).map(|(n, _)| n.clone());
        for node in gone.collect::<Vec<_>>() {
            let Some(enrolled) = nodes.get(&node).copied() else { continue };
            let key = format!("dismiss/{node}/{enrolled}");
            let done = f
                .store_client
                .write(&key, Command::DismissNode { node: node.clone(), enrolled }, WRITE)
                .await;
            log::info!(target: "lease", "node {node} is struck off the roll: {}", done.is_ok());
        }
    }
}
