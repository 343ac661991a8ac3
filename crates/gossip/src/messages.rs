//! Messages between nodes (§6).
use crate::short;
use quincehatch_core::{FencingToken, Name, Position, ServerHeartbeat, Version, messages};
use quincehatch_proxy::session::SessionState;

messages! {
    #[derive(Copy, Eq, Hash, PartialOrd, Ord, Default)]
    pub enum MemberStatus { #[default] Alive, Suspect, Dead, Left }

    /// What is said of one node; a higher incarnation wins, then the graver state (§6.2).
    #[derive(Eq, Default)]
    pub struct MemberRecord {
        #[borsh(serialize_with = "short::serialize", deserialize_with = "short::deserialize")]
        pub name: Name,
        #[borsh(serialize_with = "short::serialize", deserialize_with = "short::deserialize")]
        pub addr: Name,
        #[borsh(serialize_with = "short::serialize", deserialize_with = "short::deserialize")]
        pub zone: Name,
        pub incarnation: u64,
        pub status: MemberStatus
    }

    pub enum GossipMessage {
        Ping { seq: u64 },
        Pong { seq: u64 },
        /// Ask `target` for me; the answer comes back as a `Pong` with my number.
        PingFor { seq: u64, target: Name, addr: Name },
        /// Half of a partial view, to be swapped for as much of the other's (§6.1).
        Shuffle { peers: Vec<MemberRecord> },
        Shuffled { peers: Vec<MemberRecord> },
        /// Servers' beats on their way over the mesh.
        Heartbeats { heartbeats: Vec<ServerHeartbeat> }
    }

    /// Every message carries its sender and fresh rumors.
    pub struct GossipEnvelope { pub from: MemberRecord, pub records: Vec<MemberRecord>, pub message: GossipMessage }

    /// Questions between nodes that need an answer.
    pub enum NodeQuery {
        StoreSession { session: SessionState },
        FindSession { id: Name },
        SessionDigests { from: Name, digests: Vec<u64> },
        SessionRange { from: Name, range: u8, have: Vec<(Name, Version)> },
        /// What do you see of this server?
        ServerEvidence { server: Name },
        /// A group's lead stalls, as seen from here: told to whoever looks after the group.
        SuspectPrimary { group: Name, server: Name },
        /// How much work of the group is under way at that node?
        InFlight { group: Name },
        /// The node's report for operators, as JSON.
        Report { what: Name, key: Name },
        /// Where does what that node passed on as acknowledged end? Nothing sent under a lower fence is passed on after
        /// the answer (§5.5).
        AcknowledgedEnd {
            #[borsh(serialize_with = "short::serialize", deserialize_with = "short::deserialize")]
            group: Name,
            fence: FencingToken
        }
    }

    pub enum NodeReply {
        Done,
        FoundSession { session: Option<SessionState> },
        /// Ranges that differ.
        DifferingRanges { ranges: Vec<u8> },
        /// Contexts newer here, and ids of which the asker has the newer.
        SessionRepair { newer: Vec<SessionState>, wanted: Vec<Name> },
        ServerEvidence { heard: bool, failing: bool, stalled: bool, answering: bool },
        InFlight { count: u64 },
        Report { json: String },
        /// `life` tells this process from one before it, which may have passed on more.
        AcknowledgedEnd { end: Position, incarnation: u64 }
    }

    pub enum NodeRequest { Gossip { message: GossipEnvelope }, Query { query: NodeQuery } }

    pub enum NodeResponse { Accepted, Reply { reply: NodeReply } }
}
