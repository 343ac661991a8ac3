//! Polls the change feed at the tail of the keepers' chain, and applies what it returns.
use super::cluster_state::publish;
use super::enrollment::enroll;
use super::lease_log::LeaseLog;
use crate::node::Node;
use quincehatch_core::{ChangeNumber, Error, ErrorCode, Millis, Name, ServerRecord};
use quincehatch_runtime::{now, seam};
use quincehatch_store::timing::{MIN_FEED_POLL_WAIT, feed_poll_wait, minus_clock_drift};
use quincehatch_store::{Change, FeedSnapshot, FeedState, Reply, Request};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time that a poll may take beyond the tail's own limit on holding it, in milliseconds. A poll that times out may be
/// sent to another keeper next.
const POLL_GRACE_MS: u64 = 400;
/// Longest timeout of a poll, in milliseconds. The answer of a poll that timed out may be a snapshot still in transit,
/// so the next poll at the same tail gets twice the time.
const MAX_POLL_MS: u64 = 3_000;
/// How often the timeout is doubled at most.
const MAX_DOUBLINGS: u32 = 3;
/// Least time from sending a poll that brings no change to sending the next, in milliseconds. The tail holds a poll
/// until there is a change or its limit is reached.
const POLL_INTERVAL_MS: u64 = 20;
/// Least time from sending a poll that brings no lease to sending the next, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 60;
/// Number of nodes that may retry every 60 ms without overloading the keepers; in a larger fleet each node retries less
/// often.
const NODES_PER_RETRY_INTERVAL: u64 = 60;
/// Least pause after a poll that brings no change, in milliseconds.
const MIN_PAUSE_MS: u64 = 5;

/// Enrolls the node and applies the feed until the node leaves the cluster.
pub async fn follow(node: Arc<Node>) {
    let mut follower = FeedFollower::new(node);
    while !follower.has_left() {
        if follower.enrollment == 0 {
            follower.enroll().await;
        } else {
            follower.poll().await;
        }
    }
}

struct FeedFollower {
    node: Arc<Node>,
    /// The address of the tail, which is polled.
    tail: String,
    /// The number of the store entry that enrolled this process; 0 while it is not enrolled.
    enrollment: ChangeNumber,
    /// The number of enrollments of this process so far, including a pending one. An unanswered enrollment is retried
    /// with the same number: the store may have applied it, and a new enrollment would supersede it.
    enrollment_count: u64,
    lease_log: LeaseLog,
    /// The number of consecutive polls at this tail that were not answered in time.
    unanswered_polls: u32,
    /// The records of direct servers as last published to the registry.
    published_servers: BTreeMap<Name, ServerRecord>,
}

impl FeedFollower {
    fn new(node: Arc<Node>) -> Self {
        Self {
            tail: node.store_client.tail_address(),
            node,
            enrollment: 0,
            enrollment_count: 1,
            lease_log: LeaseLog::default(),
            unanswered_polls: 0,
            published_servers: BTreeMap::new(),
        }
    }

    fn has_left(&self) -> bool {
        self.node.has_left.load(Ordering::SeqCst)
    }

    async fn enroll(&mut self) {
        self.enrollment = enroll(&self.node, self.enrollment_count).await;
        self.node.enrollment.store(self.enrollment, Ordering::SeqCst);
    }

    /// Returns the number of enrolled nodes, which all poll the tail.
    fn enrolled_nodes(&self) -> usize {
        self.node.feed_state.lock().unwrap().nodes.len()
    }

    /// Returns once some keeper reports a view whose tail is not the polled one.
    async fn wait_for_other_tail(&self) {
        let pause = Duration::from_millis(self.usual_poll_ms());
        loop {
            seam::sleep(pause).await;
            self.node.store_client.refresh_view().await;
            if self.node.store_client.tail_address() != self.tail {
                return;
            }
        }
    }

    /// Returns the time within which a poll is answered unless the answer is long, in milliseconds.
    fn usual_poll_ms(&self) -> u64 {
        feed_poll_wait(self.enrolled_nodes()) + POLL_GRACE_MS
    }

    /// Returns the timeout of the next poll, in milliseconds. It is long in a large fleet, where the tail may delay a
    /// long answer, and for a node without state, which waits for a snapshot. Otherwise it is short, so that the node
    /// soon detects a failed tail.
    fn poll_timeout_ms(&self) -> u64 {
        let timeout_ms = self.usual_poll_ms();
        if self.last_change() > 0 && timeout_ms > MIN_FEED_POLL_WAIT + POLL_GRACE_MS {
            return MAX_POLL_MS;
        }
        let doublings = if self.last_change() == 0 { self.unanswered_polls } else { 0 };
        timeout_ms.saturating_mul(1 << doublings.min(MAX_DOUBLINGS)).min(MAX_POLL_MS)
    }

    fn last_change(&self) -> ChangeNumber {
        self.node.feed_state.lock().unwrap().last_change
    }

