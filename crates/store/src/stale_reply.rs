//! Replies that rest on a lease which ended before they left the keeper.
use crate::messages::Reply;
use crate::timing::RETRY_PENDING_AFTER;
use crate::view::View;
use quincehatch_core::ErrorCode;

/// The reply that a tail without its lease may give in place of `reply`. Reads and node leases are to be asked for
/// elsewhere; the outcome of a write that was committed under that lease is unknown, and the write is to be repeated.
pub(crate) fn without_lease(reply: Reply, view: &View) -> Reply {
    match reply {
        Reply::Changes { .. }
        | Reply::Snapshot { .. }
        | Reply::PackedSnapshot { .. }
        | Reply::Store { .. }
        | Reply::Document { .. }
        | Reply::QuotaGranted { .. }
        | Reply::Quota { .. } => Reply::Redirect { view: view.clone() },
        Reply::Answer { .. } => {
            let error = ErrorCode::ChainUnavailable
                .with_detail("the lease ended while the disk was written")
                .with_unknown_outcome();
            Reply::Rejected { error: error.with_retry_after(RETRY_PENDING_AFTER) }
        }
        // Each variant is named: a new one that rests on the lease must not be let through.
        Reply::NotEnrolled | Reply::Redirect { .. } | Reply::Status { .. } | Reply::Rejected { .. } => reply,
    }
}

#[cfg(test)]
mod tests;
