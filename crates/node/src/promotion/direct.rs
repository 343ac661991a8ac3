//! Promotion in direct groups, whose servers speak their own protocol and replicate synchronously.
mod acknowledged;
mod acknowledged_bounds;
mod actions;
mod bound_refresh;
mod commit_evidence;
mod commit_holders;
mod group_state;
mod handover;
mod handover_participants;
mod initial_primary;
mod launch;
mod platform_calls;
mod polling;
mod probation;
mod processes;
mod repair;
mod server_calls;
mod server_statuses;
mod supervision;

pub use acknowledged_bounds::{AcknowledgedBound, AcknowledgedBounds, AcknowledgedReport};
pub use group_state::DirectGroupState;
pub use polling::probe_unless_recent;
pub use processes::KnownProcesses;
pub use server_statuses::ServerStatuses;

pub(super) use actions::{await_caught_up_replica, list_servers, query_acknowledged, suspend_for_promotion};
pub(crate) use commit_evidence::find_awaited_evidence;
pub(super) use platform_calls::promote_server;
pub(super) use probation::probe_ejected_servers;
pub(super) use supervision::supervise_group;
