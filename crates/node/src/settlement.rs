//! Settlement of tenants' quotas: the node reports the operations it counted to the tail of the chain, which grants
//! further tokens.
use crate::node::Node;
use quincehatch_core::Millis;
use quincehatch_quota::{Claim, Settlement};
use quincehatch_runtime::{now, seam};
use quincehatch_store::timing::feed_poll_wait;
use quincehatch_store::{Reply, Request};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time after which an unanswered settlement is abandoned, in milliseconds.
const SETTLE_TIMEOUT_MS: u64 = 250;
/// Number of feed polls per settlement. Settlements are rarer than polls because each costs traffic between zones.
const POLLS_PER_SETTLEMENT: u64 = 2;
/// Least time from sending one settlement to sending the next, however many operations wait, in milliseconds.
const MIN_INTERVAL_MS: u64 = 10;

/// Runs settlements for as long as the process runs: at intervals that grow with the fleet like those of the feed's
/// polls, and at once when an operation waits for a token.
pub async fn run_settlements(node: Arc<Node>) {
    loop {
        let interval = interval(&node);
        let quota = &node.proxy.quota;
        if !quota.has_waiting_operations() {
            let _ = seam::timeout(Duration::from_millis(interval), quota.settlement_requested()).await;
        }
        let started_at = now();
        settle(&node, interval).await;
        let pause = (started_at + MIN_INTERVAL_MS).saturating_sub(now());
        seam::sleep(Duration::from_millis(pause)).await;
    }
}

fn interval(node: &Node) -> Millis {
    POLLS_PER_SETTLEMENT * feed_poll_wait(node.feed_state.lock().unwrap().nodes.len())
}

async fn settle(node: &Node, interval: Millis) {
    let claims = node.proxy.quota.begin_settlement(interval);
    if claims.is_empty() {
        return;
    }
    let settlement = send_claims(node, claims).await;
    node.proxy.quota.end_settlement(settlement.as_ref());
}

/// Sends the claims to the tail and returns its grants; `None` if it did not answer.
async fn send_claims(node: &Node, claims: Vec<Claim>) -> Option<Settlement> {
    let request = Request::SettleQuota {
        node: node.proxy.settings.name.as_str().into(),
        enrolled: node.enrollment.load(Ordering::SeqCst),
        claims,
    };
    let tail = node.store_client.tail_address();
    match node.store_client.call(&tail, request, Duration::from_millis(SETTLE_TIMEOUT_MS)).await {
        Ok(Reply::QuotaGranted { settlement }) => Some(settlement),
        Ok(Reply::Redirect { view }) => {
            node.store_client.adopt_view_if_newer(view);
            None
        }
        _ => None,
    }
}
