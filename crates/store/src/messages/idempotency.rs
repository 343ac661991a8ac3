//! Retry safety of calls to a keeper: which ones may be retried, and which key makes a retry idempotent.
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
    /// Returns why the message may be retried. All messages between keepers may be: the protocol itself resends
    /// whatever is lost.
    pub fn retry_safety(&self) -> RetrySafety {
        match self {
            // A voter gives the same answer to the same ballot, and a proposer counts voters, not answers.
            PeerMessage::Prepare { .. }
            | PeerMessage::Promise { .. }
            | PeerMessage::Accept { .. }
            | PeerMessage::Accepted { .. } => RetrySafety::Idempotent(IdempotencyKey::Ballot),
            // A grant counts only for the heartbeat with its sequence number, which no other process of the sender
            // uses.
            PeerMessage::Heartbeat { .. } | PeerMessage::GrantViewLease { .. } => {
                RetrySafety::Idempotent(IdempotencyKey::Number)
            }
            // An entry is applied only at its own number, acknowledged numbers only increase, and the remaining term of
            // a lease is counted from the arrival of the message, so a delayed copy cannot shorten it.
            PeerMessage::AppendEntries { .. }
            | PeerMessage::Acknowledge { .. }
            | PeerMessage::HandOverLeases { .. }
            | PeerMessage::Snapshot { .. }
            | PeerMessage::Discover { .. }
            | PeerMessage::CurrentView { .. } => RetrySafety::Idempotent(IdempotencyKey::Number),
            // The receiver proposes the view only while `base` is the newest view that it knows.
            PeerMessage::Invite { .. } => RetrySafety::Idempotent(IdempotencyKey::Number),
            PeerMessage::RequestEntries { .. } | PeerMessage::FetchSnapshot { .. } => RetrySafety::ReadOnly,
        }
    }
}

impl Request {
    /// Returns whether the request may be retried.
    pub fn retry_safety(&self) -> RetrySafety {
        match self {
            // A repeated poll renews the lease of the same enrollment, and the node counts the term from before it sent
            // the poll for the first time.
            Request::Feed { .. } => RetrySafety::Idempotent(IdempotencyKey::Number),
            Request::Write { .. } => RetrySafety::Idempotent(IdempotencyKey::Write),
            // A retry of a change that took effect would be rejected, because the version of the view has changed: the
            // sender would receive an error for a change that succeeded.
            Request::ChangeVoters { .. } => RetrySafety::Never,
            // A retry would be granted tokens a second time, and the tokens of the first grant would be lost.
            Request::SettleQuota { .. } => RetrySafety::Never,
            Request::ReadStore
            | Request::ReadDocument
            | Request::ReadQuota
            | Request::Status
            | Request::CurrentView => RetrySafety::ReadOnly,
        }
    }
}
