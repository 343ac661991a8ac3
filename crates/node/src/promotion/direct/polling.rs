//! Status polls of direct servers by the node that owns their group's duty.
use super::super::group_state::GroupState;
use super::group_state::Poll;
use super::server_calls::query_status;
use super::server_statuses::StatusSample;
use crate::node::Node;
use quincehatch_core::{Millis, Name, Role};
use quincehatch_failover::direct::replication::ReceivedSample;
use quincehatch_proxy::registry::{ServerEntry, StatusRecord};
use quincehatch_runtime::{now, seam};
use std::sync::Arc;

/// The interval at which the primary is polled.
pub(super) const PRIMARY_POLL_INTERVAL: Millis = 400;
/// The interval at which replicas are polled, and a primary that recently answered any request.
const REPLICA_POLL_INTERVAL: Millis = 2_000;
/// A primary that answered any request within this time is polled only at the interval of replicas.
const RECENT_ANSWER_WINDOW: Millis = 300;
/// The interval at which a primary is polled after it rejected a request because it is not the primary.
const DENIED_PRIMARY_POLL_INTERVAL: Millis = 100;
/// Replicas are polled as often as the primary once no replica has been observed to make progress for this long.
const REPLICAS_BEHIND_LIMIT: Millis = 500;
/// An answer within this time is recent enough for another node's query: the server is not probed again.
const RECENT_STATUS_WINDOW: Millis = 500;
/// A server that has been failing for this long is not probed again for another node's query.
const CLEAR_FAILURE_DURATION: Millis = 250;

/// Probes a server for another node's query, unless this node already knows whether the server answers.
pub async fn probe_unless_recent(node: &Arc<Node>, server: &Name) {
    let Some(entry) = node.proxy.registry.server(server) else { return };
    let status = entry.status.lock().unwrap().clone();
    let clearly_failing = status.failing_since.is_some_and(|since| now() >= since + CLEAR_FAILURE_DURATION);
    if !clearly_failing && now() >= status.answered_at + RECENT_STATUS_WINDOW {
        query_status(node, server).await;
    }
}

/// Polls the servers whose poll is due, each in a task of its own.
pub(super) fn poll_servers(node: &Arc<Node>, servers: &[Arc<ServerEntry>], state: &mut GroupState) {
    let primary = state.primary_server();
    state.direct.polls.retain(|name, _| servers.iter().any(|server| server.name == *name));
    update_replication_lag(node, servers, primary.as_ref(), state);
    for server in servers {
        let status = server.status.lock().unwrap().clone();
        let target = PollTarget { is_primary: primary.as_ref() == Some(&server.name), status };
        let poll_replicas_often =
            primary.is_none() || state.direct.replicas_behind_for > REPLICAS_BEHIND_LIMIT;
        let reported_not_primary = state.not_primary_since.is_some();
        let poll = state.direct.polls.entry(server.name.clone()).or_default();
        if !target.is_due(poll, poll_replicas_often, reported_not_primary) {
            continue;
        }
        let (node, name) = (node.clone(), server.name.clone());
        let task = seam::spawn(async move {
            let _ = query_status(&node, &name).await;
        });
        poll.begin(now(), task);
    }
}

/// What decides when a server is polled next.
struct PollTarget {
    is_primary: bool,
    status: StatusRecord,
}

impl PollTarget {
    /// `poll_replicas_often`: replicas are polled as often as the primary. `reported_not_primary`: the primary's latest
    /// status reports that it is not the primary.
    fn is_due(&self, poll: &Poll, poll_replicas_often: bool, reported_not_primary: bool) -> bool {
        if poll.is_in_flight() {
            return false;
        }
        if poll.sent_at == 0 {
            return true;
        }
        let denied_since = self.status.not_primary_at.is_some_and(|denied_at| denied_at > poll.sent_at);
        let denies_now = self.is_primary && denied_since;
        let role_in_doubt = denies_now || (self.is_primary && reported_not_primary);
        if self.answered_recently() && !role_in_doubt && now() < poll.sent_at + REPLICA_POLL_INTERVAL {
            return false;
        }
        now() >= poll.sent_at + self.interval(poll_replicas_often, denies_now)
    }

    /// Whether the server is a primary that recently answered any request, so that it need not be polled frequently.
    fn answered_recently(&self) -> bool {
        self.is_primary
            && self.status.failing_since.is_none()
            && now() < self.status.answered_at + RECENT_ANSWER_WINDOW
    }

    fn interval(&self, poll_replicas_often: bool, denies_now: bool) -> Millis {
        if denies_now {
            DENIED_PRIMARY_POLL_INTERVAL
        } else if self.is_primary || poll_replicas_often {
            PRIMARY_POLL_INTERVAL
        } else {
            REPLICA_POLL_INTERVAL
        }
    }
}

/// Updates for how long no replica has received what the primary had.
fn update_replication_lag(
    node: &Node,
    servers: &[Arc<ServerEntry>],
    primary: Option<&Name>,
    state: &mut GroupState,
) {
    let statuses = &node.promotion_state.server_statuses;
    let latest = |name: &Name| statuses.latest_since(name, state.primary_since);
    let primary_sample = primary.and_then(latest).filter(|sample| sample.status.role == Role::Primary);
    let Some(primary_sample) = primary_sample else {
        state.direct.watermark = Default::default();
        state.direct.replicas_behind_for = 0;
        return;
    };
    let replicas = servers.iter().filter(|server| primary != Some(&server.name));
    let replica_samples: Vec<ReceivedSample> =
        replicas.filter_map(|server| latest(&server.name)).map(received).collect();
    state.direct.replicas_behind_for =
        state.direct.watermark.update(received(primary_sample), &replica_samples);
}

fn received(sample: StatusSample) -> ReceivedSample {
    ReceivedSample { queried_at: sample.requested_at, received: sample.status.received }
}
