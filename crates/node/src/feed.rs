//! The numbered change feed of the store: the node applies it in order, and holds its lease along with it.
mod cluster_state;
mod enrollment;
mod follower;
mod server_records;

pub use cluster_state::cluster_state_from;
pub use enrollment::leave_cluster;
pub use follower::follow;
