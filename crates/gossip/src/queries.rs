//! Queries between nodes and their answers. The order of variants and fields determines the wire layout.
use crate::compact_name;
use crate::messages::GossipEnvelope;
use quincehatch_core::{FencingToken, Name, Position, Version, messages};
use quincehatch_proxy::session::SessionState;

messages! {
    /// The version of one session replica.
    #[derive(Eq)]
    pub struct SessionVersion {
        /// The identifier of the session.
        pub id: Name,
        /// The version of the replica.
        pub version: Version
    }

    /// Queries between nodes, which are answered by [`NodeReply`].
    pub enum NodeQuery {
        /// Store this session replica, unless the receiver has a newer one.
        StoreSession {
            /// The replica.
            session: SessionState
        },
        /// Return the replica of a session, if there is one.
        FindSession {
            /// The identifier of the session.
            id: Name
        },
        /// Return the ranges in which the replicas of the sessions that both nodes own differ.
        SessionDigests {
            /// The querying node.
            from: Name,
            /// One digest for each range.
            digests: Vec<u64>
        },
        /// Return the differences between the replicas of both nodes within a range.
        SessionRange {
            /// The querying node.
            from: Name,
            /// The number of the range.
            range: u8,
            /// The versions of the querying node's replicas.
            have: Vec<SessionVersion>
        },
        /// Return the receiver's observations of a server.
        ServerEvidence {
            /// The server.
            server: Name
        },
        /// Report that the querying node observes a stall of a group's primary. It is sent to the node that owns the
        /// group's promotion duty.
        SuspectPrimary {
            /// The group.
            group: Name,
            /// The group's primary.
            server: Name
        },
        /// Return the number of requests to the group that are in flight at the receiver.
        InFlight {
            /// The group.
            group: Name
        },
        /// Return a report for operators.
        Report {
            /// The kind of report.
            what: Name,
            /// The subject of the report; its meaning depends on the kind.
            key: Name
        },
        /// Return the position up to which the receiver has acknowledged writes. After its answer it acknowledges no
        /// write that was sent under a lower fencing token.
        AcknowledgedEnd {
            /// The group.
            #[borsh(serialize_with = "compact_name::serialize", deserialize_with = "compact_name::deserialize")]
            group: Name,
            /// The fencing token of the promotion that sends the query.
            fence: FencingToken
        },
        /// Take part in a handover: from its answer on the receiver acknowledges, of the writes that were sent under a
        /// lower fencing token, only those that the successor has reported to hold.
        JoinHandover {
            /// The group.
            #[borsh(serialize_with = "compact_name::serialize", deserialize_with = "compact_name::deserialize")]
            group: Name,
            /// The fencing token of the handover.
            fence: FencingToken,
            /// The server that is to become the primary.
            successor: Name
        },
        /// As `AcknowledgedEnd`, but the answer also says up to which position the receiver has acknowledged writes at
        /// least.
        AcknowledgedRange {
            /// The group.
            #[borsh(serialize_with = "compact_name::serialize", deserialize_with = "compact_name::deserialize")]
            group: Name,
            /// The fencing token of the promotion that sends the query.
            fence: FencingToken
        }
    }

    /// Answers to [`NodeQuery`].
    pub enum NodeReply {
        /// The query was carried out.
        Done,
        /// The replica that was found, if any.
        FoundSession {
            /// The replica, if there is one.
            session: Option<SessionState>
        },
        /// The ranges whose digests differ.
        DifferingRanges {
            /// The numbers of the ranges.
            ranges: Vec<u8>
        },
        /// The differences within a range.
        SessionRepair {
            /// Replicas that are newer at the answering node.
            newer: Vec<SessionState>,
            /// Sessions of which the querying node has the newer replica.
            wanted: Vec<Name>
        },
        /// The answering node's observations of a server.
        ServerEvidence {
            /// Whether the node knows the server.
            heard: bool,
            /// Whether status probes of the server fail.
            failing: bool,
            /// Whether replies of the server are overdue.
            stalled: bool,
            /// Whether the server answered statements recently.
            answering: bool
        },
        /// The requests in flight to a group.
        InFlight {
            /// The number of requests.
            count: u64
        },
        /// A report for operators.
        Report {
            /// The report as JSON.
            json: String
        },
        /// The position up to which the node has acknowledged writes.
        AcknowledgedEnd {
            /// The position.
            end: Position,
            /// The incarnation of the process. An earlier incarnation may have acknowledged more writes.
            incarnation: u64
        },
        /// Whether the node takes part in a handover.
        JoinedHandover {
            /// False if it takes part in a later handover of the group.
            joined: bool
        },
        /// What the node has acknowledged of a group's writes.
        AcknowledgedRange {
            /// No acknowledged write is beyond this position.
            end: Position,
            /// Some acknowledged write is at this position or beyond it.
            at_least: Position,
            /// The incarnation of the process. An earlier incarnation may have acknowledged more writes.
            incarnation: u64
        }
    }

    /// A request between nodes.
    pub enum NodeRequest {
        /// A gossip message. The response only accepts it; any reply is a separate gossip message.
        Gossip {
            /// The message.
            message: GossipEnvelope
        },
        /// A query.
        Query {
            /// The query.
            query: NodeQuery
        }
    }

    /// The answer to a [`NodeRequest`].
    pub enum NodeResponse {
        /// The gossip message was received.
        Accepted,
        /// The answer to a query.
        Reply {
            /// The answer.
            reply: NodeReply
        }
    }
}
