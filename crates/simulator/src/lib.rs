//! Deterministic simulation in virtual time: whole fleets over pooled servers ([`fleet`]), the control plane alone
//! ([`control`]), and servers on direct connections ([`direct`]).
//!
//! All random draws of a run derive from one seed, so that a seed replays exactly.
#![warn(missing_docs, clippy::too_many_lines, clippy::too_many_arguments)]
#![warn(clippy::many_single_char_names, clippy::min_ident_chars)]
pub mod addresses;
pub mod control;
pub mod direct;
pub mod fleet;
