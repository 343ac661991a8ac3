//! Names of the kinds of messages, by which calls to keepers are counted.
use super::{PeerMessage, Request};

impl PeerMessage {
    /// Returns the name of the variant in snake case.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Prepare { .. } => "prepare",
            PeerMessage::Promise { .. } => "promise",
            PeerMessage::Accept { .. } => "accept",
            PeerMessage::Accepted { .. } => "accepted",
            PeerMessage::Heartbeat { .. } => "heartbeat",
            PeerMessage::GrantViewLease { .. } => "grant_view_lease",
            PeerMessage::AppendEntries { .. } => "append_entries",
            PeerMessage::RequestEntries { .. } => "request_entries",
            PeerMessage::Acknowledge { .. } => "acknowledge",
            PeerMessage::HandOverLeases { .. } => "hand_over_leases",
            PeerMessage::FetchSnapshot { .. } => "fetch_snapshot",
            PeerMessage::Snapshot { .. } => "snapshot",
            PeerMessage::Discover { .. } => "discover",
            PeerMessage::CurrentView { .. } => "current_view",
            PeerMessage::Invite { .. } => "invite",
        }
    }
}

impl Request {
    /// Returns the name of the variant in snake case.
    pub fn kind(&self) -> &'static str {
        match self {
            Request::Feed { .. } => "feed",
            Request::Write { .. } => "write",
            Request::ChangeVoters { .. } => "change_voters",
            Request::ReadStore => "read_store",
            Request::ReadDocument => "read_document",
            Request::Status => "status",
            Request::CurrentView => "current_view",
            Request::SettleQuota { .. } => "settle_quota",
            Request::ReadQuota => "read_quota",
        }
    }
}
