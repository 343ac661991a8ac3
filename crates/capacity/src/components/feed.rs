//! Costs at a node of applying the changes that the tail sends.
use super::frames::{ADOPTED, NEXT_ADOPTED, feed_snapshot};
use super::store::{adopt, populated_store};
use crate::cpu::timed;
use crate::samples::server_record;
use quincehatch_node::feed::cluster_state_from;
use quincehatch_proxy::registry::ClusterState;
use quincehatch_store::{Change, FeedEvent, FeedState};

/// Processor time of one change, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ChangeCosts {
    /// Cost of a configuration in which one route changed.
    pub configuration_ms: f64,
    /// Cost of a server's record.
    pub server_ms: f64,
}

/// Measures the application of one change of each kind to the feed state of a node, in a cluster with `groups`
/// databases.
pub fn apply_changes(groups: usize) -> ChangeCosts {
    let mut store = populated_store(groups, ADOPTED);
    let mut feed = FeedState::from_snapshot(feed_snapshot(&store)).expect("what was packed");
    let before = cluster_state_from(&feed, &ClusterState::default());
    let configuration = adopt(&mut store, groups, NEXT_ADOPTED);
    let adopted = timed(|| apply(&mut feed, &configuration, &before));
    let event = FeedEvent::RegisterServer { record: server_record(1, 9_999) };
    let server = Change { number: feed.last_change + 1, event };
    let registered = timed(|| apply(&mut feed, &server, &adopted.result));
    ChangeCosts { configuration_ms: adopted.cpu_ms, server_ms: registered.cpu_ms }
}

fn apply(feed: &mut FeedState, change: &Change, before: &ClusterState) -> ClusterState {
    assert!(feed.apply(change), "it is the next change");
    cluster_state_from(feed, before)
}
