//! The records that a keeper makes durable, and the state that it recovers from them at its start.
use crate::entry_log::{EntryLog, PackedEntry};
use crate::register::Acceptor;
use crate::store::Store;
use crate::view::View;
use quincehatch_core::{Version, messages};

messages! {
    /// A change of the durable state. It must be on disk before any output of the same step is sent.
    pub enum Record {
        /// The keeper's promises and accepted views as a voter have changed.
        Acceptor {
            /// The new state.
            acceptor: Acceptor
        },
        /// The keeper has adopted a newer view.
        View {
            /// The view.
            view: View
        },
        /// The next entry is appended to the log.
        Entry {
            /// The entry.
            entry: PackedEntry
        },
        /// The whole store is replaced, and the log is cleared.
        Snapshot {
            /// The store.
            store: Box<Store>
        },
        /// The keeper has started to serve as the tail of a view. The leases of all earlier tails had expired by then.
        Served {
            /// The view's version.
            version: Version
        },
        /// The keeper has joined the chain and lacks entries that were committed meanwhile, or it has now received
        /// them.
        CatchingUp {
            /// Whether it still lacks entries.
            catching_up: bool
        }
    }
}

/// The durable state of a keeper.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// The keeper's promises and accepted views as a voter.
    pub acceptor: Acceptor,
    /// The newest view that the keeper adopted.
    pub view: View,
    /// The store after all saved entries were applied.
    pub store: Store,
    /// The newest entries, which are retained for lagging members.
    pub log: EntryLog,
    /// The last view in which the keeper served as the tail.
    pub served_version: Version,
    /// Whether the keeper had joined the chain and still lacked entries.
    pub catching_up: bool,
}
