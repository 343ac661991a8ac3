//! Messages between nodes. The order of variants and fields is the wire layout.
use crate::compact_name;
use quincehatch_core::{FencingToken, Name, Position, ServerHeartbeat, Version, messages};
use quincehatch_proxy::session::SessionState;

messages! {
    /// What is believed of a member. Of two records of one incarnation the later variant wins.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord, Default)]
    pub enum MemberStatus {
        /// It answers probes.
        #[default] Alive,
        /// A probe was not answered, directly or through others; it still counts as live.
        Suspect,
        /// It did not refute the suspicion in time.
        Dead,
        /// It announced that it leaves.
        Left
    }

    /// What is known of one member. The higher incarnation wins, then the later status.
    #[derive(Eq, Default)]
    pub struct MemberRecord {
        /// The node's name.
        #[borsh(serialize_with = "compact_name::serialize", deserialize_with = "compact_name::deserialize")]
        pub name: Name,
        /// The node's gossip address, `host:port`.
        #[borsh(serialize_with = "compact_name::serialize", deserialize_with = "compact_name::deserialize")]
        pub addr: Name,
        /// The zone the node runs in.
        #[borsh(serialize_with = "compact_name::serialize", deserialize_with = "compact_name::deserialize")]
        pub zone: Name,
        /// Raised by the node at each start, and when it refutes a record of itself.
        pub incarnation: u64,
        /// What is believed of it.
        pub status: MemberStatus
    }

    /// One gossip message.
    pub enum GossipMessage {
        /// A probe, answered by a `Pong` of the same number.
        Ping {
            /// The sender's number of the probe.
            seq: u64
        },
        /// The answer to a probe.
        Pong {
            /// The number of the probe.
            seq: u64
        },
        /// Asks the receiver to probe `target` for the sender; the answer comes back as a `Pong` with this number.
        PingFor {
            /// The sender's number of the probe.
            seq: u64,
            /// The name of the member to probe.
            target: Name,
            /// The address of the member to probe.
            addr: Name
        },
        /// Half of a partial view, to be exchanged for as much of the receiver's.
        Shuffle {
            /// Members of the sender's view.
            peers: Vec<MemberRecord>
        },
        /// The answer to a `Shuffle`.
        Shuffled {
            /// Members of the answering node's view.
            peers: Vec<MemberRecord>
        },
        /// Servers' heartbeats, disseminated among the nodes.
        Heartbeats {
            /// The heartbeats.
            heartbeats: Vec<ServerHeartbeat>
        },
        /// Asks for member records where the receiver knows others than the sender.
        CompareMembers {
            /// A digest of the live members in each range of names.
            digests: Vec<u64>
        },
        /// The answer to a `CompareMembers` whose digests differed; the records that differ were sent before it.
        ComparedMembers {
            /// The answering node's digests.
            digests: Vec<u64>
        }
    }

    /// A gossip message with its sender and recently changed member records.
    pub struct GossipEnvelope {
        /// The sender's record of itself.
        pub from: MemberRecord,
        /// Records the receiver may not have yet.
        pub records: Vec<MemberRecord>,
        /// The message itself.
        pub message: GossipMessage
    }

    /// The version of one session replica.
    #[derive(Eq)]
    pub struct SessionVersion {
        /// The session.
        pub id: Name,
        /// The version of the replica.
        pub version: Version
    }

    /// Questions between nodes that need an answer.
    pub enum NodeQuery {
        /// Keep this session replica, unless a newer one is kept.
        StoreSession {
            /// The replica.
            session: SessionState
        },
        /// Is there a replica of this session?
        FindSession {
            /// The session.
            id: Name
        },
        /// Which ranges of the sessions that both nodes own differ?
        SessionDigests {
            /// The asking node.
            from: Name,
            /// One digest for each range.
            digests: Vec<u64>
        },
        /// What is newer on either side within this range?
        SessionRange {
            /// The asking node.
            from: Name,
            /// The number of the range.
            range: u8,
            /// The versions the asking node has.
            have: Vec<SessionVersion>
        },
        /// What has this node observed of the server?
        ServerEvidence {
            /// The server.
            server: Name
        },
        /// The asking node sees a group's primary stalled; sent to the node that watches the group.
        SuspectPrimary {
            /// The group.
            group: Name,
            /// Its primary.
            server: Name
        },
        /// How many requests to the group are in flight at this node?
        InFlight {
            /// The group.
            group: Name
        },
        /// A report for operators.
        Report {
            /// Which report.
            what: Name,
            /// What it is about; its meaning depends on the report.
            key: Name
        },
        /// Up to which position has this node acknowledged writes? After its answer it acknowledges nothing that was
        /// sent under a lower fence.
        AcknowledgedEnd {
            /// The group.
            #[borsh(serialize_with = "compact_name::serialize", deserialize_with = "compact_name::deserialize")]
            group: Name,
            /// The fence of the promotion that asks.
            fence: FencingToken
        }
    }

    /// Answers to [`NodeQuery`].
    pub enum NodeReply {
        /// It was done.
        Done,
        /// The replica that was found, if any.
        FoundSession {
            /// The replica.
            session: Option<SessionState>
        },
        /// Ranges whose digests differ.
        DifferingRanges {
            /// Their numbers.
            ranges: Vec<u8>
        },
        /// The difference within a range.
        SessionRepair {
            /// Replicas that are newer at the answering node.
            newer: Vec<SessionState>,
            /// Sessions of which the asking node has the newer replica.
            wanted: Vec<Name>
        },
        /// What this node has observed of a server.
        ServerEvidence {
            /// It was heard of lately.
            heard: bool,
            /// Its status checks fail.
            failing: bool,
            /// Its replies are overdue.
            stalled: bool,
            /// It answers status checks.
            answering: bool
        },
        /// Requests in flight.
        InFlight {
            /// How many.
            count: u64
        },
        /// A report for operators.
        Report {
            /// The report.
            json: String
        },
        /// Up to which position writes were acknowledged.
        AcknowledgedEnd {
            /// The position.
            end: Position,
            /// Tells this start of the process from an earlier one, which may have acknowledged more.
            incarnation: u64
        }
    }

    /// A request between nodes.
    pub enum NodeRequest {
        /// Gossip, which is answered by gossip.
        Gossip {
            /// The message.
            message: GossipEnvelope
        },
        /// A question.
        Query {
            /// The question.
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
