//! The view register: a sequence of views, each decided by the voters of the one before.
//!
//! Every version is one instance of single-decree Paxos. Version `v + 1` is decided by the voters of the decided view
//! `v`, its *base*: a majority of them must promise and accept, and a majority of the new view's voters must accept as
//! well, so that the new set is alive. Each message names its base. An acceptor learns a newer base from it and rejects
//! an older one, so an instance takes no votes of a voter that knows its outcome, and what an acceptor has accepted is
//! never overwritten by a proposal for an earlier version.
//!
//! Both roles are state machines without input or output of their own.
mod acceptor;
mod proposer;

pub use acceptor::{Acceptor, AcceptorReply};
pub use proposer::{Proposer, ProposerAction};
