//! Failover decisions, without I/O: when a group of database servers needs another primary, which server may become
//! it, and in which order a promotion writes, fences and promotes.
//!
//! A caller (a node, or the simulator) feeds in what it observes and carries out the actions that come out. Groups come
//! in two kinds. In a *pooled* group the servers keep a majority-acknowledged log and check fencing tokens themselves
//! ([`pooled`]). In a *direct* group the servers speak their own protocol and a commit waits for a number of receiving
//! replicas ([`direct`]).
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
