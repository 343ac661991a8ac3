//! Which kind of reply a keeper's caller expects (C5).
use quincehatch_store::{Reply, Request};

/// Which kind of answer a call expects.
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
    pub fn from_request(ask: &Request) -> CallKind {
        match ask {
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
    /// True if the reply is one that such a call may get.
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
