//! Clients' sessions: the acknowledged state, the sessions in use at this node, and the replicas of their state.
pub mod replicas;
pub mod sessions;
pub mod state;

pub use sessions::{Session, Sessions, SharedSession};
pub use state::{MAX_TEXTS, SessionSetup, SessionState};
