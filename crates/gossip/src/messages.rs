//! Messages between nodes (§6).
use crate::short;
use quincehatch_core::{ServerHeartbeat, FencingToken, Name, Position, Version, messages};
use quincehatch_proxy::session::Context;

messages! {
    #[derive(Copy, Eq, Hash, PartialOrd, Ord, Default)]
    pub enum Life { #[default] Alive, Suspect, Dead, Left }

    /// What is said of one node; a higher incarnation wins, then the graver state (§6.2).
    #[derive(Eq, Default)]
    pub struct Rumor {
        #[borsh(serialize_with = "short::serialize", deserialize_with = "short::deserialize")]
        pub name: Name,
        #[borsh(serialize_with = "short::serialize", deserialize_with = "short::deserialize")]
        pub addr: Name,
        #[borsh(serialize_with = "short::serialize", deserialize_with = "short::deserialize")]
        pub district: Name,
        pub inc: u64,
        pub life: Life
    }

    pub enum GossipMessage {
        Ping { seq: u64 },
        Pong { seq: u64 },
        /// Ask `target` for me; the answer comes back as a `Pong` with my number.
        PingFor { seq: u64, target: Name, addr: Name },
        /// Half of a partial view, to be swapped for as much of the other's (§6.1).
        Shuffle { peers: Vec<Rumor> },
        Shuffled { peers: Vec<Rumor> },
        /// Servers' beats on their way over the mesh.
        Beats { beats: Vec<ServerHeartbeat> }
    }

    /// Every message carries its sender and fresh rumors.
    pub struct GossipEnvelope { pub from: Rumor, pub rumors: Vec<Rumor>, pub m: GossipMessage }

    /// Questions between nodes that need an answer.
    pub enum NodeQuery {
        Store { ctx: Context },
        Find { id: Name },
        Digests { from: Name, sums: Vec<u64> },
        Range { from: Name, range: u8, have: Vec<(Name, Version)> },
        /// What do you see of this server?
        Sees { server: Name },
        /// A group's lead stalls, as seen from here: told to whoever looks after the group.
        Suspect { group: Name, server: Name },
        /// How much work of the group is under way at that node?
        Open { group: Name },
        /// The node's report for operators, as JSON.
        Report { what: Name, key: Name },
        /// Where does what that node passed on as acknowledged end? Nothing sent under a lower fence is passed on after
        /// the answer (§5.5).
        Acked {
            #[borsh(serialize_with = "short::serialize", deserialize_with = "short::deserialize")]
            group: Name,
            fence: FencingToken
        }
    }

    pub enum NodeReply {
        Done,
        Found { ctx: Option<Context> },
        /// Ranges that differ.
        Differ { ranges: Vec<u8> },
        /// Contexts newer here, and ids of which the asker has the newer.
        Mend { newer: Vec<Context>, want: Vec<Name> },
        Sees { heard: bool, failing: bool, stalled: bool, answering: bool },
        Open { n: u64 },
        Report { json: String },
        /// `life` tells this process from one before it, which may have passed on more.
        Acked { end: Position, life: u64 }
    }

    pub enum NodeRequest { Gossip { message: GossipEnvelope }, Query { query: NodeQuery } }

    pub enum NodeResponse { Taken, Reply { reply: NodeReply } }
}
