//! The input and the outputs of one step of a keeper.
use crate::messages::{PeerMessage, Reply, Request};
use crate::record::Record;
use quincehatch_core::{Millis, Name};

/// An event that a keeper handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message from another keeper.
    Peer {
        /// The sender's name.
        from: Name,
        /// The message.
        message: PeerMessage,
    },
    /// A request from a node or an operator.
    Request {
        /// Identifies the request in [`Output::Reply`].
        token: u64,
        /// The request.
        request: Request,
    },
    /// The process shuts down gracefully: the keeper leaves the chain first.
    Leave {
        /// The process ends after this time at the latest, in milliseconds.
        within: Millis,
    },
    /// The addresses at which other keepers may be reached have changed.
    Seeds(Vec<Name>),
    /// Periodic timer.
    Tick,
}

/// An action that the caller must carry out. The outputs of a step are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Make the record durable before any output of the same step leaves the keeper.
    Persist(Record),
    /// Send the message to the named keeper, whose address [`Keeper::addr`](super::Keeper::addr) returns.
    Send(Name, PeerMessage),
    /// Reply to the request with this token.
    Reply(u64, Reply),
    /// Write a line to the process's log.
    Log(String),
}
