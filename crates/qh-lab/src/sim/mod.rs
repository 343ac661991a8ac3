//! The seeded simulator (§9.1): virtual time, one thread, the same protocol code as the daemons run. A seed
//! replays exactly.
pub mod client;
pub mod facts;
pub mod faults;
pub mod keeper;
pub mod node;
pub mod node_duty;
mod node_news;
pub mod node_visit;
pub mod platform;
pub mod run;
pub mod server;
mod server_tick;
pub mod world;

pub use run::{Report, run};
pub use world::World;
