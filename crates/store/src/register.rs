//! The view register: a sequence of views, each decided by the voters of the one before.
//!
//! Every version is one instance of single-decree Paxos. Version `v + 1` is decided by the voters of the decided view
//! `v`, its *base*: a majority of them must promise and accept, and a majority of the new view's voters must accept as
//! well, so that the new set of voters is operational. Each message contains its base. An acceptor adopts a newer base
//! from the message and rejects an older one, so a voter that knows the outcome of an instance no longer votes in it,
//! and a view that an acceptor has accepted is never overwritten by a proposal for an earlier version.
//!
//! Both roles are state machines without I/O.
mod acceptor;
mod proposer;

pub use acceptor::{Acceptor, AcceptorReply};
pub use proposer::{Proposer, ProposerAction};
