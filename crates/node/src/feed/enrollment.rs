//! Enrollment of this process among those that may hold leases, and its end.
use crate::node::Node;
use quincehatch_core::{ChangeNumber, Name};
use quincehatch_runtime::seam;
use quincehatch_store::{Answer, Command};
use std::sync::atomic::Ordering;
use std::time::Duration;

const ENROLL_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// A node that leaves does not wait longer to say so: its lease runs out anyway.
const DISMISS_TIMEOUT: Duration = Duration::from_millis(400);

/// Enrolls this process for the `count`th time. Returns the number of the store entry that did so; 0 if the store did not
/// answer.
pub(super) async fn enroll(node: &Node, count: u64) -> ChangeNumber {
    let name = Name::from(node.proxy.settings.name.as_str());
    let incarnation = seam::incarnation();
    let key = format!("enroll/{name}/{incarnation:x}/{count}");
    let command = Command::EnrollNode { node: name, incarnation };
    match node.store_client.write(&key, command, ENROLL_TIMEOUT).await {
        Ok(Answer::Enrolled(number)) => number,
        _ => {
            seam::sleep(RETRY_PAUSE).await;
            0
        }
    }
}

/// Ends this node's part in the cluster in order: it uses its lease no more, and tells the store so, so that nobody
/// waits for the lease to run out.
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
