//! Messages between keepers.
use super::status::LeaseStatus;
use crate::entry_log::PackedEntry;
use crate::snapshot::{SnapshotPart, SnapshotProgress};
use crate::view::{Ballot, View};
use quincehatch_core::{ChangeNumber, Millis, Name, Version, messages};

messages! {
    /// A message from one keeper to another. None of them has an immediate reply, and any may be lost: the protocol
    /// sends again.
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
        /// A heartbeat, sent to all voters. It asks each of them to renew the lease of the sender's view.
        Heartbeat {
            /// The sender's view.
            view: View,
            /// Increases with each heartbeat of the sender's process.
            sequence: u64,
            /// The newest entry that the sender holds.
            last_change: ChangeNumber
        },
        /// Grants the view lease to the sender of a heartbeat.
        GrantViewLease {
            /// The view whose lease is renewed.
            version: Version,
            /// The heartbeat that asked for it.
            sequence: u64
        },
        /// Down the chain: entries, and how far the sender's log reaches.
        AppendEntries {
            /// The sender's view.
            version: Version,
            /// The number of the entry before the first of `entries`.
            previous_change: ChangeNumber,
            /// Consecutive entries.
            entries: Vec<PackedEntry>,
            /// The newest entry that the sender holds.
            last_change: ChangeNumber
        },
        /// Up the chain: asks for the entries after `last_change`, or for the next part of a snapshot.
        RequestEntries {
            /// The sender's view.
            version: Version,
            /// The newest entry that the sender holds.
            last_change: ChangeNumber,
            /// What the sender holds of a snapshot.
            progress: SnapshotProgress
        },
        /// Up the chain, from the tail: what is committed, and what every node with a lease has applied.
        Acknowledge {
            /// The sender's view.
            version: Version,
            /// The newest committed entry.
            committed: ChangeNumber,
            /// The newest entry that every node with a lease has applied.
            in_force: ChangeNumber
        },
        /// From the tail of the view before to the present tail: the node leases that it granted.
        HandOverLeases {
            /// The sender's view.
            version: Version,
            /// Every lease that the sender knows of.
            leases: Vec<LeaseStatus>,
            /// For how long there may be leases that the sender does not know of.
            unknown_leases_ms: Millis
        },
        /// From a keeper outside the chain to the tail: asks for the next part of the whole store.
        FetchSnapshot {
            /// The sender's view.
            version: Version,
            /// What the sender holds of a snapshot.
            progress: SnapshotProgress
        },
        /// A part of the whole store.
        Snapshot {
            /// The sender's view.
            version: Version,
            /// The part.
            part: SnapshotPart,
            /// Whether the receiver takes the store to join the chain; otherwise it is a member whose predecessor's
            /// log no longer reaches back to its own.
            joining: bool,
            /// Nodes dismissed so recently that a lease of theirs may not have ended.
            dismissed_leases: Vec<DismissedLease>,
            /// For how long there may be leases that the sender does not know of.
            unknown_leases_ms: Millis
        },
        /// From a keeper outside the view: it may become a voter.
        Discover {
            /// Where the sender is reached.
            at: Name
        },
        /// Tells a keeper outside the view what the view is.
        CurrentView {
            /// The sender's view.
            view: View
        },
        /// From a member to a keeper outside the view: fetch the store, then propose `view`.
        Invite {
            /// The sender's view.
            base: View,
            /// The view after `base`, in which the receiver is a voter and the tail.
            view: View
        }
    }

    /// A view that a voter has accepted, and under which ballot.
    #[derive(Eq)]
    pub struct AcceptedView {
        /// The ballot of the proposal.
        pub ballot: Ballot,
        /// The accepted view.
        pub view: View
    }

    /// A dismissed node whose lease may not have ended.
    pub struct DismissedLease {
        /// The node's name.
        pub node: Name,
        /// After this time its lease has ended.
        pub remaining_ms: Millis
    }
}
