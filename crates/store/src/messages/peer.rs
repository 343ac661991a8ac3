//! Messages between keepers.
use super::status::LeaseStatus;
use crate::entry_log::PackedEntry;
use crate::snapshot::{SnapshotPart, SnapshotProgress};
use crate::view::{Ballot, View};
use quincehatch_core::{ChangeNumber, Millis, Name, Version, messages};

messages! {
    /// A message from one keeper to another. No message has a reply on the same connection, and any message may be
    /// lost: the protocol resends it.
    ///
    /// `version` is the version of the sender's view; receivers ignore replication messages from another view.
    pub enum PeerMessage {
        /// Phase 1 of a proposal: asks a voter to promise the ballot.
        Prepare {
            /// The proposal's number.
            ballot: Ballot,
            /// The decided view that the proposed one follows.
            base: View
        },
        /// The answer to [`PeerMessage::Prepare`].
        Promise {
            /// The ballot of the request.
            ballot: Ballot,
            /// Whether the ballot was promised.
            ok: bool,
            /// The highest ballot that the voter has promised.
            highest_promised: Ballot,
            /// The view after `base` that the voter has accepted already, which must be proposed again.
            accepted: Option<AcceptedView>
        },
        /// Phase 2 of a proposal: asks a voter to accept `view`.
        Accept {
            /// The proposal's number.
            ballot: Ballot,
            /// The decided view that `view` follows.
            base: View,
            /// The proposed view.
            view: View
        },
        /// The answer to [`PeerMessage::Accept`].
        Accepted {
            /// The ballot of the request.
            ballot: Ballot,
            /// Whether the view was accepted.
            ok: bool,
            /// The highest ballot that the voter has promised.
            highest_promised: Ballot
        },
        /// A heartbeat, sent to all voters. It requests that each of them renews the lease of the sender's view.
        Heartbeat {
            /// The sender's view.
            view: View,
            /// Increases with each heartbeat of the sender's process.
            sequence: u64,
            /// The number of the newest entry in the sender's log.
            last_change: ChangeNumber
        },
        /// Grants the view lease to the sender of a heartbeat.
        GrantViewLease {
            /// The view whose lease is renewed.
            version: Version,
            /// The sequence number of the heartbeat that requested the lease.
            sequence: u64
        },
        /// Entries of the log, sent to the next member toward the tail.
        AppendEntries {
            /// The sender's view.
            version: Version,
            /// The number of the entry before the first of `entries`.
            previous_change: ChangeNumber,
            /// Consecutive entries.
            entries: Vec<PackedEntry>,
            /// The number of the newest entry in the sender's log.
            last_change: ChangeNumber
        },
        /// Requests the entries after `last_change`, or the next part of a snapshot, from the previous member toward
        /// the head.
        RequestEntries {
            /// The sender's view.
            version: Version,
            /// The number of the newest entry in the sender's log.
            last_change: ChangeNumber,
            /// How much of a snapshot the sender has received.
            progress: SnapshotProgress
        },
        /// The committed and the applied position, sent by the tail and forwarded member by member toward the head.
        Acknowledge {
            /// The sender's view.
            version: Version,
            /// The number of the newest committed entry.
            committed: ChangeNumber,
            /// The number of the newest entry that every node with a lease has applied.
            in_force: ChangeNumber
        },
        /// The node leases that the tail of the previous view granted, sent by that tail to the current one.
        HandOverLeases {
            /// The sender's view.
            version: Version,
            /// All leases that the sender knows.
            leases: Vec<LeaseStatus>,
            /// Time after which all leases that the sender does not know have expired.
            unknown_leases_ms: Millis
        },
        /// Requests the next part of the whole store; sent by a keeper outside the chain to the tail.
        FetchSnapshot {
            /// The sender's view.
            version: Version,
            /// How much of a snapshot the sender has received.
            progress: SnapshotProgress
        },
        /// A part of the whole store.
        Snapshot {
            /// The sender's view.
            version: Version,
            /// The part.
            part: SnapshotPart,
            /// Whether the receiver fetches the store to join the chain. Otherwise it is a member that lacks entries
            /// which the log of its predecessor no longer contains.
            joining: bool,
            /// Nodes that were dismissed so recently that their leases may not have expired.
            dismissed_leases: Vec<DismissedLease>,
            /// Time after which all leases that the sender does not know have expired.
            unknown_leases_ms: Millis
        },
        /// Announces a keeper outside the view, which may become a voter.
        Discover {
            /// The address of the sender.
            at: Name
        },
        /// Informs a keeper outside the view of the current view.
        CurrentView {
            /// The sender's view.
            view: View
        },
        /// Invites a keeper outside the view to fetch the store and then to propose `view`; sent by a member.
        Invite {
            /// The sender's view.
            base: View,
            /// The view after `base`, in which the receiver is a voter and the tail.
            view: View
        }
    }

    /// A view that a voter has accepted, and the ballot of its proposal.
    #[derive(Eq)]
    pub struct AcceptedView {
        /// The ballot of the proposal.
        pub ballot: Ballot,
        /// The accepted view.
        pub view: View
    }

    /// A dismissed node whose lease may not have expired.
    pub struct DismissedLease {
        /// The node's name.
        pub node: Name,
        /// Time after which the lease has expired.
        pub remaining_ms: Millis
    }
}
