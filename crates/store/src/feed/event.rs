//! What one log entry changed for nodes.
use crate::feed::Patch;
use quincehatch_core::{
    ChangeNumber, FencingToken, Name, PrimaryAssignment, ServerRecord, Version, messages,
};
use std::collections::BTreeMap;

messages! {
    /// What one log entry changed for nodes. On the wire each variant is known by its place: new ones come last.
    #[derive(Eq)]
    pub enum FeedEvent {
        /// Nothing that they act on.
        Other,
        /// A configuration came into force.
        Configuration {
            /// Its version.
            version: Version,
            /// How its JSON differs from that of the version before.
            patch: Patch
        },
        /// A server was registered, or its record changed.
        RegisterServer {
            /// The record that holds now.
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
            /// The assignment that holds now.
            primary: PrimaryAssignment
        },
        /// A new fencing token was issued.
        FenceAdvanced {
            /// The singleton role whose holder it fences.
            duty: Name,
            /// The token.
            fence: FencingToken
        },
        /// A node was enrolled or dismissed.
        NodeEnrollment {
            /// The node.
            node: Name,
            /// The entry that enrolled its process; `None` once it is dismissed.
            enrolled: Option<ChangeNumber>
        },
        /// A server was registered or removed, and voters changed with it.
        VotersChanged {
            /// The server that was registered.
            registered: Option<ServerRecord>,
            /// Name of the server that was removed.
            removed: Option<Name>,
            /// The assignments that changed, as they hold now, by group.
            primaries: BTreeMap<Name, PrimaryAssignment>
        }
    }

    /// A log entry as nodes see it.
    #[derive(Eq)]
    pub struct Change {
        /// Number of the entry.
        pub number: ChangeNumber,
        /// What it changed.
        pub event: FeedEvent
    }
}

impl Change {
    /// Bytes that a change of the configuration takes in memory. Other changes count as 0: they are small, and bounded
    /// by their number.
    pub(crate) fn size(&self) -> usize {
        match &self.event {
            FeedEvent::Configuration { patch, .. } => patch.size(),
            _ => 0,
        }
    }
}
