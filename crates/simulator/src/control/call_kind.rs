//! The kind of reply that a client of a keeper expects (check C5).
use quincehatch_store::{Reply, Request};

/// The kind of reply that a request expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    Status,
    View,
    Machines,
    Write,
    Read,
    Adopted,
    Feed,
    Settlement,
    Quota,
}

impl CallKind {
    pub fn from_request(request: &Request) -> CallKind {
        match request {
            Request::Status => CallKind::Status,
            Request::CurrentView => CallKind::View,
            Request::ChangeVoters { .. } => CallKind::Machines,
            Request::Write { .. } => CallKind::Write,
            Request::ReadStore => CallKind::Read,
            Request::ReadDocument => CallKind::Adopted,
            Request::Feed { .. } => CallKind::Feed,
            Request::SettleQuota { .. } => CallKind::Settlement,
            Request::ReadQuota => CallKind::Quota,
        }
    }
    /// Whether a request of this kind may get this reply.
    pub fn accepts(self, reply: &Reply) -> bool {
        match reply {
            Reply::Status { .. } => self == CallKind::Status,
            Reply::Answer { .. } => self == CallKind::Write,
            Reply::Store { .. } => self == CallKind::Read,
            Reply::Document { .. } => self == CallKind::Adopted,
            Reply::Changes { .. } | Reply::Snapshot { .. } | Reply::PackedSnapshot { .. } => {
                self == CallKind::Feed
            }
            Reply::NotEnrolled => matches!(self, CallKind::Feed | CallKind::Settlement),
            Reply::QuotaGranted { .. } => self == CallKind::Settlement,
            Reply::Quota { .. } => self == CallKind::Quota,
            Reply::Redirect { .. } | Reply::Rejected { .. } => true,
        }
    }
}
