//! What nodes and operators ask of a keeper, and its replies.
use super::peer::PeerMessage;
use super::status::KeeperStatus;
use crate::command::{Answer, Command};
use crate::feed::{Change, FeedSnapshot, PackedSnapshot};
use crate::store::{AdoptedDocument, Store};
use crate::view::{View, Voter};
use quincehatch_core::{ChangeNumber, Error, Millis, Name, Version, messages};
use quincehatch_quota::{Claim, Settlement, TenantUsage};

messages! {
    /// Everything that a keeper receives over its listener.
    pub enum KeeperRequest {
        /// From another keeper.
        Peer {
            /// The sender's name.
            from: Name,
            /// The message.
            message: PeerMessage
        },
        /// From a node or an operator.
        Node {
            /// The request.
            request: Request
        }
    }

    /// What a keeper answers on the same connection.
    pub enum KeeperResponse {
        /// The peer's message was delivered; whatever answers it is a message of its own.
        Delivered,
        /// The reply to a node's or an operator's request.
        Reply {
            /// The reply.
            reply: Reply
        }
    }

    /// A request of a node or an operator.
    pub enum Request {
        /// A node's poll for changes, to the tail. It renews the node's lease.
        Feed {
            /// The node's name.
            node: Name,
            /// Where the node is reached by other nodes.
            addr: Name,
            /// The newest change that the node has applied.
            last_change: ChangeNumber,
            /// The version of the configuration that the node has applied.
            applied: Version,
            /// The number of the entry that enrolled the node's process.
            enrolled: ChangeNumber
        },
        /// A write, to the head.
        Write {
            /// The idempotency key. A write that is sent again with the same key takes effect once.
            key: Name,
            /// The command to replicate.
            command: Command
        },
        /// Adds or removes one voter.
        ChangeVoters {
            /// The version of the view that is to be changed.
            version: Version,
            /// The voters of the next view.
            voters: Vec<Voter>
        },
        /// The whole store, as committed at the tail.
        ReadStore,
        /// The operator's document in force, as committed at the tail.
        ReadDocument,
        /// The keeper's own status.
        Status,
        /// The view that the keeper knows. A status has every node's lease, which many nodes do not need to ask for.
        CurrentView,
        /// A node settles its tenants' operations with the tail.
        SettleQuota {
            /// The node's name.
            node: Name,
            /// The number of the entry that enrolled the node's process.
            enrolled: ChangeNumber,
            /// What it says of each tenant of which there is something to say.
            claims: Vec<Claim>
        },
        /// What the tail knows of tenants' operations.
        ReadQuota
    }

    /// The reply to a [`Request`].
    pub enum Reply {
        /// The changes after the one that the node has applied.
        Changes {
            /// Consecutive changes; empty if there are none yet.
            changes: Vec<Change>,
            /// The term of the node's lease, from the time when the node sent its poll.
            lease_ms: Millis
        },
        /// The state that nodes act on, as keepers of earlier versions send it.
        Snapshot {
            /// The state.
            snapshot: Box<FeedSnapshot>,
            /// The term of the node's lease, from the time when the node sent its poll.
            lease_ms: Millis
        },
        /// The whole store.
        Store {
            /// The store.
            store: Box<Store>
        },
        /// The answer to a write.
        Answer {
            /// The entry that must be committed for the answer to hold.
            number: ChangeNumber,
            /// The answer.
            answer: Answer
        },
        /// The operator's document in force.
        Document {
            /// The document; `None` if none was adopted yet.
            document: Option<AdoptedDocument>
        },
        /// The node's process is not enrolled, so it is granted no lease.
        NotEnrolled,
        /// This keeper does not answer the request; the head or the tail of the view does.
        Redirect {
            /// The view that this keeper knows.
            view: View
        },
        /// The keeper's own status.
        Status {
            /// The status.
            status: KeeperStatus
        },
        /// The request was not carried out, or its outcome is unknown; the error says which.
        Rejected {
            /// Why.
            error: Error
        },
        /// The state that nodes act on, if the tail's changes do not reach back far enough.
        PackedSnapshot {
            /// The state.
            snapshot: PackedSnapshot,
            /// The term of the node's lease, from the time when the node sent its poll; 0 if the snapshot lacks changes,
            /// which the next poll brings.
            lease_ms: Millis
        },
        /// What the tail grants a node.
        QuotaGranted {
            /// What it grants, and what it says of tenants.
            settlement: Settlement
        },
        /// What the tail knows of tenants' operations.
        Quota {
            /// Each tenant that has a limit.
            tenants: Vec<TenantUsage>
        }
    }
}
