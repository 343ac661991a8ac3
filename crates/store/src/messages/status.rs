//! The status of a keeper, as operators and metrics read it.
use crate::disk_usage::DiskUsage;
use crate::view::View;
use quincehatch_core::{ChangeNumber, Millis, Name, Version, messages};

messages! {
    /// A keeper's own status.
    #[derive(Eq, Default)]
    pub struct KeeperStatus {
        /// The keeper's name.
        pub name: Name,
        /// The newest view that the keeper knows.
        pub view: View,
        /// The number of the newest entry in its log.
        pub last_change: ChangeNumber,
        /// The number of the newest entry that it knows to be committed.
        pub committed: ChangeNumber,
        /// The number of the newest entry that, as far as it knows, every node with a lease has applied.
        pub in_force: ChangeNumber,
        /// The version of the configuration in its store.
        pub version: Version,
        /// Whether the keeper serves as the tail.
        pub serving: bool,
        /// Why the keeper serves or does not serve, for operators.
        pub reason: String,
        /// The node leases that the keeper has granted.
        pub leases: Vec<LeaseStatus>,
        /// The size of its data directory.
        pub disk: DiskUsage,
        /// The size of its log in memory.
        pub log: LogSize,
        /// Counts of the polls from nodes.
        pub polls: PollCounts
    }

    /// Counts of the polls for changes that nodes sent to a keeper.
    #[derive(Copy, Eq, Default)]
    pub struct PollCounts {
        /// Polls that are pending until there is a change.
        pub waiting: u64,
        /// Polls answered since the process started.
        pub answered: u64
    }

    /// Size of the log that is retained in memory for lagging members.
    #[derive(Copy, Eq, Default)]
    pub struct LogSize {
        /// Number of entries.
        pub entries: u64,
        /// Bytes of these entries.
        pub bytes: u64
    }

    /// A node's lease.
    #[derive(Eq, Default)]
    pub struct LeaseStatus {
        /// The node's name.
        pub node: Name,
        /// The address at which other nodes reach the node.
        pub addr: Name,
        /// Time after which the lease has expired.
        pub remaining_ms: Millis,
        /// The newest change that the node has applied.
        pub applied: ChangeNumber
    }
}
