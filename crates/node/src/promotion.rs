//! The promotion duty: the singleton role that monitors a group's primary, has other nodes confirm its failure, and
//! promotes another server.
//!
//! Each group has one promotion duty, which one live node owns at a time. `duty` runs the loop over the groups. What
//! depends on the kind of servers is in `pooled` and [`direct`]; both share the failure evidence, the common part of
//! the promotion plan and the execution of its actions.
pub mod counts;
pub mod direct;
mod duty;
pub(crate) mod evidence;
mod execution;
mod fence;
mod group_state;
mod plan;
mod pooled;
mod state;
mod suspicion;
mod voter_sets;

pub(crate) use direct::find_awaited_evidence;
pub use duty::run as run_duty;
pub use state::PromotionState;
