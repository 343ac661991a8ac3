//! Failover decisions, without I/O: when a group of database servers needs another primary, which server may become
//! the primary, and in which order a promotion writes assignments, fences servers and promotes one.
//!
//! The caller (a node, or the simulator) passes in its observations and carries out the returned actions. There are two
//! kinds of groups. In a *pooled* group the servers keep a majority-acknowledged log and check fencing tokens
//! themselves ([`pooled`]). In a *direct* group the servers speak their own protocol, and a commit waits until a given
//! number of replicas have received it ([`direct`]).
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]

pub mod direct;
pub mod observation;
pub mod pooled;
pub mod promotion;
pub mod voters;
pub mod votes;
