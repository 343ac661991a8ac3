//! Measurements of single components at the planned size, without a cluster. Each one measures one pass.
mod configuration;
mod feed;
mod frames;
mod gossip;
mod health;
mod singletons;
mod store;

pub use configuration::{ConfigurationCost, parse_configuration};
pub use feed::{ChangeCosts, apply_changes};
pub use frames::{FrameSizes, frame_sizes};
pub use gossip::{GossipCost, gossip_second};
pub(crate) use health::first_heartbeat;
pub use health::{HealthCheckCost, health_checks};
pub use singletons::find_owners_ms;
pub(crate) use store::adoption;
pub use store::populated_store;
