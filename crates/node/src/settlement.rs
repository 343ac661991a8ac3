//! Settles the operations of tenants with the tail of the chain.
use crate::node::Node;
use quincehatch_core::Millis;
use quincehatch_quota::{Claim, Settlement};
use quincehatch_runtime::{now, seam};
use quincehatch_store::timing::feed_poll_wait;
use quincehatch_store::{Reply, Request};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A settlement that was not answered by then is given up, in milliseconds.
const SETTLE_TIMEOUT_MS: u64 = 250;
/// Settlements are rarer than polls of the feed: each costs bytes between zones.
const POLLS_PER_SETTLEMENT: u64 = 2;
/// The least time between two settlements, from send to send, however many operations wait.
const MIN_INTERVAL_MS: u64 = 10;

/// Settles for as long as the process runs: at intervals that grow with the fleet like the polls of the feed, and at once
/// when an operation waits for a token.
pub async fn run_settlements(node: Arc<Node>) {
    loop {
        let interval = interval(&node);
        let quota = &node.proxy.quota;
        if !quota.has_waiting_operations() {
            let _ = seam::timeout(Duration::from_millis(interval), quota.settlement_requested()).await;
        }
        let began = now();
        settle(&node, interval).await;
        let pause = (began + MIN_INTERVAL_MS).saturating_sub(now());
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
    let settlement = ask_tail(node, claims).await;
    node.proxy.quota.end_settlement(settlement.as_ref());
}

/// What the tail grants; `None` if it did not answer.
async fn ask_tail(node: &Node, claims: Vec<Claim>) -> Option<Settlement> {
    let request = Request::SettleQuota {
        node: node.proxy.settings.name.as_str().into(),
        enrolled: node.enrollment.load(Ordering::SeqCst),
        claims,
    };
    let tail = node.store_client.tail_address();
    match node.store_client.call(&tail, request, Duration::from_millis(SETTLE_TIMEOUT_MS)).await {
        Ok(Reply::QuotaGranted { settlement }) => Some(settlement),
        Ok(Reply::Redirect { view }) => {
            node.store_client.learn_view(view);
            None
        }
        _ => None,
    }
}
