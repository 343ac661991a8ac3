//! Earlier voter sets of a group, which hold beside the current one until the primary's log is known to be on it.
use crate::node::Node;
use quincehatch_core::{FencingToken, Name};
use quincehatch_store::Command;
use quincehatch_store::store::promotion_role_key;
use std::time::Duration;

const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Drops the earlier voter sets of the assignment under this token. If the write fails, a later call tries again.
pub(super) async fn drop_previous_voters(node: &Node, group: &Name, fence: FencingToken) {
    let key = format!("{}/lists/{fence}", promotion_role_key(group));
    let command = Command::DropPreviousVoters { group: group.clone(), fence };
    let _ = node.store_client.write(&key, command, WRITE_TIMEOUT).await;
}
