//! Enrollment of this process for leases, and its end when the node leaves the cluster.
use crate::node::Node;
use quincehatch_core::{ChangeNumber, Name};
use quincehatch_runtime::seam;
use quincehatch_store::{Answer, Command};
use std::sync::atomic::Ordering;
use std::time::Duration;

const ENROLL_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest time that a leaving node waits for its dismissal to be written; its lease expires anyway.
const DISMISS_TIMEOUT: Duration = Duration::from_millis(400);

/// Writes this process's enrollment. `enrollment_count` is part of the idempotency key: a retry repeats it, a new
/// enrollment increments it. Returns the number of the store entry that enrolled the process; 0 if the store did not
/// answer.
pub(super) async fn enroll(node: &Node, enrollment_count: u64) -> ChangeNumber {
    let name = Name::from(node.proxy.settings.name.as_str());
    let incarnation = seam::incarnation();
    let key = format!("enroll/{name}/{incarnation:x}/{enrollment_count}");
    let command = Command::EnrollNode { node: name, incarnation };
    match node.store_client.write(&key, command, ENROLL_TIMEOUT).await {
        Ok(Answer::Enrolled(number)) => number,
        _ => {
            seam::sleep(RETRY_PAUSE).await;
            0
        }
    }
}

/// Leaves the cluster: releases this node's lease and dismisses the node in the store, so that a new tail does not wait
/// for the lease to expire.
pub async fn leave_cluster(node: &Node) {
    node.has_left.store(true, Ordering::SeqCst);
    node.proxy.registry.release_lease();
    let enrolled = node.enrollment.load(Ordering::SeqCst);
    if enrolled > 0 {
        let name = Name::from(node.proxy.settings.name.as_str());
        let key = format!("dismiss/{name}/{enrolled}");
        let command = Command::DismissNode { node: name, enrolled };
        let _ = node.store_client.write(&key, command, DISMISS_TIMEOUT).await;
    }
}
