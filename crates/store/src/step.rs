//! What goes into a keeper's step and what comes out of it (§5.1).
use crate::entry_log::{EntryLog, PackedEntry};
use crate::messages::{PeerMessage, Reply, Request, View};
use crate::register::Acceptor;
use crate::store::Store;
use quincehatch_core::{Millis, Name, Version, messages};

messages! {
    /// What must be on disk before anything of the same step is sent.
    pub enum Record {
        Acceptor { acceptor: Acceptor },
        View { view: View },
        Entry { entry: PackedEntry },
        Snapshot { store: Box<Store> },
        /// As the tail of that view it has begun to serve: every older tail's lease was out by then (§5.3).
        Served { version: Version },
        /// It was taken into the chain and does not hold yet what was committed meanwhile (§5.3).
        CatchingUp { catching_up: bool }
    }
}

#[derive(Clone, Debug)]
pub enum Input {
    Peer {
        from: Name,
        message: PeerMessage,
    },
    Request {
        token: u64,
        request: Request,
    },
    /// The process is to stop: leave the chain, and end within so many milliseconds (§5.9).
    Leave {
        within: Millis,
    },
    /// Whom to ask first is another set now (§5.9).
    Seeds(Vec<Name>),
    Tick,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Persist(Record),
    Send(Name, PeerMessage),
    Reply(u64, Reply),
    /// A line for the log.
    Log(String),
}

/// What a keeper finds on its disk.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    pub acceptor: Acceptor,
    pub view: View,
    pub store: Store,
    pub log: EntryLog,
    /// The last view in which it served as the tail.
    pub served_version: Version,
    pub catching_up: bool,
}