    async fn poll(&mut self) {
        let request = self.poll_request();
        let previous_change = self.last_change();
        // The lease is counted from the time before the poll is sent, so it never outlasts the tail's record of it.
        let sent_at = now();
        let timeout = Duration::from_millis(self.poll_timeout_ms());
        let polled_tail = self.tail.clone();
        let call = self.node.store_client.call(&self.tail, request, timeout);
        let reply = match seam::select_first(call, self.wait_for_other_tail()).await {
            Ok(reply) => reply,
            Err(()) => Err(ErrorCode::ChainUnavailable.with_detail("another keeper has become the tail")),
        };
        self.unanswered_polls = if reply.is_err() { self.unanswered_polls + 1 } else { 0 };
        let lease_ms = self.handle_reply(reply, &polled_tail).await;
        if self.tail != polled_tail {
            self.unanswered_polls = 0;
        }
        // The applied state is published to the registry before the next poll acknowledges it.
        if self.last_change() > previous_change {
            publish(&self.node, &mut self.published_servers);
        }
        if let Some(lease_ms) = lease_ms.filter(|_| !self.has_left()) {
            self.lease_log.record_renewal(sent_at);
            let lease_end = sent_at + minus_clock_drift(lease_ms);
            let renewal_due = sent_at + self.usual_poll_ms();
            self.node.proxy.registry.renew_lease_expecting(lease_end, renewal_due);
        }
        self.log_lease_change();
        // Applied changes are acknowledged by the next poll, which is therefore sent without a pause.
        if self.last_change() <= previous_change {
            self.pause(sent_at, lease_ms.is_some()).await;
        }
    }

    /// Applies the reply to a poll. Returns the lease term if the reply renews the lease.
    async fn handle_reply(&mut self, reply: Result<Reply, Error>, polled_tail: &str) -> Option<Millis> {
        match reply {
            Ok(Reply::Changes { changes, lease_ms }) => self.apply_changes(&changes).then_some(lease_ms),
            Ok(Reply::Snapshot { snapshot, lease_ms }) => self.apply_snapshot(*snapshot).then_some(lease_ms),
            Ok(Reply::PackedSnapshot { snapshot, lease_ms }) => {
                let is_applied = snapshot.unpack().is_some_and(|snapshot| self.apply_snapshot(snapshot));
                Some(lease_ms).filter(|lease_ms| is_applied && *lease_ms > 0)
            }
            Ok(Reply::Redirect { view }) => {
                self.lease_log.record_failure(format!("{polled_tail} redirected it"));
                self.node.store_client.adopt_view_if_newer(view);
                self.tail = self.node.store_client.tail_after_failure(&self.tail).await;
                None
            }
            Ok(Reply::NotEnrolled) => {
                self.lease_log.record_failure("this process is not enrolled".into());
                self.enrollment = 0;
                self.enrollment_count += 1;
                None
            }
            other => {
                let error = other.err().map_or_else(|| "unexpected reply".into(), |error| error.to_string());
                self.lease_log.record_failure(error);
                self.node.store_client.refresh_view().await;
                self.tail = self.node.store_client.tail_address();
                None
            }
        }
    }

    fn poll_request(&self) -> Request {
        let settings = &self.node.proxy.settings;
        let applied = self.node.feed_state.lock().unwrap();
        Request::Feed {
            node: settings.name.as_str().into(),
            addr: settings.gossip_listener.as_str().into(),
            last_change: applied.last_change,
            applied: applied.configuration_version,
            enrolled: self.enrollment,
        }
    }

    /// Applies changes and returns whether all were applied. A gap needs no handling: the next poll starts from the
    /// last applied change.
    fn apply_changes(&self, changes: &[Change]) -> bool {
        let mut state = self.node.feed_state.lock().unwrap();
        changes.iter().all(|change| state.apply(change))
    }

    /// Applies a snapshot and returns whether it was applied. A snapshot older than the applied state is rejected: a
    /// node never reverts to an older state.
    fn apply_snapshot(&self, snapshot: FeedSnapshot) -> bool {
        let mut state = self.node.feed_state.lock().unwrap();
        if snapshot.last_change < state.last_change {
            return false;
        }
        match FeedState::from_snapshot(snapshot) {
            Some(newer) => {
                *state = newer;
                true
            }
            None => false,
        }
    }

    fn log_lease_change(&mut self) {
        let has_lease = self.node.proxy.registry.has_lease();
        self.lease_log.log_change(&self.node.proxy.settings.name.as_str().into(), has_lease);
    }

    /// Returns the retry interval in milliseconds. In a large fleet it has random jitter, because all nodes lose a
    /// failed tail at the same moment.
    fn retry_interval_ms(&self) -> u64 {
        let max_jitter_intervals = self.enrolled_nodes() as u64 / NODES_PER_RETRY_INTERVAL;
        RETRY_INTERVAL_MS + fastrand::u64(0..=RETRY_INTERVAL_MS * max_jitter_intervals)
    }

    async fn pause(&self, sent_at: Millis, answered: bool) {
        let interval_ms = if answered { POLL_INTERVAL_MS } else { self.retry_interval_ms() };
        let pause_ms = (sent_at + interval_ms).saturating_sub(now()).max(MIN_PAUSE_MS);
        seam::sleep(Duration::from_millis(pause_ms)).await;
    }
}
