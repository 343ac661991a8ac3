//! What goes into a keeper's step and what comes out of it.
use crate::messages::{PeerMessage, Reply, Request};
use crate::record::Record;
use quincehatch_core::{Millis, Name};

/// What happens to a keeper.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message of another keeper.
    Peer {
        /// The sender's name.
        from: Name,
        /// The message.
        message: PeerMessage,
    },
    /// A request of a node or an operator.
    Request {
        /// Names the request in [`Output::Reply`].
        token: u64,
        /// The request.
        request: Request,
    },
    /// The process is to stop: the keeper leaves the chain first.
    Leave {
        /// It ends after this time at the latest.
        within: Millis,
    },
    /// The addresses at which other keepers may be found have changed.
    Seeds(Vec<Name>),
    /// Time has passed.
    Tick,
}

/// What a keeper wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Make the record durable before any later output leaves.
    Persist(Record),
    /// Send the message to the named keeper, see [`Keeper::addr`](super::Keeper::addr).
    Send(Name, PeerMessage),
    /// Answer the request with that token.
    Reply(u64, Reply),
    /// Write a line to the log.
    Log(String),
}
