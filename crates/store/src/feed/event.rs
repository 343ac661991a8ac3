//! The events of the change feed.
use crate::feed::Patch;
use quincehatch_core::{
    ChangeNumber, FencingToken, Name, PrimaryAssignment, ServerRecord, Version, messages,
};
use std::collections::BTreeMap;

messages! {
    /// The change that one log entry makes for nodes. On the wire a variant is identified by its position, so new
    /// variants are added at the end.
    #[derive(Eq)]
    pub enum FeedEvent {
        /// The entry changed nothing that nodes act on.
        Other,
        /// A configuration came into force.
        Configuration {
            /// Version of the configuration.
            version: Version,
            /// The difference of its JSON from that of the previous version.
            patch: Patch
        },
        /// A server was registered, or its record changed.
        RegisterServer {
            /// The current record.
            record: ServerRecord
        },
        /// A server was removed.
        DeregisterServer {
            /// Name of the server.
            server: Name
        },
        /// The primary of a group, or its voters, changed.
        PrimaryAssigned {
            /// The group.
            group: Name,
            /// The current assignment.
            primary: PrimaryAssignment
        },
        /// A new fencing token was issued.
        FenceAdvanced {
            /// The singleton role whose previous holder the token fences off.
            duty: Name,
            /// The token.
            fence: FencingToken
        },
        /// A node was enrolled or dismissed.
        NodeEnrollment {
            /// The node.
            node: Name,
            /// Number of the entry that enrolled the node's process; `None` if the node was dismissed.
            enrolled: Option<ChangeNumber>
        },
        /// A server was registered or removed, and the voters of at least one group changed as a result.
        VotersChanged {
            /// Record of the server that was registered.
            registered: Option<ServerRecord>,
            /// Name of the server that was removed.
            removed: Option<Name>,
            /// The current assignments of the groups whose voters changed.
            primaries: BTreeMap<Name, PrimaryAssignment>
        }
    }

    /// A log entry in the form in which nodes receive it.
    #[derive(Eq)]
    pub struct Change {
        /// Number of the entry.
        pub number: ChangeNumber,
        /// The change that the entry made.
        pub event: FeedEvent
    }
}

impl Change {
    /// Returns the bytes of memory that a change of the configuration takes. Other changes count as 0: they are small,
    /// and their number is limited.
    pub(crate) fn size(&self) -> usize {
        match &self.event {
            FeedEvent::Configuration { patch, .. } => patch.size(),
            _ => 0,
        }
    }
}
