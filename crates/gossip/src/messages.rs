//! Messages between nodes. The order of variants and fields determines the wire layout.
use crate::compact_name;
use quincehatch_core::{Name, ServerHeartbeat, messages};

messages! {
    /// The status of a member. Of two records of the same incarnation, the one with the later variant is in force.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord, Default)]
    pub enum MemberStatus {
        /// The member answers probes.
        #[default] Alive,
        /// The member answered neither a direct nor an indirect probe; it still counts as live.
        Suspect,
        /// The member did not refute the suspicion in time.
        Dead,
        /// The member announced that it leaves.
        Left
    }

    /// The record of one member. Of two records, the one with the higher incarnation, then the later status, is in
    /// force.
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
        /// The incarnation, which the node raises at each start and when it refutes a record of itself.
        pub incarnation: u64,
        /// The status of the node.
        pub status: MemberStatus
    }

    /// One gossip message.
    pub enum GossipMessage {
        /// A probe, which is answered by a `Pong` with the same number.
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
        /// Half of the sender's partial view, in exchange for half of the receiver's view.
        Shuffle {
            /// Members of the sender's view.
            peers: Vec<MemberRecord>
        },
        /// The answer to a `Shuffle`.
        Shuffled {
            /// Members of the answering node's view.
            peers: Vec<MemberRecord>
        },
        /// Servers' heartbeats, which are disseminated among the nodes.
        Heartbeats {
            /// The heartbeats.
            heartbeats: Vec<ServerHeartbeat>
        },
        /// Requests the member records of the ranges whose digests differ between the sender and the receiver.
        CompareMembers {
            /// A digest of the live members in each range of names.
            digests: Vec<u64>
        },
        /// The answer to a `CompareMembers` whose digests differed. The records of the differing ranges are sent before
        /// it.
        ComparedMembers {
            /// The answering node's digests.
            digests: Vec<u64>
        }
    }

    /// A gossip message with its sender and recently changed member records.
    pub struct GossipEnvelope {
        /// The sender's record of itself.
        pub from: MemberRecord,
        /// Records that the receiver may not have yet.
        pub records: Vec<MemberRecord>,
        /// The message itself.
        pub message: GossipMessage
    }
}
