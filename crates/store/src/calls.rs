//! Which calls to a keeper may be sent again, and what they are recognized by then (§2.6).
use crate::messages::{KeeperRequest, KeeperResponse, PeerMessage, Request};
use quincehatch_wire::{Call, IdempotencyKey, RetrySafety};

impl Call for KeeperRequest {
    type Answer = KeeperResponse;
    fn retry_safety(&self) -> RetrySafety {
        match self {
            KeeperRequest::Peer { message: m, .. } => m.retry_safety(),
            KeeperRequest::Node { request } => request.retry_safety(),
        }
    }
}

impl PeerMessage {
    /// Keepers send each other nothing that counts twice: the protocol itself repeats whatever is lost.
    pub fn retry_safety(&self) -> RetrySafety {
        match self {
            // An acceptor answers the same ballot alike, and a proposer counts machines, not answers.
            PeerMessage::Prepare { .. }
            | PeerMessage::Promise { .. }
            | PeerMessage::Accept { .. }
            | PeerMessage::Accepted { .. } => RetrySafety::Idempotent(IdempotencyKey::Ballot),
            // A grant counts for the one heartbeat with its number, which no other life of the sender has used.
            PeerMessage::Beat { .. } | PeerMessage::GrantViewLease { .. } => {
                RetrySafety::Idempotent(IdempotencyKey::Number)
            }
            // Entries apply at their own number only, acknowledgements only rise, and what is left of a lease is counted
            // from the arrival, so that a later copy says no less.
            PeerMessage::AppendEntries { .. }
            | PeerMessage::Acknowledge { .. }
            | PeerMessage::HandOverLeases { .. }
            | PeerMessage::Snapshot { .. }
            | PeerMessage::Discover { .. }
            | PeerMessage::CurrentView { .. } => RetrySafety::Idempotent(IdempotencyKey::Number),
            // Its receiver proposes the view only while the version it builds on is the newest known.
            PeerMessage::Invite { .. } => RetrySafety::Idempotent(IdempotencyKey::Number),
            PeerMessage::RequestEntries { .. } | PeerMessage::FetchSnapshot { .. } => RetrySafety::ReadOnly,
        }
    }
}

impl Request {
    /// What nodes and operators ask.
    pub fn retry_safety(&self) -> RetrySafety {
        match self {
            // It renews the lease of the same entry; the node counts its term from before it first asked.
            Request::Feed { .. } => RetrySafety::Idempotent(IdempotencyKey::Number),
            Request::Write { .. } => RetrySafety::Idempotent(IdempotencyKey::Write),
            // Repeated after it took effect it would be declined, as the view has moved: a wrong answer.
            Request::ChangeVoters { .. } => RetrySafety::Never,
            Request::ReadStore | Request::Adopted | Request::Status => RetrySafety::ReadOnly,
        }
    }
}
