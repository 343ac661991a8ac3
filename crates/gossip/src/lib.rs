//! How nodes know each other (§6): partial views, liveness, duties by key, copies mended by digests.
mod calls;
pub mod copies;
pub mod duty;
pub mod member;
pub mod messages;
mod probe;
mod short;

pub use member::GossipMembership;
pub use messages::*;
