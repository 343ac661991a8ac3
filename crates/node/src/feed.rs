//! The store's numbered change feed: the node applies the changes in order, and each answered poll renews its lease.
mod cluster_state;
mod enrollment;
mod follower;
mod lease_log;
mod server_records;

pub use cluster_state::cluster_state_from;
pub use enrollment::leave_cluster;
pub use follower::follow;
