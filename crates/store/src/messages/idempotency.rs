//! Which calls to a keeper may be sent again, and by what a repeated one is recognized.
use super::{KeeperRequest, KeeperResponse, PeerMessage, Request};
use quincehatch_wire::{Call, IdempotencyKey, RetrySafety};

impl Call for KeeperRequest {
    type Answer = KeeperResponse;
    fn retry_safety(&self) -> RetrySafety {
        match self {
            KeeperRequest::Peer { message, .. } => message.retry_safety(),
            KeeperRequest::Node { request } => request.retry_safety(),
        }
    }
    fn kind(&self) -> &'static str {
        match self {
            KeeperRequest::Peer { message, .. } => message.kind(),
            KeeperRequest::Node { request } => request.kind(),
        }
    }
}

impl PeerMessage {
    /// All messages between keepers may be repeated: the protocol itself repeats whatever is lost.
    pub fn retry_safety(&self) -> RetrySafety {
        match self {
            // A voter answers the same ballot alike, and a proposer counts voters, not answers.
            PeerMessage::Prepare { .. }
            | PeerMessage::Promise { .. }
            | PeerMessage::Accept { .. }
            | PeerMessage::Accepted { .. } => RetrySafety::Idempotent(IdempotencyKey::Ballot),
            // A grant counts for the one heartbeat with its number, which no other process of the sender has used.
            PeerMessage::Heartbeat { .. } | PeerMessage::GrantViewLease { .. } => {
                RetrySafety::Idempotent(IdempotencyKey::Number)
            }
            // Entries apply at their own number only, acknowledgements only rise, and the rest of a lease's term is
            // counted from the arrival, so that a later copy does not claim less.
            PeerMessage::AppendEntries { .. }
            | PeerMessage::Acknowledge { .. }
            | PeerMessage::HandOverLeases { .. }
            | PeerMessage::Snapshot { .. }
            | PeerMessage::Discover { .. }
            | PeerMessage::CurrentView { .. } => RetrySafety::Idempotent(IdempotencyKey::Number),
            // The receiver proposes the view only while its base is the newest view known there.
            PeerMessage::Invite { .. } => RetrySafety::Idempotent(IdempotencyKey::Number),
            PeerMessage::RequestEntries { .. } | PeerMessage::FetchSnapshot { .. } => RetrySafety::ReadOnly,
        }
    }
}

impl Request {
    /// Which requests of nodes and operators may be repeated.
    pub fn retry_safety(&self) -> RetrySafety {
        match self {
            // It renews the lease of the same enrollment, and the node counts the term from before its first poll.
            Request::Feed { .. } => RetrySafety::Idempotent(IdempotencyKey::Number),
            Request::Write { .. } => RetrySafety::Idempotent(IdempotencyKey::Write),
            // Repeated after it took effect it would be rejected, because the view's version has changed: the sender
            // would be told that it failed.
            Request::ChangeVoters { .. } => RetrySafety::Never,
            // A repeated settlement would be granted tokens twice, and the first ones would be lost.
            Request::SettleQuota { .. } => RetrySafety::Never,
            Request::ReadStore
            | Request::ReadDocument
            | Request::ReadQuota
            | Request::Status
            | Request::CurrentView => RetrySafety::ReadOnly,
        }
    }
}
