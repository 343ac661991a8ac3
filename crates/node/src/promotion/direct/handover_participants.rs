//! The nodes that must take part in a handover before the platform is requested to promote the successor.
use super::processes::lease_holders;
use crate::node::Node;
use quincehatch_core::{FencingToken, Millis, Name};
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_runtime::{now, seam};
use std::sync::Arc;
use std::time::Duration;

/// A node that does not answer loses its lease eventually; the handover waits for that no longer than this.
const JOIN_TIMEOUT: Millis = 2_000;
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Waits until every node that may acknowledge commits takes part in the handover under `fence`, which this node has
/// acquired. Returns false if that takes too long.
///
/// A node without a lease acknowledges nothing. If it gets one later, its feed includes the token by then, and under a
/// promotion in which it takes no part it acknowledges nothing that was sent under the assignment before.
pub(super) async fn all_nodes_join(
    node: &Arc<Node>,
    group: &Name,
    fence: FencingToken,
    successor: &Name,
) -> bool {
    let deadline = now() + JOIN_TIMEOUT;
    loop {
        if lease_holders_join(node, group, fence, successor).await {
            return true;
        }
        if now() >= deadline {
            return false;
        }
        seam::sleep(RETRY_PAUSE).await;
    }
}

async fn lease_holders_join(node: &Arc<Node>, group: &Name, fence: FencingToken, successor: &Name) -> bool {
    let Some(holders) = lease_holders(node).await else { return false };
    let mut names = node.gossip.live_names();
    names.extend(holders.iter().cloned());
    names.sort();
    names.dedup();
    let query = NodeQuery::JoinHandover { group: group.clone(), fence, successor: successor.clone() };
    let replies = node.gossip.query_all(names, query).await;
    let has_joined =
        |reply: &Option<NodeReply>| matches!(reply, Some(NodeReply::JoinedHandover { joined: true }));
    replies.iter().all(|(name, reply)| !holders.contains(name) || has_joined(reply))
}
