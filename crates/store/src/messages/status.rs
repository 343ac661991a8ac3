//! What a keeper reports about itself.
use crate::disk_usage::DiskUsage;
use crate::view::View;
use quincehatch_core::{ChangeNumber, Millis, Name, Version, messages};

messages! {
    /// A keeper's own status.
    #[derive(Eq, Default)]
    pub struct KeeperStatus {
        /// The keeper's name.
        pub name: Name,
        /// The newest view that it knows.
        pub view: View,
        /// The newest entry that it holds.
        pub last_change: ChangeNumber,
        /// The newest entry that it knows to be committed.
        pub committed: ChangeNumber,
        /// The newest entry that it knows to be applied by every node with a lease.
        pub in_force: ChangeNumber,
        /// The version of the configuration that it holds.
        pub version: Version,
        /// Whether it answers as the tail.
        pub serving: bool,
        /// Why it does or does not, for operators.
        pub reason: String,
        /// The node leases that it has granted.
        pub leases: Vec<LeaseStatus>,
        /// The size of its data directory.
        pub disk: DiskUsage,
        /// The size of its log in memory.
        pub log: LogSize,
        /// Nodes' polls at this keeper.
        pub polls: PollCounts
    }

    /// Nodes' polls for changes at a keeper.
    #[derive(Copy, Eq, Default)]
    pub struct PollCounts {
        /// Polls that wait for a change.
        pub waiting: u64,
        /// Polls answered since the process began.
        pub answered: u64
    }

    /// Entries kept in memory for members that lag behind.
    #[derive(Copy, Eq, Default)]
    pub struct LogSize {
        /// Number of entries.
        pub entries: u64,
        /// Bytes that they take.
        pub bytes: u64
    }

    /// A node's lease.
    #[derive(Eq, Default)]
    pub struct LeaseStatus {
        /// The node's name.
        pub node: Name,
        /// Where the node is reached by other nodes.
        pub addr: Name,
        /// After this time the lease has ended.
        pub remaining_ms: Millis,
        /// The newest change that the node has applied.
        pub applied: ChangeNumber
    }
}
