//! Clients' sessions: what was acknowledged to a client, the session as this node has it in use, and its replicas.
pub mod replicas;
pub mod sessions;
pub mod state;

pub use sessions::{Session, Sessions, SharedSession};
pub use state::{MAX_TEXTS, SessionSetup, SessionState};
