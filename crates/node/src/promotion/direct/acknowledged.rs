//! Finds a group's acknowledged bound and the end of all acknowledged commits.
//!
//! If too few replicas can be suspended to prove that a candidate has all acknowledged commits, the nodes' reports may
//! still prove it: if every node that may have passed on an acknowledgement reports the end of what it passed on, no
//! acknowledged commit is beyond the highest of these ends.
use super::acknowledged_bounds::{AcknowledgedBound, AcknowledgedReport};
use super::processes::{active_processes, lease_holders};
use super::server_calls::query_status;
use crate::node::Node;
use quincehatch_core::{FencingToken, Name, Position};
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_runtime::seam;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The pause before replicas are queried again if one has not received what the primary had.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The maximum number of times that the replicas are queried.
const MAX_ATTEMPTS: usize = 4;

/// The reports of the nodes that may pass on acknowledgements.
struct GatheredReports {
    reports: BTreeMap<Name, AcknowledgedReport>,
    /// Some acknowledged commit is at this position or beyond it.
    at_least: Position,
    /// Whether every node that may pass on acknowledgements reported.
    complete: bool,
}

/// Queries every node that may pass on acknowledgements: the live nodes, and those that may hold leases according to
/// the tail of the store's chain. After its report, a node passes on no acknowledgement of requests sent under a lower
/// token than `fence`.
async fn gather_reports(node: &Arc<Node>, group: &Name, fence: FencingToken) -> GatheredReports {
    let holders = lease_holders(node).await;
    let mut complete = holders.is_some();
    let mut names = node.gossip.live_names();
    names.extend(holders.unwrap_or_default());
    names.sort();
    names.dedup();
    let mut reports = BTreeMap::new();
    let mut highest_at_least = Position::default();
    let query = NodeQuery::AcknowledgedRange { group: group.clone(), fence };
    for (name, reply) in node.gossip.query_all(names, query).await {
        match reply {
            Some(NodeReply::AcknowledgedRange { end, at_least, incarnation }) => {
                highest_at_least = highest_at_least.max(at_least);
                reports.insert(name, AcknowledgedReport { end, incarnation });
            }
            _ => complete = false,
        }
    }
    GatheredReports { reports, at_least: highest_at_least, complete }
}

/// The primary whose acknowledged bound is to be found.
pub(super) struct BoundedPrimary {
    pub(super) group: Name,
    pub(super) server: Name,
    pub(super) fence: FencingToken,
    /// The group's other servers.
    pub(super) replicas: Vec<Name>,
}

/// Reads the end of the primary's log and waits until all replicas have received it, which makes it the group's new
/// acknowledged bound. Returns whether a new bound was found.
pub(super) async fn refresh_bound(node: &Arc<Node>, primary: &BoundedPrimary) -> bool {
    // The processes are listed before `end` is read. So a node that passes on an acknowledgement beyond `end` is either
    // among them or enrolled later, and one that enrolled later must report when the acknowledged end is gathered.
    let active = active_processes(node, &primary.group).await;
    let bounds = &node.promotion_state.acknowledged_bounds;
    // If no new bound is found, nodes that joined since the last one must report too when the acknowledged end is
    // gathered. One that was not live, gets a lease again and loses it between two of these calls is missed, and so is a
    // process that another of its node replaces between them.
    bounds.add_nodes(&primary.group, primary.fence, &active.incarnations);
    if !active.complete {
        return false;
    }
    let Some(status) = query_status(node, &primary.server).await else { return false };
    let end = status.received;
    if !all_receive(node, &primary.replicas, end).await {
        return false;
    }
    let bound = AcknowledgedBound {
        primary_fence: primary.fence,
        end,
        nodes: active.incarnations,
        enrolled_up_to: active.enrolled_up_to,
    };
    bounds.set(&primary.group, bound);
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

/// What the nodes' reports say about the commits that they passed on as acknowledged.
pub(super) struct AcknowledgedCommits {
    /// The end of all of them; `None` unless every process that may have passed on one reported.
    pub(super) end: Option<Position>,
    /// None that a process has reported is beyond this position.
    pub(super) reported_end: Position,
    /// Some of them is at this position or beyond it.
    pub(super) at_least: Position,
}

/// Queries the nodes for the commits that they passed on as acknowledged under the primary with token `primary_fence`.
/// Nodes that report pass on no further acknowledgements of requests sent under a lower token than `fence`.
pub(super) async fn gather_acknowledged(
    node: &Arc<Node>,
    group: &Name,
    primary_fence: Option<FencingToken>,
    fence: FencingToken,
) -> AcknowledgedCommits {
    let bounds = &node.promotion_state.acknowledged_bounds;
    let bound = primary_fence.and_then(|primary_fence| bounds.under(group, primary_fence));
    let gathered = gather_reports(node, group, fence).await;
    // A process serves clients only after it enrolled, and so before the assignment was closed.
    let enrolled = node.feed_state.lock().unwrap().nodes.clone();
    let end = bound.and_then(|bound| bound.acknowledged_end(&gathered.reports, &enrolled));
    let reported_end = gathered.reports.values().map(|report| report.end).max().unwrap_or_default();
    let end = end.filter(|_| gathered.complete);
    AcknowledgedCommits { end, reported_end, at_least: gathered.at_least }
}
