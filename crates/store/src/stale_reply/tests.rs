//! Replies of a tail whose view lease has ended.
use super::replace_lease_dependent_reply;
use crate::feed::{FeedSnapshot, PackedSnapshot};
use crate::messages::Reply;
use crate::timing::NODE_LEASE;
use crate::view::View;

#[test]
fn replies_that_grant_node_leases_are_redirected_after_the_view_lease_has_ended() {
    let snapshot = PackedSnapshot::pack(&FeedSnapshot::default());
    let replies = [
        Reply::Changes { changes: Vec::new(), lease_ms: NODE_LEASE },
        Reply::Snapshot { snapshot: Box::default(), lease_ms: NODE_LEASE },
        Reply::PackedSnapshot { snapshot, lease_ms: NODE_LEASE },
    ];
    for reply in replies {
        let replaced = replace_lease_dependent_reply(reply, &View::default());
        assert!(matches!(replaced, Reply::Redirect { .. }), "{replaced:?}");
    }
}
