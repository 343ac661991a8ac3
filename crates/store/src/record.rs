//! What a keeper makes durable, and what it finds on its disk when it starts.
use crate::entry_log::{EntryLog, PackedEntry};
use crate::register::Acceptor;
use crate::store::Store;
use crate::view::View;
use quincehatch_core::{Version, messages};

messages! {
    /// A change of the durable state. It must be on disk before any output of the same step leaves the keeper.
    pub enum Record {
        /// What the keeper has promised and accepted as a voter.
        Acceptor {
            /// The new state.
            acceptor: Acceptor
        },
        /// A newer view.
        View {
            /// The view.
            view: View
        },
        /// The next entry of the log.
        Entry {
            /// The entry.
            entry: PackedEntry
        },
        /// The whole store, in place of the present store and log.
        Snapshot {
            /// The store.
            store: Box<Store>
        },
        /// The keeper has begun to serve as the tail of this view: the leases of all older tails had ended by then.
        Served {
            /// The view's version.
            version: Version
        },
        /// The keeper was taken into the chain and does not hold yet what was committed meanwhile; or now it does.
        CatchingUp {
            /// Whether it still lacks entries.
            catching_up: bool
        }
    }
}

/// The durable state of a keeper.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// What the keeper has promised and accepted as a voter.
    pub acceptor: Acceptor,
    /// The newest view it knew.
    pub view: View,
    /// The state that the entries add up to.
    pub store: Store,
    /// The newest entries.
    pub log: EntryLog,
    /// The last view in which the keeper served as the tail.
    pub served_version: Version,
    /// Whether it had been taken into the chain and lacked entries.
    pub catching_up: bool,
}
