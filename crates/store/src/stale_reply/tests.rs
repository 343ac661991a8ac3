//! What a tail that has lost its lease lets out.
use super::without_lease;
use crate::feed::{FeedSnapshot, PackedSnapshot};
use crate::messages::Reply;
use crate::timing::NODE_LEASE;
use crate::view::View;

#[test]
fn nothing_that_gives_a_node_its_lease_leaves_a_tail_without_one() {
    let snapshot = PackedSnapshot::pack(&FeedSnapshot::default());
    let replies = [
        Reply::Changes { changes: Vec::new(), lease_ms: NODE_LEASE },
        Reply::Snapshot { snapshot: Box::default(), lease_ms: NODE_LEASE },
        Reply::PackedSnapshot { snapshot, lease_ms: NODE_LEASE },
    ];
    for reply in replies {
        let replaced = without_lease(reply, &View::default());
        assert!(matches!(replaced, Reply::Redirect { .. }), "{replaced:?}");
    }
}
