//! Status polls of direct servers, from the node that owns their group's duty.
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

/// How often the primary is polled.
pub(super) const PRIMARY_INTERVAL: Millis = 400;
/// How often replicas are polled, and a primary that answered anything lately.
const REPLICA_INTERVAL: Millis = 2_000;
/// A primary that answered anything within this time need not be polled.
const RECENT_ANSWER: Millis = 300;
/// How soon a primary is polled that has denied to be one.
const DENIAL_INTERVAL: Millis = 100;
/// Replicas are polled as often as the primary once none was seen to receive anything for this long.
const BEHIND_LIMIT: Millis = 500;
/// An answer within this time serves another node's question.
const RECENT_EVIDENCE: Millis = 500;
/// A failure that lasts this long needs no other probe.
const CLEAR_FAILURE: Millis = 250;

/// Probes a server for another node's question, unless this node knows anyway whether it answers.
pub async fn probe_unless_recent(node: &Arc<Node>, server: &Name) {
    let Some(entry) = node.proxy.registry.server(server) else { return };
    let status = entry.status.lock().unwrap().clone();
    let clearly_failing = status.failing_since.is_some_and(|since| now() >= since + CLEAR_FAILURE);
    if !clearly_failing && now() >= status.answered_at + RECENT_EVIDENCE {
        query_status(node, server).await;
    }
}

/// Polls those servers that are due, each in a task of its own.
pub(super) fn poll_servers(node: &Arc<Node>, servers: &[Arc<ServerEntry>], state: &mut GroupState) {
    let primary = state.primary_server();
    state.direct.polls.retain(|name, _| servers.iter().any(|server| server.name == *name));
    update_replication_lag(node, servers, primary.as_ref(), state);
    for server in servers {
        let status = server.status.lock().unwrap().clone();
        let target = PollTarget { is_primary: primary.as_ref() == Some(&server.name), status };
        let frequent = primary.is_none() || state.direct.replicas_behind_for > BEHIND_LIMIT;
        let denied_before = state.not_primary_since.is_some();
        let poll = state.direct.polls.entry(server.name.clone()).or_default();
        if !target.is_due(poll, frequent, denied_before) {
            continue;
        }
        let (node, name) = (node.clone(), server.name.clone());
        let task = seam::spawn(async move {
            let _ = query_status(&node, &name).await;
        });
        poll.begin(now(), task);
    }
}

struct PollTarget {
    is_primary: bool,
    status: StatusRecord,
}

impl PollTarget {
    /// `frequent`: replicas are polled as often as the primary. `denied_before`: the primary has reported that it is
    /// none.
    fn is_due(&self, poll: &Poll, frequent: bool, denied_before: bool) -> bool {
        if poll.is_under_way() {
            return false;
        }
        if poll.sent_at == 0 {
            return true;
        }
        let denied_since = self.status.denied_primary_at.is_some_and(|denied_at| denied_at > poll.sent_at);
        let denies_now = self.is_primary && denied_since;
        let suspect = denies_now || (self.is_primary && denied_before);
        if self.answered_recently() && !suspect && now() < poll.sent_at + REPLICA_INTERVAL {
            return false;
        }
        now() >= poll.sent_at + self.interval(frequent, denies_now)
    }

    /// A primary that answers clients need not be asked for more.
    fn answered_recently(&self) -> bool {
        self.is_primary
            && self.status.failing_since.is_none()
            && now() < self.status.answered_at + RECENT_ANSWER
    }

    fn interval(&self, frequent: bool, denies_now: bool) -> Millis {
        if denies_now {
            DENIAL_INTERVAL
        } else if self.is_primary || frequent {
            PRIMARY_INTERVAL
        } else {
            REPLICA_INTERVAL
        }
    }
}

/// Works out for how long no replica has received what the primary had.
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
    ReceivedSample { queried_at: sample.asked_at, received: sample.status.received }
}
