//! Requests of nodes and operators to a keeper, and its replies.
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
        /// A message from another keeper.
        Peer {
            /// The sender's name.
            from: Name,
            /// The message.
            message: PeerMessage
        },
        /// A request from a node or an operator.
        Node {
            /// The request.
            request: Request
        }
    }

    /// The response that a keeper sends on the same connection.
    pub enum KeeperResponse {
        /// The peer's message was delivered. If the protocol answers it, the answer is a separate message.
        Delivered,
        /// The reply to a node's or an operator's request.
        Reply {
            /// The reply.
            reply: Reply
        }
    }

    /// A request of a node or an operator.
    pub enum Request {
        /// A node polls the tail for changes. The poll renews the node's lease.
        Feed {
            /// The node's name.
            node: Name,
            /// The address at which other nodes reach the node.
            addr: Name,
            /// The newest change that the node has applied.
            last_change: ChangeNumber,
            /// The version of the configuration that the node has applied.
            applied: Version,
            /// The number of the entry that enrolled the node's process.
            enrolled: ChangeNumber
        },
        /// A write, which only the head accepts.
        Write {
            /// The idempotency key. A write that is retried with the same key takes effect only once.
            key: Name,
            /// The command to replicate.
            command: Command
        },
        /// Proposes a view in which one voter is added or removed.
        ChangeVoters {
            /// The version of the view that the change is based on.
            version: Version,
            /// The voters of the next view.
            voters: Vec<Voter>
        },
        /// Reads the whole store, as committed at the tail.
        ReadStore,
        /// Reads the operator's document in force, as committed at the tail.
        ReadDocument,
        /// Reads the keeper's own status.
        Status,
        /// Reads the newest view that the keeper knows. The reply is smaller than a status, which contains the leases
        /// of all nodes.
        CurrentView,
        /// A node reports the operations of its tenants to the tail and requests quota tokens for them.
        SettleQuota {
            /// The node's name.
            node: Name,
            /// The number of the entry that enrolled the node's process.
            enrolled: ChangeNumber,
            /// One claim for each tenant that has something to report or to request.
            claims: Vec<Claim>
        },
        /// Reads the tail's record of the tenants' quota usage.
        ReadQuota
    }

    /// The reply to a [`Request`].
    pub enum Reply {
        /// The changes after the last one that the node has applied.
        Changes {
            /// Consecutive changes; empty if there is nothing new.
            changes: Vec<Change>,
            /// The term of the node's lease, from the time when the node sent its poll.
            lease_ms: Millis
        },
        /// The state that nodes act on, in the uncompressed form that keepers of earlier versions send.
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
        /// This keeper does not serve the request; the client must send it to the head or the tail of the view.
        Redirect {
            /// The newest view that this keeper knows.
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
        /// The state that nodes act on, sent if the tail no longer retains all changes that the node lacks.
        PackedSnapshot {
            /// The state.
            snapshot: PackedSnapshot,
            /// The term of the node's lease, from the time when the node sent its poll; 0 if the snapshot lacks the
            /// newest changes, which the node receives with its next poll.
            lease_ms: Millis
        },
        /// The quota tokens that the tail grants a node.
        QuotaGranted {
            /// The grants, and the state of the tenants.
            settlement: Settlement
        },
        /// The tail's record of the tenants' quota usage.
        Quota {
            /// The usage of each tenant that has a limit.
            tenants: Vec<TenantUsage>
        }
    }
}
