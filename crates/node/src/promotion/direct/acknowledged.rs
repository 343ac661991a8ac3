//! Finds the acknowledged bound of a group, and the end of everything acknowledged.
//!
//! Where too few replicas can be suspended to prove anything, a candidate may still be chosen by what the nodes report:
//! if every node that may have passed on an acknowledgement reports the end of what it passed on, the highest of these
//! bounds everything acknowledged.
use super::acknowledged_bounds::{AcknowledgedBound, AcknowledgedReport};
use super::processes::{acting_processes, lease_holders};
use super::server_calls::query_status;
use crate::node::Node;
use quincehatch_core::{FencingToken, Name, Position};
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_runtime::seam;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A replica that has not received what the primary had is asked again after this pause,
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// and so many times in all.
const MAX_ATTEMPTS: usize = 4;

/// The reports of nodes that may act.
struct GatheredReports {
    reports: BTreeMap<Name, AcknowledgedReport>,
    /// Every node that may act reported.
    complete: bool,
}

/// Asks every node that may act: those alive, and those that the tail says may hold leases. After its report a node
/// passes on no acknowledgement of what was sent under a lower token than `fence`.
async fn gather_reports(node: &Arc<Node>, group: &Name, fence: FencingToken) -> GatheredReports {
    let holders = lease_holders(node).await;
    let mut complete = holders.is_some();
    let mut names = node.gossip.live_names();
    names.extend(holders.unwrap_or_default());
    names.sort();
    names.dedup();
    let mut reports = BTreeMap::new();
    let query = NodeQuery::AcknowledgedEnd { group: group.clone(), fence };
    for (name, reply) in node.gossip.query_all(names, query).await {
        match reply {
            Some(NodeReply::AcknowledgedEnd { end, incarnation }) => {
                reports.insert(name, AcknowledgedReport { end, incarnation });
            }
            _ => complete = false,
        }
    }
    GatheredReports { reports, complete }
}

/// The primary whose acknowledged bound is looked for.
pub(super) struct BoundedPrimary {
    pub(super) group: Name,
    pub(super) server: Name,
    pub(super) fence: FencingToken,
    /// The group's other servers.
    pub(super) replicas: Vec<Name>,
}

/// Finds that all replicas hold what the primary held a moment ago. Returns whether that was found.
pub(super) async fn refresh_bound(node: &Arc<Node>, primary: &BoundedPrimary) -> bool {
    // Nodes are counted first, so that whoever acknowledges anything beyond `end` is among them, or began later and is
    // asked when it matters.
    let acting = acting_processes(node, &primary.group).await;
    let bounds = &node.promotion_state.acknowledged_bounds;
    // Where no new bound is found, whoever came meanwhile is asked too when it matters. One that comes and is gone
    // between two of these calls goes unseen.
    bounds.add_nodes(&primary.group, primary.fence, &acting.incarnations);
    if !acting.complete {
        return false;
    }
    let Some(status) = query_status(node, &primary.server).await else { return false };
    let end = status.received;
    if !all_receive(node, &primary.replicas, end).await {
        return false;
    }
    let nodes = acting.incarnations;
    bounds.set(&primary.group, AcknowledgedBound { primary_fence: primary.fence, end, nodes });
    true
}

async fn all_receive(node: &Node, replicas: &[Name], end: Position) -> bool {
    for attempt in 1..=MAX_ATTEMPTS {
        let statuses = seam::join_all(replicas.iter().map(|replica| query_status(node, replica))).await;
        if statuses.iter().all(|status| status.is_some_and(|status| status.received >= end)) {
            return true;
        }
        if attempt < MAX_ATTEMPTS {
            seam::sleep(RETRY_PAUSE).await;
        }
    }
    false
}

/// The end of all that nodes passed on as acknowledged under the primary of token `primary_fence`; none unless every
/// process that may have done so reports. They pass on nothing sent under a lower token than `fence` any more.
pub(super) async fn gather_acknowledged_end(
    node: &Arc<Node>,
    group: &Name,
    primary_fence: FencingToken,
    fence: FencingToken,
) -> Option<Position> {
    let bound = node.promotion_state.acknowledged_bounds.under(group, primary_fence)?;
    let gathered = gather_reports(node, group, fence).await;
    bound.acknowledged_end(&gathered.reports).filter(|_| gathered.complete)
}
