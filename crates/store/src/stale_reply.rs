//! Replacement of replies that depend on a lease which ended before they left the keeper.
use crate::messages::Reply;
use crate::timing::RETRY_PENDING_AFTER;
use crate::view::View;
use quincehatch_core::ErrorCode;

/// Returns the reply that a tail whose lease has ended may send in place of `reply`. Reads and polls are redirected.
/// The outcome of a write that was committed under that lease is unknown, so the client must retry the write.
pub(crate) fn replace_lease_dependent_reply(reply: Reply, view: &View) -> Reply {
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
                .with_detail("the view lease ended while the disk was being written")
                .with_unknown_outcome();
            Reply::Rejected { error: error.with_retry_after(RETRY_PENDING_AFTER) }
        }
        // All variants are listed, so that a new variant that depends on the lease is not passed through by default.
        Reply::NotEnrolled | Reply::Redirect { .. } | Reply::Status { .. } | Reply::Rejected { .. } => reply,
    }
}

#[cfg(test)]
mod tests;
