//! A group's earlier voter sets, which stay valid beside the current one until the current set is known to hold all of
//! the primary's log.
use crate::node::Node;
use quincehatch_core::{FencingToken, Name};
use quincehatch_store::Command;
use quincehatch_store::store::promotion_role_key;
use std::time::Duration;

const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Removes the earlier voter sets from the assignment under this fencing token. If the write fails, a later call
/// retries it.
pub(super) async fn drop_previous_voters(node: &Node, group: &Name, fence: FencingToken) {
    let key = format!("{}/lists/{fence}", promotion_role_key(group));
    let command = Command::DropPreviousVoters { group: group.clone(), fence };
    let _ = node.store_client.write(&key, command, WRITE_TIMEOUT).await;
}
