//! The singleton duty that looks after a group's primary: watches it, confirms its failure with other nodes, and
//! promotes another server.
//!
//! The duty runs the loop over the groups. What is decided by the kind of servers stands in `pooled` and [`direct`];
//! both share the evidence, the plan's identifiers and the execution of the steps.
mod attempt;
pub mod counts;
pub mod direct;
mod duty;
pub(crate) mod evidence;
mod execution;
mod fence;
mod group_state;
mod pooled;
mod state;
mod suspicion;
mod voter_sets;

pub use duty::run as run_duty;
pub use state::PromotionState;
