//! Replies that rested on a lease which has ended before they left (§5.7).
use crate::host::RETRY_PENDING_AFTER;
use crate::messages::{Reply, View};
use quincehatch_core::ErrorCode;

/// A reply as it may still be given by a tail whose lease has ended: reads and leases are to be asked for elsewhere, and
/// a write that was committed under that lease is to be asked for again.
pub(crate) fn without_lease(reply: Reply, view: &View) -> Reply {
    match reply {
        Reply::Changes { .. } | Reply::Snapshot { .. } | Reply::Store { .. } | Reply::Adopted { .. } => {
            Reply::Redirect { view: view.clone() }
        }
        Reply::Answer { .. } => {
            let why = ErrorCode::ChainUnavailable
                .with_detail("the lease ended while the disk was written")
                .with_unknown_outcome();
            Reply::Rejected { error: why.with_retry_after(RETRY_PENDING_AFTER) }
        }
        other => other,
    }
}
